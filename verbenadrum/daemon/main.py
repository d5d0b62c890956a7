"""Entry point of the daemon ``verbenadrumd``."""

import importlib

from absl import app
from gevent import monkey

__all__ = ["run"]


def run() -> None:
    """Make the standard library cooperative, then parse flags and run the daemon.

    The patch comes before the daemon's modules are imported, and not when this module is, so
    that importing it changes nothing in a test or a tool.
    """
    monkey.patch_all()
    command = importlib.import_module("verbenadrum.daemon.command")
    app.run(command.main)
