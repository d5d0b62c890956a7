"""Scripted scenarios, each run against real processes."""

__all__ = ["actions", "checks", "language", "run", "stage"]
