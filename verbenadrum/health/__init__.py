"""Failure detection for backend servers: detection, ejection and return to service."""

__all__ = [
    "consecutive",
    "ejection",
    "evidence",
    "latency",
    "messages",
    "permits",
    "registry",
    "sequential",
]
