"""Claims of idempotency keys: non-idempotent work runs at most once."""

__all__ = [
    "attempts",
    "homes",
    "keys",
    "local",
    "messages",
    "register",
    "registry",
    "winners",
    "witnessed",
]
