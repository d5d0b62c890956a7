"""Tests of the message streams between hosts."""

import socket
import struct

import gevent
import hypothesis
import msgspec
import pytest
from gevent import event
from hypothesis import strategies

from standins import silence
from verbenadrum.daemon import peers, sockets
from verbenadrum.daemon.tests import certificates
from verbenadrum.dissemination import messages
from verbenadrum.messages import codec
from verbenadrum.settings import types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=50)
TIMEOUT_S = 5.0
PLAIN_TCP = types.PeersTable(listen="127.0.0.1:0")


class Node:
    """The peer streams of one host; records the received envelopes."""

    def __init__(self, *, host, table=PLAIN_TCP, addresses):
        self.received = []
        self.arrived = event.Event()
        self.listener = listener = sockets.listen(table.listen)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.streams = peers.PeerStreams(
            host=host,
            listener=listener,
            server_tls=sockets.peer_server_context(table),
            client_tls=sockets.peer_client_context(table),
            find_address=addresses.get,
            deliver=self.deliver,
        )
        addresses[host] = self.address
        self.streams.start()

    def deliver(self, envelope):
        self.received.append(envelope)
        self.arrived.set()


def tls_table(authority, name):
    cert, key = authority.issue(name)
    return types.PeersTable(
        listen="127.0.0.1:0", tls_cert=str(cert), tls_key=str(key), tls_ca=str(authority.ca_file)
    )


@pytest.fixture
def nodes():
    started_nodes = []
    yield started_nodes
    for node in started_nodes:
        node.streams.stop()


def wait_until(condition):
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


def test_messages_arrive_in_order_over_one_connection(nodes):
    addresses = {}
    nodes += [Node(host=name, addresses=addresses) for name in ("h1", "h2")]
    for number in range(50):
        nodes[0].streams.send("h2", messages.HostsPull(number))
    wait_until(lambda: len(nodes[1].received) == 50)
    assert nodes[1].received[7] == codec.Envelope("h1", messages.HostsPull(7))


def test_message_to_the_own_host_is_delivered_later(nodes):
    nodes.append(Node(host="h1", addresses={}))
    nodes[0].streams.send("h1", messages.HostsPull(1))
    assert nodes[0].received == []
    assert nodes[0].arrived.wait(TIMEOUT_S)


def test_unknown_host_drops_and_counts(nodes):
    nodes.append(Node(host="h1", addresses={}))
    nodes[0].streams.send("nobody", messages.HostsPull(1))
    wait_until(lambda: nodes[0].streams.counters.messages_dropped == 1)


def test_certified_hosts_hear_each_other(nodes, tmp_path):
    authority = certificates.Authority(folder=tmp_path)
    addresses = {}
    for name in ("h1", "h2"):
        nodes.append(Node(host=name, table=tls_table(authority, name), addresses=addresses))
    nodes[0].streams.send("h2", messages.HostsPull(3))
    assert nodes[1].arrived.wait(TIMEOUT_S)
    assert nodes[1].received[0].sender == "h1"


@pytest.mark.parametrize("fault", ["no-certificate", "other-authority", "other-name"])
def test_uncertified_hosts_are_not_heard(nodes, tmp_path, fault):
    authority = certificates.Authority(folder=tmp_path)
    addresses = {}
    nodes.append(Node(host="h2", table=tls_table(authority, "h2"), addresses=addresses))
    if fault == "no-certificate":
        table = PLAIN_TCP
    elif fault == "other-authority":
        table = tls_table(certificates.Authority(folder=tmp_path, name="other"), "h1")
    else:
        table = tls_table(authority, "h3")
    nodes.append(Node(host="h1", table=table, addresses=addresses))
    nodes[1].streams.send("h2", messages.HostsPull(3))
    counters = nodes[1].streams.counters
    wait_until(lambda: counters.messages_sent + counters.messages_dropped == 1)
    gevent.sleep(0)
    if fault == "other-name":
        wait_until(lambda: nodes[0].streams.counters.malformed == 1)
    assert nodes[0].received == []


