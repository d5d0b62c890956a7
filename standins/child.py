"""Child process of a test or demo, ended by its process identifier."""

import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from standins import serving

__all__ = ["Child", "ChildError", "ROOT"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
_START_TRIES = 400
_TRY_PAUSE_S = 0.05
_END_TIMEOUT_S = 5.0


class ChildError(Exception):
    """A child process that did not do what it was started for."""


class Child:
    """One running module; its output goes to two files.

    Parameters
    ----------
    name : str
        Name of the process in reports.
    arguments : tuple of str
        Arguments of the interpreter, such as ``-m`` and a module.
    directory : pathlib.Path
        Where the output files go.
    """

    def __init__(self, *, name: str, arguments: tuple[str, ...], directory: pathlib.Path) -> None:
        self.name = name
        self.stdout = directory / f"{name}.out"
        self.stderr = directory / f"{name}.err"
        with self.stdout.open("ab") as out, self.stderr.open("ab") as err:
            self._process = subprocess.Popen(
                (sys.executable, *arguments),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )

    @property
    def pid(self) -> int:
        """Process identifier."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._process.poll()

    def read_port(self) -> int:
        """Wait for the announcement on standard output, and return its port."""
        for _ in range(_START_TRIES):
            first, newline, _ = self.stdout.read_bytes().partition(b"\n")
            if newline:
                return msgspec.json.decode(first, type=serving.Announcement).port
            self.check_running()
            time.sleep(_TRY_PAUSE_S)
        raise ChildError(f"{self.name} announced no port")

    def check_running(self) -> None:
        """Raise `ChildError` if the process has ended."""
        if self.exit_code is not None:
            text = self.stderr.read_text(errors="replace")[-2_000:]
            raise ChildError(f"{self.name} ended with {self.exit_code}: {text}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.exit_code is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the end, and return the exit code or None if it still runs."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """End the process at once, also while it is paused, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait(_END_TIMEOUT_S)
