"""Scripted scenarios, each run on a fleet of real processes with stand-ins around it."""

__all__ = ["actions", "checks", "language", "run", "stage"]
