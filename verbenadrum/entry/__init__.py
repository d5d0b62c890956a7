"""Pipeline of a caller's request: route, key, limit, claim, placement, outcome."""

__all__ = ["keys", "pipeline", "refusals", "table"]
