"""Tests of the subcommands against files and fake operators' ports."""

import contextlib
import io
import socket
import subprocess
import sys

import msgspec
import pytest

from standins import canned
from verbenadrum.cli import explain, main, options
from verbenadrum.decisions import ring
from verbenadrum.entry import keys
from verbenadrum.records import envelope, revisions

_STATUS = {"host": "h1", "region": "r", "data_centre": "d", "ready": True, "record_revision": 7}


def run(*words, **flag_values):
    out, err = io.StringIO(), io.StringIO()
    code = main.dispatch(words, options.Options(**flag_values), out, err)
    return code, out.getvalue(), err.getvalue()


def operators_port(status, decisions=()):
    def answer(path):
        value = status if path.startswith("/status") else list(decisions)
        return canned.Answer(msgspec.json.encode(value))

    return canned.serve(answer)


def write(folder, name, text):
    (folder / name).write_text(text)


def test_check_reports_file_and_key_path_of_every_fault(tmp_path):
    write(tmp_path, "a.json", '{"kind": "route", "name": "r", "spec": {"path_prefix": "x"}}')
    write(tmp_path, "b.toml", 'kind = "workspace"\nname = "w"\n[spec]\nrate_per_s = 0\n')
    write(tmp_path, "c.toml", '[host]\nid = "h"\n')
    write(tmp_path, "d.json", "not json")
    code, out, _ = run("check", str(tmp_path))
    assert code is options.ExitCode.FOUND
    assert "a.json: spec: 'service' is a required property" in out
    assert "b.toml: spec.rate_per_s: " in out
    assert "b.toml: spec: 'burst' is a required property" in out
    assert "c.toml: (top level): 'callers' is a required property" in out
    assert "d.json: " in out


def test_check_warns_of_unknown_references_and_rejects_duplicates(tmp_path):
    route = '{"kind": "route", "name": "r", "schema": 1, "spec": {"path": "/", "service": "s"}}'
    write(tmp_path, "a.json", route)
    write(tmp_path, "gone.toml", 'kind = "key"\nname = "k"\n')
    code, out, _ = run("check", str(tmp_path))
    assert code is options.ExitCode.OK
    assert "warning" in out and "no pool 's'" in out
    write(tmp_path, "b.json", route)
    code, out, _ = run("check", str(tmp_path), format=options.Format.JSON)
    assert code is options.ExitCode.FOUND
    findings = msgspec.json.decode(out)
    assert {finding["severity"] for finding in findings} == {"error", "warning"}


def test_check_reports_an_empty_directory_or_missing_file(tmp_path):
    assert run("check", str(tmp_path))[0] is options.ExitCode.FOUND
    assert run("check", str(tmp_path / "none.json"))[0] is options.ExitCode.FOUND


def test_status_shows_lag_and_rejected_records():
    refused = {
        "kind": "pool",
        "name": "p",
        "revision": 8,
        "faults": ["spec.floor: 2"],
        "accepted_revision": 3,
    }
    lagging = _STATUS | {"host": "h2", "record_revision": 5, "rejected_records": [refused]}
    with operators_port(_STATUS) as first, operators_port(lagging) as second:
        code, out, _ = run("status", first.address, second.address)
    assert code is options.ExitCode.OK
    assert "2 revisions behind" in out
    assert "refused: pool 'p' revision 8; revision 3 stays in force" in out


def test_status_shows_generation_and_counter_of_revisions():
    refused = {
        "kind": "pool",
        "name": "p",
        "revision": revisions.join(3, 8),
        "accepted_revision": revisions.join(2, 900),
    }
    newest = _STATUS | {"record_revision": revisions.join(3, 12), "rejected_records": [refused]}
    lagging = _STATUS | {"host": "h2", "record_revision": revisions.join(3, 10)}
    older = _STATUS | {
        "host": "h3",
        "record_revision": revisions.join(2, 900),
        "carried_records": 4,
    }
    with contextlib.ExitStack() as stack:
        hosts = [stack.enter_context(operators_port(each)) for each in (newest, lagging, older)]
        _, out, _ = run("status", *(each.address for each in hosts))
    rows = {line.split()[0]: line for line in out.splitlines()}
    assert " 12 (generation 3) " in rows["h1"]
    assert " 10 (generation 3) " in rows["h2"]
    assert "2 revisions behind" in rows["h2"]
    assert " 900 (generation 2) " in rows["h3"]
    assert "behind generation 3, 4 records carried over" in rows["h3"]
    assert "'p' revision 8 (generation 3); revision 900 (generation 2) stays in force" in out
    assert str(1 << 40)[:6] not in out


