"""Pytest plugin that patches the standard library for gevent, as the daemon does."""

import os

import gevent
from gevent import monkey

__all__: list[str] = []

# Set by pytest-xdist in the processes that run tests.
_WORKER_VARIABLE = "PYTEST_XDIST_WORKER"
_KEEP_ALIVE_INTERVAL_S = 0.05

monkey.patch_all()


def _keep_event_loop_alive() -> None:
    """Run until the process ends.

    A worker waits for its next test, which another thread hands over, in an event loop that would
    otherwise have nothing to wait for.
    """
    while True:
        gevent.sleep(_KEEP_ALIVE_INTERVAL_S)


if _WORKER_VARIABLE in os.environ:
    gevent.spawn(_keep_event_loop_alive)
