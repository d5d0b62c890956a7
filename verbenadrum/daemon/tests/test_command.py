"""Tests of the daemon's command line and signals, each in a separate process."""

import signal
import subprocess
import sys

import pytest

SETTINGS = """
[host]
id = "h1"
data_centre = "d1"
region = "r1"
[callers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
[platform]
urls = ["http://127.0.0.1:9"]
"""
# Runs the command with a fake host that signals its own process in the constructor, and prints the
# names of the calls that it gets.
PROGRAM = """
from gevent import monkey
monkey.patch_all()
import os, signal, sys, time
import gevent
from verbenadrum.daemon import command, host

class SignalledHost:
    def __init__(self, **given):
        os.kill(os.getpid(), signal.Signals[sys.argv[1]])
        gevent.sleep(0.05)

    def start(self):
        print("start")

    def follow_settings(self, watched):
        pass

    def reload(self, path):
        print("reload")

    def begin_shutdown(self, since_ms):
        print("shutdown")
        print(f"{time.monotonic() * 1000.0 - since_ms:.0f}", file=sys.stderr)

    def wait(self):
        gevent.sleep(0.05)

host.Host = SignalledHost
command.flags.FLAGS(["verbenadrumd", "--config", sys.argv[2]])
sys.exit(command.main(["verbenadrumd"]))
"""


@pytest.mark.parametrize(
    ("name", "asked"), [("SIGHUP", "reload"), ("SIGTERM", "shutdown"), ("SIGINT", "shutdown")]
)
def test_signal_before_the_start_does_not_kill_the_process(tmp_path, name, asked):
    path = tmp_path / "host.toml"
    path.write_text(SETTINGS)
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM, name, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (completed.returncode, completed.stdout.split()) == (0, ["start", asked])
    # The shutdown is measured from the signal, which comes 50 ms before the constructor returns.
    assert asked != "shutdown" or float(completed.stderr) >= 40.0


def test_host_that_was_told_to_end_ends_without_a_word_on_standard_error(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text(SETTINGS + "[shutdown]\nlinger_ms = 50\nlimit_ms = 1000\n")
    command = [sys.executable, "-m", "verbenadrum.daemon", f"--config={path}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as running:
        assert b'"started"' in running.stdout.readline()
        running.send_signal(signal.SIGTERM)
        lines, errors = running.communicate(timeout=30)
    assert (running.returncode, errors) == (0, b"")
    assert b'"stopped"' in lines.splitlines()[-1]
