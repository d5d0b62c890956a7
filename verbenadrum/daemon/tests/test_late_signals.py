"""Tests of shutdowns by a process that runs late, each in a process of its own."""

import subprocess
import sys

import pytest

# One host of `test_host`, which refuses what is left 900 ms after SIGTERM and lingers for 400 ms.
PREFIX = """
from gevent import monkey
monkey.patch_all()
import os, pathlib, signal, time
import gevent
from verbenadrum.daemon import command, heartbeat
from verbenadrum.daemon.tests import test_host
from verbenadrum.utils import clock

stall = monkey.get_original("time", "sleep")
beats = heartbeat.LoopHeartbeat(clock=clock.SystemClock())
handlers = command._SignalHandlers(path=pathlib.Path("unused"), beats=beats)
hosted = test_host.HostWithServer(delay_s=30.0)
handlers.attach(hosted.host)
gevent.sleep(0.3)
kept = hosted.connect()
gevent.sleep(0.3)

def send(method, deadline_ms):
    head = f"{method} /x HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 0\\r\\n"
    kept.sendall(f"{head}X-Deadline-Ms: {deadline_ms}\\r\\n\\r\\n".encode())

def print_answer():
    data, clean = test_host.read_to_end(kept)
    print(data[9:12].decode() or "none", "clean" if clean else "reset", len(hosted.server.heads))
"""
LATE_SIGNAL = """
os.kill(os.getpid(), signal.SIGTERM)
stall(0.6)
send("{method}", 600)
print_answer()
"""
LATE_END_OF_LINGER = """
os.kill(os.getpid(), signal.SIGTERM)
gevent.sleep(0.05)
stall(0.5)
send("GET", 600)
print_answer()
"""
LATE_END = """
send("POST", 900)
test_host.wait_until(lambda: hosted.server.heads)
os.kill(os.getpid(), signal.SIGTERM)
gevent.sleep(0.3)
hosted.server.sockets[-1].sendall(test_host.ANSWER)
stall(0.8)
print_answer()
"""
# Limits of a deployment; the answer comes 4.8 s after SIGTERM and in time for its caller.
LONG_LIMITS = """
test_host.SETTINGS = (
    test_host.SETTINGS.replace("linger_ms = 400", "linger_ms = 3000")
    .replace("limit_ms = 1300", "limit_ms = 6000")
    .replace("margin_ms = 300", "margin_ms = 600")
)
"""
STALL_BEFORE_SIGNAL = """
stall(1.0)
os.kill(os.getpid(), signal.SIGTERM)
gevent.sleep(0.5)
send("GET", 4400)
print_answer()
"""
# Signals at random times, from a thread of its own, to a loop that is often busy.
SENT_AND_RECKONED = """
from gevent import monkey
monkey.patch_all()
import os, pathlib, random, signal, time
import gevent
from verbenadrum.daemon import command, heartbeat
from verbenadrum.utils import clock

rng = random.Random(1)
stall = monkey.get_original("time", "sleep")
now_ms = clock.SystemClock().now_ms
beats = heartbeat.LoopHeartbeat(clock=clock.SystemClock())
handlers = command._SignalHandlers(path=pathlib.Path("unused"), beats=beats)
sent, reckoned = [], []

class Host:
    def begin_shutdown(self, since_ms):
        reckoned.append(since_ms)
        handlers._shutdown_ms = None

def run_ticks():
    while True:
        gevent.sleep(0.02)

def be_busy():
    while True:
        gevent.sleep(rng.random() * 0.1)
        stall(rng.random() * 0.15)

def send_signals():
    for _ in range(20):
        stall(rng.random() * 0.1)
        sent.append(now_ms())
        os.kill(os.getpid(), signal.SIGTERM)
        while len(reckoned) < len(sent):
            stall(0.001)

handlers.attach(Host())
gevent.spawn(run_ticks)
gevent.spawn(be_busy)
gevent.get_hub().threadpool.spawn(send_signals).get()
print(len(sent), sum(since > at for since, at in zip(reckoned, sent, strict=True)))
"""


def run(program, prefix=PREFIX):
    completed = subprocess.run(
        [sys.executable, "-c", prefix + program],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.stdout, completed.stderr
    return completed.stdout.split()


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_may_outlive_its_host_is_refused_by_a_host_that_took_its_signal_late(method):
    assert run(LATE_SIGNAL.format(method=method)) == ["503", "clean", "0"]


def test_request_read_after_the_linger_is_refused_by_a_host_that_was_late_for_its_end():
    assert run(LATE_END_OF_LINGER) == ["503", "clean", "0"]


def test_answer_that_arrived_is_delivered_by_a_host_that_was_late_for_its_own_end():
    assert run(LATE_END) == ["200", "clean", "1"]


def test_request_after_a_signal_that_ended_a_stall_is_refused_or_has_its_time():
    before, after = PREFIX.replace("delay_s=30.0", "delay_s=4.3").split("hosted = ")
    answer = run(STALL_BEFORE_SIGNAL, f"{before}{LONG_LIMITS}hosted = {after}")
    assert answer in (["200", "clean", "1"], ["503", "clean", "0"])


def test_no_signal_is_reckoned_from_after_its_sending_by_a_busy_loop():
    assert run(SENT_AND_RECKONED, "") == ["20", "0"]
