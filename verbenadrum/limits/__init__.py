"""Rate and burst of each workspace, summed over the whole fleet."""

__all__ = ["escrow", "global_owner", "metered", "registry", "static_split"]
