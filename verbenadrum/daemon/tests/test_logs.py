"""Tests of log lines under load and with a reader that does not read."""

import logging
import os

import msgspec
import pytest
from gevent import monkey

from verbenadrum.daemon import log_writer, logs
from verbenadrum.decisions import ring

KINDS = ring.DecisionKind


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        os.close(fd)


def test_pipe_that_nobody_reads_costs_lines_only(pipe):
    _, write_fd = pipe
    writer = log_writer.LineWriter(fd=write_fd, most_bytes=10_000)
    for _ in range(5_000):
        writer.add("x" * 100)
        writer.flush()
    assert writer.waiting_bytes <= 10_000
    assert writer.left_out > 3_000


def test_lines_come_whole_and_in_order_once_the_reader_reads(pipe):
    read_fd, write_fd = pipe
    writer = log_writer.LineWriter(fd=write_fd)
    # Longer than what a pipe takes at once.
    sent = [f"{number} " + "y" * (number * 37 % 9_000) for number in range(60)]
    for line in sent:
        writer.add(line)
    received = b""
    while not writer.flush():
        received += os.read(read_fd, 65_536)
    received += os.read(read_fd, 65_536)
    assert received.decode().splitlines() == sent
    assert writer.waiting_bytes == 0


def test_reader_that_has_ended_is_no_fault():
    read_fd, write_fd = os.pipe()
    # The cooperative close takes effect in the next turn of the loop only.
    monkey.get_original("os", "close")(read_fd)
    writer = log_writer.LineWriter(fd=write_fd)
    writer.add("nobody")
    assert not writer.flush()
    assert writer.waiting_bytes == 0
    os.close(write_fd)


def decision(kind, choice="s1", reason="ok"):
    return ring.Decision(kind=kind, choice=choice, reason=reason)


@pytest.fixture
def written(caplog):
    caplog.set_level(logging.INFO)
    return lambda: [
        (record.msg, getattr(record, "count", record.__dict__.get("decision", {}).get("reason")))
        for record in caplog.records
    ]


def test_refusals_and_faults_are_kept_before_routine_decisions(written):
    log = logs.DecisionLog(host="h1", lines_per_s=40.0)
    for _ in range(50):
        log.add(decision(KINDS.ROUTE))
        log.add(decision(KINDS.PLACE))
        log.add(decision(KINDS.OUTCOME))
    for _ in range(4):
        log.add(decision(KINDS.REFUSE, "refused", "over-rate"))
        log.add(decision(KINDS.OUTCOME, "s2", "reset"))
    log.flush()
    lines = written()
    assert lines.count(("refuse", "over-rate")) == 4
    assert lines.count(("outcome", "reset")) == 4
    assert len(lines) == 11
    assert lines[-1] == ("decisions left out", 148)


def test_everything_is_written_within_the_budget(written):
    log = logs.DecisionLog(host="h1")
    for number in range(90):
        log.add(decision(KINDS.PLACE, reason=f"r{number}"))
    log.flush()
    assert [reason for _, reason in written()] == [f"r{number}" for number in range(90)]


def test_lines_are_json_on_the_writer(pipe, monkeypatch):
    read_fd, write_fd = pipe
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "level", root.level)
    monkeypatch.setattr(logs.sys.stdout, "fileno", lambda: write_fd, raising=False)
    writer = logs.configure("INFO")
    logging.getLogger("verbenadrum.test").info("started", extra={"host": "h1"})
    assert writer.flush()
    line = msgspec.json.decode(os.read(read_fd, 65_536))
    assert (line["message"], line["host"], line["level"]) == ("started", "h1", "INFO")
