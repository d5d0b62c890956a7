"""Claims of idempotency keys: non-idempotent work runs at most once."""

__all__ = ["local", "registry"]
