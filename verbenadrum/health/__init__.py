"""Judgement of backend servers: who is sick, who may be ejected, and how each returns."""

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
