"""Limiters that enforce the rate and burst of each workspace over the whole fleet."""

__all__ = ["escrow", "global_owner", "metered", "registry", "static_split"]
