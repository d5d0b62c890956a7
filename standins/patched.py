"""Pytest plugin that patches the standard library for gevent, as the daemon does."""

from gevent import monkey

__all__: list[str] = []

monkey.patch_all()
