"""Command line of the daemon ``verbenadrumd``."""

import pathlib
import signal
import sys

import gevent
from absl import flags

from verbenadrum.daemon import host, logs
from verbenadrum.settings import load
from verbenadrum.utils import errors

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3

_CONFIG = flags.DEFINE_string("config", None, "Path of the settings file (TOML).", required=True)


def main(argv: list[str]) -> int:
    """Run the daemon until it is told to stop, and return its exit code."""
    if len(argv) > 1:
        print(f"verbenadrumd takes no arguments, got: {' '.join(argv[1:])}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load.load_settings(pathlib.Path(_CONFIG.value))
    except load.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    writer = logs.configure(settings.log.level)
    try:
        running = host.Host(settings=settings, writer=writer)
        running.start()
    except (errors.VerbenadrumError, OSError) as error:
        writer.flush()
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    running.follow_settings(pathlib.Path(_CONFIG.value))
    gevent.signal_handler(signal.SIGHUP, running.reload, pathlib.Path(_CONFIG.value))
    gevent.signal_handler(signal.SIGTERM, running.begin_shutdown)
    gevent.signal_handler(signal.SIGINT, running.begin_shutdown)
    running.wait()
    return 0
