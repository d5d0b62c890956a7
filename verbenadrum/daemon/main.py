"""Entry point of the daemon ``verbenadrumd``."""

# The standard library must be made cooperative before anything else imports it.
from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402

from verbenadrum.daemon import host, logs  # noqa: E402
from verbenadrum.settings import load  # noqa: E402
from verbenadrum.utils import errors  # noqa: E402

__all__ = ["run"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3

_CONFIG = flags.DEFINE_string("config", None, "Path of the settings file (TOML).", required=True)


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        print(f"verbenadrumd takes no arguments, got: {' '.join(argv[1:])}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load.load_settings(pathlib.Path(_CONFIG.value))
    except load.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(settings.log.level)
    try:
        running = host.Host(settings=settings)
        running.start()
    except (errors.VerbenadrumError, OSError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    gevent.signal_handler(signal.SIGTERM, running.begin_shutdown)
    gevent.signal_handler(signal.SIGINT, running.begin_shutdown)
    running.wait()
    return 0


def run() -> None:
    """Parse flags and run the daemon until it is told to stop."""
    app.run(_main)
