"""Typed messages between hosts, and their msgpack codec."""

from verbenadrum.messages import base, codec

__all__ = ["base", "codec"]
