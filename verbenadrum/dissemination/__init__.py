"""Spreads records and host lists from the platform's readers to every host."""

__all__ = ["duty", "host_lists", "messages", "progress", "records", "sampler"]
