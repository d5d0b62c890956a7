"""The sans-IO core: it decides on requests, and the surrounding program performs the I/O.

`engine` assembles the systems (limits, claims, placement and so on) of one host, `ports` holds the
interfaces between them, and `context` what they share.
"""

__all__ = ["context", "engine", "ports", "system"]
