"""Assembly of the systems of one host, and the implementations that settings select by name."""

__all__ = ["behaviours", "engine"]
