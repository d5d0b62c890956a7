"""The command-line tool ``verbenadrum``."""

__all__ = ["check", "explain", "key", "main", "options", "output", "registry", "status", "watch"]
