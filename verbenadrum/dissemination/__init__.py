"""Gossip of records and host lists from the hosts that read the platform to all others."""

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
