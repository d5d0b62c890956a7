"""Rate and burst of each workspace, summed over the whole fleet."""

__all__ = ["registry", "static_split"]
