"""Entry point of the daemon ``verbenadrumd``."""

import importlib
import os
import signal
import sys

__all__ = ["run"]


def run() -> None:
    """Patch the standard library with gevent, parse the flags and run the daemon.

    The patch has to precede the import of the daemon's other modules. It is not applied when this
    module is imported, so that the import has no side effects in a test or a tool.
    """
    # The settings have not been read yet, so a request to reload them can be ignored.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("gevent.monkey").patch_all()
    app = importlib.import_module("absl.app")
    command = importlib.import_module("verbenadrum.daemon.command")
    app.run(lambda argv: _exit(command.main(argv)))


def _exit(code: int) -> None:
    """Exit without finalizing the interpreter.

    Nothing is left to clean up, and finalization can take longer than a deployment waits for.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
