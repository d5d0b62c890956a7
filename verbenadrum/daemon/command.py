"""Command line of the daemon ``verbenadrumd``."""

import pathlib
import signal
import sys

import gevent
from absl import flags

from verbenadrum.daemon import host, logs
from verbenadrum.settings import load, watch
from verbenadrum.utils import clock, errors

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3

_CONFIG = flags.DEFINE_string("config", None, "Path of the settings file (TOML).", required=True)


def main(argv: list[str]) -> int:
    """Run the daemon until it is told to stop, and return its exit code."""
    if len(argv) > 1:
        print(f"verbenadrumd takes no arguments, got: {' '.join(argv[1:])}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    path = pathlib.Path(_CONFIG.value)
    signals = _Signals(path=path)
    # Before the file is read, so that a change meanwhile is seen as one.
    watched = watch.SettingsWatch(path=path)
    try:
        settings = load.load_settings(path)
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
    running.follow_settings(watched)
    signals.hand_over(running)
    running.wait()
    return 0


class _Signals:
    """Takes signals from the first moment on, and keeps them until there is a host.

    Parameters
    ----------
    path : Path
        The settings file that SIGHUP reads again.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._path = path
        self._host: host.Host | None = None
        self._reload = False
        self._ended_ms: float | None = None
        gevent.signal_handler(signal.SIGHUP, self._on_reload)
        gevent.signal_handler(signal.SIGTERM, self._on_end)
        gevent.signal_handler(signal.SIGINT, self._on_end)

    def hand_over(self, running: host.Host) -> None:
        """Pass on the signals that came before, and from now on each at once."""
        self._host = running
        if self._reload:
            running.reload(self._path)
        if self._ended_ms is not None:
            running.begin_shutdown(self._ended_ms)

    def _on_reload(self) -> None:
        self._reload = True
        if self._host is not None:
            self._host.reload(self._path)

    def _on_end(self) -> None:
        if self._ended_ms is None:
            self._ended_ms = clock.SystemClock().now_ms()
        if self._host is not None:
            self._host.begin_shutdown(self._ended_ms)
