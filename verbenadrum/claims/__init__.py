"""Claims of idempotency keys, so that a request that is not idempotent runs at most once."""

__all__ = [
    "attempts",
    "homes",
    "keys",
    "local",
    "messages",
    "none",
    "register",
    "registry",
    "winners",
    "witnessed",
]
