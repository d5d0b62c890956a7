"""What the systems of the sans-IO core rest on.

`ports` holds the interfaces between the systems (limits, claims, placement and so on), `system`
their base class, and `context` what those of one host share.
"""

__all__ = ["context", "ports", "system"]