@hypothesis.given(junk=strategies.binary(max_size=400), framed=strategies.booleans())
@SETTINGS
def test_junk_closes_the_stream_and_harms_nobody(junk, framed):
    addresses = {}
    node = Node(host="h2", addresses=addresses)
    other = Node(host="h1", addresses=addresses)
    try:
        data = struct.pack(">I", len(junk)) + junk if framed else junk
        with socket.create_connection(sockets.split_address(node.address), TIMEOUT_S) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            assert sock.recv(1) == b""
        other.streams.send("h2", messages.HostsPull(9))
        assert node.arrived.wait(TIMEOUT_S)
        assert [envelope.sender for envelope in node.received] == ["h1"]
    finally:
        node.streams.stop()
        other.streams.stop()


def test_message_of_another_version_is_skipped_and_the_stream_goes_on(nodes):
    node = Node(host="h1", addresses={})
    nodes.append(node)
    with socket.create_connection(sockets.split_address(node.address), TIMEOUT_S) as sock:
        unknown_type = msgspec.msgpack.encode(("h2", ["zz", 1, {"field": 2}]))
        known = codec.encode("h2", messages.HostsPull(4))
        sock.sendall(
            b"".join(struct.pack(">I", len(data)) + data for data in (unknown_type, known))
        )
        wait_until(lambda: node.received)
    assert node.received == [codec.Envelope("h2", messages.HostsPull(4))]
    assert (node.streams.counters.unknown, node.streams.counters.malformed) == (1, 0)


def test_error_of_a_handler_is_logged_and_the_stream_goes_on(nodes, caplog):
    addresses = {}
    nodes += [Node(host=name, addresses=addresses) for name in ("h1", "h2")]
    failing = messages.HostsPull(13)
    deliver = nodes[1].deliver

    def fail_once(envelope):
        if envelope.message == failing:
            raise KeyError("unexpected")
        deliver(envelope)

    nodes[1].streams._deliver = fail_once
    for _ in range(3):
        nodes[0].streams.send("h2", failing)
    nodes[0].streams.send("h2", messages.HostsPull(14))
    wait_until(lambda: nodes[1].received)
    nodes[1].streams.send("h2", failing)
    wait_until(lambda: nodes[1].streams.counters.unhandled == 4)
    assert nodes[1].received == [codec.Envelope("h1", messages.HostsPull(14))]
    logged = [each for each in caplog.records if each.getMessage() == "peer message not handled"]
    assert [(each.peer, each.type) for each in logged] == [("h1", "HostsPull")]


def test_stream_that_has_gone_silent_is_replaced(nodes):
    listener = sockets.listen("127.0.0.1:0")
    node = Node(host="h1", addresses={"h2": f"127.0.0.1:{listener.getsockname()[1]}"})
    nodes.append(node)
    accepted = []

    def accept():
        while True:
            accepted.append(listener.accept()[0])

    acceptor = gevent.spawn(accept)
    try:
        node.streams.send("h2", messages.HostsPull(1))
        wait_until(lambda: accepted)
        silence.drop_incoming(accepted[0])
        with gevent.Timeout(TIMEOUT_S):
            while len(accepted) < 2:
                node.streams.send("h2", messages.HostsPull(2))
                gevent.sleep(0.05)
        assert accepted[1].recv(1)
    finally:
        acceptor.kill()
        for sock in (listener, *accepted):
            sock.close()


# A host that started 0.3 s before its seeds met them 1.05 s after its start.
def test_peer_whose_machine_starts_0_3_s_later_is_reached_within_0_9_s(nodes):
    addresses = {}
    nodes += [Node(host="a", addresses=addresses), Node(host="b", addresses=addresses)]
    silence.drop_incoming(nodes[1].listener)
    for sent in range(18):
        nodes[0].streams.send("b", messages.HostsPull(sent))
        if sent == 6:
            silence.accept_incoming(nodes[1].listener)
        if nodes[1].arrived.wait(timeout=0.05):
            break
    assert nodes[1].received


def test_half_a_frame_does_not_hold_its_connection(nodes, monkeypatch):
    monkeypatch.setattr(peers, "_FRAME_TIMEOUT_S", 0.05)
    node = Node(host="h1", addresses={})
    nodes.append(node)
    with socket.create_connection(sockets.split_address(node.address), TIMEOUT_S) as sock:
        sock.sendall(struct.pack(">I", 100) + b"half")
        assert sock.recv(1) == b""
