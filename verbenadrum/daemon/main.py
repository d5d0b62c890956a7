"""Entry point of the daemon ``verbenadrumd``."""

import importlib
import os
import signal
import sys

__all__ = ["run"]


def run() -> None:
    """Make the standard library cooperative, then parse flags and run the daemon.

    The patch comes before the daemon's modules are imported, and not when this module is, so
    that importing it changes nothing in a test or a tool.
    """
    # The settings are read later, so a reload that is asked for until then has nothing to do.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("gevent.monkey").patch_all()
    app = importlib.import_module("absl.app")
    command = importlib.import_module("verbenadrum.daemon.command")
    app.run(lambda argv: _end(command.main(argv)))


def _end(code: int) -> None:
    """End the process without finalizing the interpreter.

    Nothing is left to clean up, and finalization takes longer than a deployment may wait for.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
