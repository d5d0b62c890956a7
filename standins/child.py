"""Child process of a test or demo, signalled only by its own process identifier."""

import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from standins import serving

__all__ = ["Child", "ChildError", "REPOSITORY_ROOT"]

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent
_MAX_START_POLLS = 400
_START_POLL_INTERVAL_S = 0.05
_EXIT_TIMEOUT_S = 5.0


class ChildError(Exception):
    """Raised if a child process exits too early or does not become ready in time."""


class Child:
    """Child process of the Python interpreter, started in the root of the repository.

    Parameters
    ----------
    name : str
        Name of the process in error messages and of its output files.
    arguments : tuple of str
        Arguments of the interpreter, such as ``-m`` and a module.
    directory : pathlib.Path
        Directory of the output files.

    Attributes
    ----------
    stdout, stderr : pathlib.Path
        Files to which standard output and standard error are appended.
    """

    def __init__(self, *, name: str, arguments: tuple[str, ...], directory: pathlib.Path) -> None:
        self.name = name
        self.stdout = directory / f"{name}.out"
        self.stderr = directory / f"{name}.err"
        with self.stdout.open("ab") as out, self.stderr.open("ab") as err:
            self._process = subprocess.Popen(
                (sys.executable, *arguments),
                cwd=REPOSITORY_ROOT,
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
        """Wait for the announcement on standard output, and return its port.

        Raises
        ------
        ChildError
            If the process exits before, or prints no line in time.
        """
        for _ in range(_MAX_START_POLLS):
            first_line, newline, _ = self.stdout.read_bytes().partition(b"\n")
            if newline:
                return msgspec.json.decode(first_line, type=serving.Announcement).port
            self.check_running()
            time.sleep(_START_POLL_INTERVAL_S)
        raise ChildError(f"{self.name} did not announce its port in time")

    def check_running(self) -> None:
        """Check that the process has not exited.

        Raises
        ------
        ChildError
            If it has; the message ends with the last part of its standard error.
        """
        if self.exit_code is not None:
            stderr_tail = self.stderr.read_text(errors="replace")[-2_000:]
            raise ChildError(f"{self.name} exited with code {self.exit_code}: {stderr_tail}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.exit_code is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the exit of the process; return its code, or None after the timeout."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process, also while it is stopped by SIGSTOP, and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.wait(_EXIT_TIMEOUT_S)