@pytest.mark.parametrize(
    ("choice", "detail", "text"),
    [
        ("accepted", {"revision": revisions.join(3, 8)}, "revision 8 (generation 3)"),
        (
            "rejected",
            {"revision": revisions.join(3, 8), "in_force": revisions.join(2, 7)},
            "revision 8 (generation 3), in_force 7 (generation 2)",
        ),
        ("generation", {"generation": 3, "carried": 2}, "generation 3, carried 2"),
        ("ignored", {"version": 11, "in_force": 12}, "version 11, in_force 12"),
        ("accepted", {"revision": 8}, "revision 8"),
    ],
)
def test_explain_shows_generation_and_counter_of_revisions(choice, detail, text):
    decision = ring.Decision(
        kind=ring.DecisionKind.RECORD, choice=choice, reason="r", subject="p", detail=detail
    )
    assert explain.describe(decision) == f"record p: {choice}, because r; {text}"


@pytest.mark.parametrize("words", [("status",), ("watch", "--count=1")])
def test_status_and_watch_tell_the_version_in_force_and_what_was_refused(words):
    refused = {
        "kind": "configuration",
        "name": "configuration",
        "revision": 9,
        "faults": ["cannot decode value"],
        "accepted_revision": 7,
    }
    status = _STATUS | {
        "configuration_version": 12,
        "configuration_faults": ["routes.3: type 'sometimes' of route 'r' is unknown"],
        "rejected_records": [refused],
    }
    with operators_port(status) as host:
        _, out, _ = run(words[0], host.address, **({"count": 1} if len(words) > 1 else {}))
    assert " c " in out
    assert "refused: configuration 'configuration' revision 9; revision 7 stays in force" in out
    assert "cannot decode value" in out
    assert "left out of configuration version c" in out
    assert "routes.3: type 'sometimes'" in out


def test_status_shows_what_holds_back_requests_from_servers():
    told = {"server": "s1", "signal": "limit", "for_ms": 400.0, "heard_from": "h1"}
    limited = {**told, "limit_per_s": 2.5}
    newer = {**limited, "for_ms": 300.0, "limit_per_s": 2.0}
    resting = {"server": "s2", "signal": "rest", "for_ms": 100.0, "heard_from": "h1"}
    leaving = {"server": "s3", "signal": "leaving", "for_ms": 5_000.0, "heard_from": "h9"}
    first_status = _STATUS | {"server_signals": [limited, {**resting, "left_ms": 900.0}]}
    second_status = _STATUS | {"host": "h2", "server_signals": [newer, leaving]}
    with operators_port(first_status) as first, operators_port(second_status) as second:
        _, out, _ = run("status", first.address, second.address)
    assert out.splitlines()[-3:] == [
        "server s1: takes 2 requests a second for 0.4 s, in an answer to h1 (2 hosts: h1, h2)",
        "server s2: wants nothing for another 0.9 s for 0.1 s, in an answer to h1 (1 hosts: h1)",
        "server s3: is leaving for 5.0 s, in an answer to h9 (1 hosts: h2)",
    ]


def test_status_exit_codes():
    with operators_port(_STATUS | {"ready": False}) as not_ready:
        assert run("status", not_ready.address)[0] is options.ExitCode.FOUND
    with socket.socket() as not_listening:
        not_listening.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{not_listening.getsockname()[1]}"
        assert run("status", address, timeout_s=1.0)[0] is options.ExitCode.UNREACHABLE
    with canned.serve(lambda path: canned.Answer(b"[]")) as malformed:
        assert run("status", malformed.address)[0] is options.ExitCode.UNREACHABLE


def test_explain_merges_hosts_in_time_order():
    placed = ring.Decision(
        kind=ring.DecisionKind.PLACE, choice="s1", reason="least-loaded", request="q", at_ms=20.0
    )
    routed = ring.Decision(
        kind=ring.DecisionKind.ROUTE, choice="svc", reason="longest-prefix", request="q", at_ms=10.0
    )
    other = _STATUS | {"host": "h2"}
    with operators_port(_STATUS, [placed]) as first, operators_port(other, [routed]) as second:
        hosts = (first.address, second.address)
        code, out, _ = run("explain", "q", hosts=hosts)
        assert run("explain", "q", hosts=hosts, format=options.Format.JSON)[0] == 0
    assert code is options.ExitCode.OK
    lines = out.splitlines()
    assert "h2  routed request q" in lines[0]
    assert "h1  placed request q" in lines[1] and "because least-loaded" in lines[1]


