"""Tests that the path selects the route byte by byte, and is forwarded as it came."""

import contextlib
import socket

import pytest

from verbenadrum.daemon import targets
from verbenadrum.daemon.tests import test_endless_callers, test_upstream
from verbenadrum.records import table, types

start = test_endless_callers.start
PREFIXES = ("/returns/", "/returns/refund/", "/caf\xe9/", "/a%20b/")
# Request targets, each with the prefix of its route; None for no route.
TARGETS = {
    "/returns/1": "/returns/",
    "/returns/refund/1": "/returns/refund/",
    "/returns/refund%2F1": "/returns/",
    "/returns/refund%2f1": "/returns/",
    "/returns%2Frefund/1": None,
    "/returns/refund": "/returns/",
    "/returns/refund//1": "/returns/refund/",
    "/returns//refund/1": "/returns/",
    "//returns/1": None,
    "/%72eturns/1": None,
    "/returns/%72efund/1": "/returns/",
    "/RETURNS/1": None,
    "/returns/refund;v=1/1": "/returns/",
    "/returns/;refund/": "/returns/",
    "/returns/%00": "/returns/",
    "/returns/%0A": "/returns/",
    "/returns/refund%0A/": "/returns/",
    "/returns/refund%3F/": "/returns/",
    "/returns": None,
    "/returns?x": None,
    "/returns/?": "/returns/",
    "/returns/?a=%2F": "/returns/",
    # The bytes of a prefix are those of its UTF-8 form.
    "/caf\xc3\xa9/1": "/caf\xe9/",
    "/caf\xe9/1": None,
    "/caf%C3%A9/1": None,
    "/a%20b/1": "/a%20b/",
    "/a+b/1": None,
    "http://other.example/returns/1": "/returns/",
    "HTTP://other.example/returns/1": "/returns/",
    "http://other.example": None,
    "http://other.example?/returns/": None,
}
REFUSED = (
    "",
    "*",
    "returns/1",
    "/returns/../x",
    "/returns/%2e%2E/x",
    "/returns/.%2e/x",
    "/returns/./x",
    "/returns/..%2fx",
    "/returns/..%5cx",
    "/returns/x y",
    "/returns/\x00",
    "/returns/\x7f",
    "/returns/#x",
    "http:///returns/",
    "http://[::1/returns/",
    "ftp://other.example/returns/",
)


def make_table():
    records = table.RecordTable()
    for revision, prefix in enumerate(PREFIXES, start=1):
        spec = types.RouteSpec(path_prefix=prefix, service="s")
        kind = types.RecordKind.ROUTE
        records.put(types.Record(kind=kind, name=prefix, revision=revision, spec=spec))
    return records


# An encoded or doubled slash selected the route of a longer prefix than the path begins with.
@pytest.mark.parametrize("raw", TARGETS)
def test_longest_prefix_that_begins_the_path_selects_the_route(raw):
    found = make_table().route("", targets.parse_target(raw).path)
    assert (found[0] if found else None) == TARGETS[raw]


@pytest.mark.parametrize("raw", TARGETS)
def test_target_is_forwarded_as_it_came(raw):
    origin = raw.partition("://")[2].partition("/")[2] if "://" in raw else raw[1:]
    if raw.endswith("example?/returns/"):
        assert targets.parse_target(raw).forward == "/?/returns/"
    else:
        assert targets.parse_target(raw).forward == f"/{origin}"


@pytest.mark.parametrize("raw", REFUSED)
def test_doubtful_target_is_refused(raw):
    with pytest.raises(targets.BadRequestError):
        targets.parse_target(raw)


@pytest.mark.parametrize(
    ("raw", "header", "name"),
    [
        ("/x", "A.example:8080", "a.example"),
        ("/x", "[::1]:80", "[::1]"),
        ("/x", "[::1]", "[::1]"),
        ("/x", "", ""),
        ("http://B.example:81/x", "a.example", "b.example"),
        ("http://user@b.example/x", "a.example", "b.example"),
    ],
)
def test_host_name_is_that_of_an_absolute_target_or_of_the_header(raw, header, name):
    target = targets.parse_target(raw)
    assert targets.host_name(target.authority or header) == name


class TargetBackend(test_upstream.Backend):
    """Backend server that answers with the request line it got."""

    def handle(self, sock, address):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                line, _, rest = data.partition(b"\r\n")
                body = line + b"\n" + rest
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def ask(host, target):
    """Return the status and the body that a raw request target gets."""
    lines = [b"GET %s HTTP/1.1" % target, b"Host: a.example", b"Connection: close"]
    headers = {**test_endless_callers.HEADERS, "X-Deadline-Ms": "15000"}
    lines += [f"{name}: {value}".encode() for name, value in headers.items()]
    with socket.create_connection(("127.0.0.1", host.server.server_port)) as sock:
        sock.settimeout(20.0)
        sock.sendall(b"\r\n".join([*lines, b"", b""]))
        received = b""
        while piece := sock.recv(65_536):
            received += piece
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


@pytest.mark.parametrize(
    "target", [b"/a%0Ab", b"/a%00", b"/caf\xc3\xa9/\xff", b"/a?", b"/a?b=c%2Fd", b"/;x//y"]
)
def test_server_gets_the_bytes_that_the_caller_sent(start, target):
    host = start(TargetBackend(b"").address)
    status, body = ask(host, target)
    assert (status, body.split(b"\n")[0]) == (200, b"GET %s HTTP/1.1" % target)


def test_absolute_target_names_the_host_for_the_server_too(start):
    host = start(TargetBackend(b"").address)
    status, body = ask(host, b"http://other.example:8080/x?y")
    assert (status, body.split(b"\n")[0]) == (200, b"GET /x?y HTTP/1.1")
    assert b"\r\nHost: other.example:8080\r\n" in b"\r\n" + body.partition(b"\n")[2]


@pytest.mark.parametrize("target", REFUSED)
def test_refused_target_gets_a_problem_of_the_host(start, target):
    host = start(TargetBackend(b"").address)
    status, body = ask(host, target.encode("latin-1"))
    assert status == 400
    if target and " " not in target:
        assert b'"bad-request"' in body
    else:
        # The request line has too few or too many parts, so that it names no target.
        assert body == b""
