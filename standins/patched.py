"""Pytest plugin: the standard library is cooperative, as it is in the daemon."""

from gevent import monkey

__all__: list[str] = []

monkey.patch_all()
