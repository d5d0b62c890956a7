"""Rate and burst of each workspace, summed over the whole fleet."""

__all__ = ["escrow", "global_owner", "registry", "static_split"]
