"""Property-based tests of what the command line reads: saved logs and operators' ports."""

import io

import hypothesis
import msgspec
from hypothesis import strategies as st

from standins import canned
from verbenadrum.cli import main, operators, options, saved_logs
from verbenadrum.daemon import operators as operators_port
from verbenadrum.decisions import ring

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=60)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=10)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
DECISION = {"kind": "place", "choice": "s1", "reason": "least-loaded", "request": "q1"}


def encoded(value):
    return msgspec.json.encode(value)


ODD_LINES = st.one_of(
    st.binary(max_size=60),
    JSON.map(encoded),
    JSON.map(lambda value: encoded({"decision": value})),
    st.tuples(st.sampled_from(sorted(DECISION)), JSON).map(
        lambda change: encoded({"decision": DECISION | {change[0]: change[1]}})
    ),
    st.integers(1, 4_000).map(lambda depth: b'{"decision": ' + b"[" * depth),
)


@hypothesis.given(lines=st.lists(ODD_LINES, max_size=6))
@SETTINGS
def test_odd_lines_of_a_log_hide_no_decision(lines, tmp_path_factory):
    path = tmp_path_factory.mktemp("logs") / "day.log"
    good = encoded({"decision": DECISION | {"host": "h1", "at_ms": 1.0}})
    path.write_bytes(b"\n".join([*lines, good, b""]))
    found = saved_logs.find_decisions([str(path)], "q1")
    assert any(each.host == "h1" and each.choice == "s1" for each in found)
    out, err = io.StringIO(), io.StringIO()
    assert main.dispatch(("explain", "q1"), options.Options(logs=[str(path)]), out, err) == 0


@hypothesis.given(body=st.one_of(st.binary(max_size=60), JSON.map(encoded)))
@SETTINGS
def test_odd_answer_of_an_operators_port_is_a_fault_of_that_host(body):
    with canned.serve(lambda path: canned.Answer(body)) as server:
        (reply,) = operators.query_all([server.address], operators.read_status, 2.0)
    assert reply.value is not None or reply.fault


@hypothesis.given(
    path=st.sampled_from(["/health", "/ready", "/metrics", "/status", "/decisions", "/none"]),
    query=st.one_of(
        st.text(max_size=40),
        st.integers().map(lambda number: f"newest={number}"),
        st.text(max_size=20).map(lambda text: f"name={text}"),
    ),
    method=st.sampled_from(["GET", "HEAD", "POST", "TRACE"]),
)
@SETTINGS
def test_odd_request_to_the_operators_port_is_answered(path, query, method):
    port = operators_port.OperatorsPort(
        decisions=ring.DecisionRing(wall_ms=lambda: 0.0),
        ready=lambda: True,
        status=dict,
        scrape=lambda: b"",
    )
    statuses = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query.encode("utf-8", "replace").decode("latin-1"),
        "wsgi.input": io.BytesIO(),
        "wsgi.errors": io.StringIO(),
        "wsgi.url_scheme": "http",
        "SERVER_NAME": "a",
        "SERVER_PORT": "1",
    }
    list(port.application(environ, lambda status, headers, *rest: statuses.append(status)))
    assert int(statuses[0][:3]) < 500
