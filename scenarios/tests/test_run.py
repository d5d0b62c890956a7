"""Runs a few quick scenarios against real processes, each by its own command."""

import subprocess
import sys

import pytest

from standins import child

NAMES = ("end_to_end", "withdrawn_key", "broken_answers")
TIMEOUT_S = 180.0


@pytest.fixture(scope="module")
def runs():
    """Start the scenarios side by side, since they mostly wait."""
    started = {
        name: subprocess.Popen(
            (sys.executable, "-m", "scenarios.run", "--logs", f"scenarios/{name}.scenario"),
            cwd=child.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for name in NAMES
    }
    yield started
    for process in started.values():
        process.terminate()
        process.wait()


@pytest.mark.parametrize("name", NAMES)
def test_scenario_is_kept(runs, name):
    output, _ = runs[name].communicate(timeout=TIMEOUT_S)
    assert runs[name].returncode == 0, output
