"""Utilities that every subpackage may import."""

__all__ = ["clock", "errors", "hashing", "registry"]
