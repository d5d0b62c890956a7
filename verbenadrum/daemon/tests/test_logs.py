"""Tests of the log with more lines than its limits allow, and with a reader that does not read."""

import logging
import os

import msgspec
import pytest
from gevent import monkey

from verbenadrum.daemon import log_writer, logs
from verbenadrum.decisions import ring

Kind = ring.DecisionKind


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        os.close(fd)


def test_pipe_that_nobody_reads_costs_lines_only(pipe):
    _, write_fd = pipe
    writer = log_writer.LineWriter(fd=write_fd, max_bytes=10_000)
    for _ in range(5_000):
        writer.add("x" * 100)
        writer.flush()
    assert writer.queued_bytes <= 10_000
    assert writer.dropped_lines > 3_000


def test_lines_come_whole_and_in_order_once_the_reader_reads(pipe):
    read_fd, write_fd = pipe
    writer = log_writer.LineWriter(fd=write_fd)
    # Together more than a pipe holds, and some lines longer than a single write.
    lines = [f"{number} " + "y" * (number * 37 % 9_000) for number in range(60)]
    for line in lines:
        writer.add(line)
    received = b""
    while not writer.flush():
        received += os.read(read_fd, 65_536)
    received += os.read(read_fd, 65_536)
    assert received.decode().splitlines() == lines
    assert writer.queued_bytes == 0


def test_reader_that_has_ended_is_no_fault():
    read_fd, write_fd = os.pipe()
    # The close patched by gevent takes effect only in the next iteration of the event loop.
    monkey.get_original("os", "close")(read_fd)
    writer = log_writer.LineWriter(fd=write_fd)
    writer.add("nobody")
    assert not writer.flush()
    assert writer.queued_bytes == 0
    os.close(write_fd)


def decision(kind, choice="s1", reason="ok"):
    return ring.Decision(kind=kind, choice=choice, reason=reason)


@pytest.fixture
def read_log(caplog):
    caplog.set_level(logging.INFO)
    return lambda: [
        (record.msg, getattr(record, "count", record.__dict__.get("decision", {}).get("reason")))
        for record in caplog.records
    ]


def test_refusals_and_faults_are_kept_before_routine_decisions(read_log):
    decision_log = logs.DecisionLog(host="h1", lines_per_s=40.0)
    for _ in range(50):
        decision_log.add(decision(Kind.ROUTE))
        decision_log.add(decision(Kind.PLACE))
        decision_log.add(decision(Kind.OUTCOME))
    for _ in range(4):
        decision_log.add(decision(Kind.REFUSE, "refused", "over-rate"))
        decision_log.add(decision(Kind.OUTCOME, "s2", "reset"))
    decision_log.flush()
    lines = read_log()
    assert lines.count(("refuse", "over-rate")) == 4
    assert lines.count(("outcome", "reset")) == 4
    assert len(lines) == 11
    assert lines[-1] == ("decisions left out", 148)


def test_everything_is_written_within_the_budget(read_log):
    decision_log = logs.DecisionLog(host="h1")
    for number in range(90):
        decision_log.add(decision(Kind.PLACE, reason=f"r{number}"))
    decision_log.flush()
    assert [reason for _, reason in read_log()] == [f"r{number}" for number in range(90)]


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
