"""A short soak as its own process, and the checks on rows made by hand."""

import subprocess
import sys

from standins import child

TIMEOUT_S = 60.0
# A long margin leaves a busy machine time to end the process.
ARGUMENTS = ("--seed=1", "--seconds=2", "--hosts=4", "--limit_ms=3000", "--margin_ms=1500")


def test_short_soak_keeps_every_promise():
    ran = subprocess.run(
        (sys.executable, "-m", "standins.soak", *ARGUMENTS),
        cwd=child.ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert ran.returncode == 0, ran.stdout + ran.stderr