def test_explain_reports_that_no_decision_was_found():
    with operators_port(_STATUS) as only:
        code, out, _ = run("explain", "q", hosts=(only.address,))
    assert code is options.ExitCode.FOUND
    assert "no decision about q was found" in out


def log_line(host, **fields):
    decision = msgspec.to_builtins(ring.Decision(**fields)) | {"host": host}
    line = msgspec.json.encode({"time": "t", "message": "m", "decision": decision}).decode()
    return f"  1.0 {host} {line}\n"


def test_explain_finds_a_caller_request_id_in_saved_logs(tmp_path):
    kinds = ring.DecisionKind
    route = {"kind": kinds.ROUTE, "choice": "svc", "reason": "longest-prefix"}
    place = {"kind": kinds.PLACE, "reason": "queue-full", "subject": "svc"}
    (tmp_path / "h1.log").write_text(
        log_line("h1", **route, request="q1", detail={"caller_request": "mine"}, at_ms=1.0)
        + log_line("h1", **place, choice="refused", request="q1", detail={"ask": 7}, at_ms=3.0)
        + log_line("h1", **route, request="q2", detail={"caller_request": "other"}, at_ms=1.0)
        + "not a line\n"
    )
    home = log_line("h2", **place, choice="no-slot", detail={"entry": "h1", "ask": 7}, at_ms=2.0)
    another = log_line("h2", **place, choice="no-slot", detail={"entry": "h3", "ask": 7}, at_ms=2.0)
    (tmp_path / "h2.log").write_text(home + another)
    files = (str(tmp_path / "h1.log"), str(tmp_path / "h2.log"))
    for name in ("mine", "q1"):
        code, out, _ = run("explain", name, logs=files)
        assert code is options.ExitCode.OK
        assert [line.split()[1] for line in out.splitlines()] == ["h1", "h2", "h1"]
    assert run("explain", "nobody", logs=files)[0] is options.ExitCode.FOUND
    assert run("explain", "q1")[0] is options.ExitCode.USAGE


@pytest.mark.parametrize("kind", ring.DecisionKind)
def test_explain_describes_each_kind_of_decision(kind, tmp_path):
    (tmp_path / "h1.log").write_text(
        log_line("h1", kind=kind, choice="chosen", reason="why", subject="svc", at_ms=1.0)
    )
    code, out, _ = run("explain", "svc", logs=(str(tmp_path / "h1.log"),))
    assert code is options.ExitCode.OK
    assert "because why" in out


def test_watch_repeats_count_times():
    with operators_port(_STATUS) as only:
        code, out, _ = run("watch", only.address, count=2, interval_s=0.0)
    assert code is options.ExitCode.OK
    assert out.count("1 of 1 hosts ready") == 2


def test_key_prints_a_record_that_can_be_published():
    code, out, _ = run("key", "board", format=options.Format.JSON)
    new_key = msgspec.json.decode(out)
    assert code is options.ExitCode.OK
    record = envelope.parse(msgspec.json.encode(new_key["record"] | {"revision": 1}))
    assert record.spec.sha256 == keys.hash_key(new_key["key"])
    assert new_key["key"] not in msgspec.json.encode(new_key["record"]).decode()


@pytest.mark.parametrize("words", [(), ("dance",), ("status",), ("explain", "q"), ("key",)])
def test_wrong_arguments_print_help(words):
    code, _, err = run(*words)
    assert code is options.ExitCode.USAGE
    assert err


def test_flags_may_follow_arguments_in_a_real_process(tmp_path):
    write(tmp_path, "a.json", '{"kind": "key", "name": "k"}')
    program = "from verbenadrum.cli import main; main.run()"
    for words, code in (
        (("check", str(tmp_path), "--format", "json"), 0),
        (("--help",), 0),
        (("check", "--bogus"), 2),
    ):
        completed = subprocess.run(
            [sys.executable, "-c", program, *words], capture_output=True, check=False, text=True
        )
        assert completed.returncode == code, completed.stderr
