"""Spreads records and host lists from the platform's readers to every host."""

__all__ = [
    "duty",
    "every_host",
    "host_lists",
    "messages",
    "progress",
    "records",
    "registry",
    "sampler",
]
