"""Command line and signal handling of the daemon ``verbenadrumd``."""

import logging
import pathlib
import signal
import sys
import types

import gevent
from absl import flags

from verbenadrum.daemon import heartbeat, host, logs
from verbenadrum.settings import load, watch
from verbenadrum.utils import clock, errors

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3

_log = logging.getLogger(__name__)

_CONFIG = flags.DEFINE_string("config", None, "Path of the settings file (TOML).", required=True)


def main(argv: list[str]) -> int:
    """Run the daemon until a signal shuts it down, and return its exit code.

    It is `EXIT_BAD_SETTINGS` for invalid arguments or settings, `EXIT_CANNOT_START` if the host
    cannot be started, and otherwise 0.
    """
    if len(argv) > 1:
        print(
            f"verbenadrumd takes no positional arguments, got: {' '.join(argv[1:])}",
            file=sys.stderr,
        )
        return EXIT_BAD_SETTINGS
    path = pathlib.Path(_CONFIG.value)
    beats = heartbeat.LoopHeartbeat(clock=clock.SystemClock())
    signal_handlers = _SignalHandlers(path=path, beats=beats)
    # Created before the file is read, so that a change during the start is detected.
    settings_watch = watch.SettingsWatch(path=path)
    try:
        settings = load.load_settings(path)
    except load.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    writer = logs.configure(settings.log.level)
    gevent.get_hub().print_exception = _log_unhandled_error
    try:
        new_host = host.Host(settings=settings, writer=writer)
        new_host.start()
    except (errors.VerbenadrumError, OSError) as error:
        writer.flush()
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    new_host.follow_settings(settings_watch)
    signal_handlers.attach(new_host)
    new_host.wait()
    return 0


def _log_unhandled_error(
    context: object, kind: type, error: BaseException, trace: types.TracebackType
) -> None:
    """Log an error that ended a greenlet, in place of gevent's output on standard error."""
    _log.error(
        "unhandled error", exc_info=(kind, error, trace), extra={"context": str(context)[:200]}
    )


class _SignalHandlers:
    """Handles SIGHUP, SIGTERM and SIGINT; defers signals that arrive before the host has started.

    Parameters
    ----------
    path : Path
        The settings file that SIGHUP reloads.
    beats : LoopHeartbeat
        Bounds when a signal was sent; it follows the event loop from now on.
    """

    def __init__(self, *, path: pathlib.Path, beats: heartbeat.LoopHeartbeat) -> None:
        self._path = path
        self._beats = beats
        self._host: host.Host | None = None
        self._reload_requested = False
        self._shutdown_ms: float | None = None
        gevent.signal_handler(signal.SIGHUP, self._on_reload)
        # A greenlet of `gevent.signal_handler` could start only after further iterations.
        loop = gevent.get_hub().loop
        beats.follow(loop)
        self._watchers = [
            loop.signal(number, ref=False) for number in (signal.SIGTERM, signal.SIGINT)
        ]
        for watcher in self._watchers:
            watcher.start(self._on_shutdown)

    def attach(self, new_host: host.Host) -> None:
        """Apply the deferred signals to the host, and from now on each signal at once."""
        self._host = new_host
        if self._reload_requested:
            new_host.reload(self._path)
        if self._shutdown_ms is not None:
            new_host.begin_shutdown(self._shutdown_ms)

    def _on_reload(self) -> None:
        self._reload_requested = True
        if self._host is not None:
            self._host.reload(self._path)

    def _on_shutdown(self) -> None:
        if self._shutdown_ms is None:
            self._shutdown_ms = self._beats.earliest_signal_ms
        if self._host is not None:
            self._host.begin_shutdown(self._shutdown_ms)
