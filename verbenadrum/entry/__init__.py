"""Request pipeline of the host that receives a caller's request (the entry host).

In order: routing, authentication, rate limit, claim of the idempotency key, choice of a backend
server, dispatch, retries and hedges.
"""

__all__ = ["keys", "pipeline", "refusals", "table"]
