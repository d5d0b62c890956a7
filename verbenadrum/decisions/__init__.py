"""Decisions with their reasons: what the logs and ``explain`` show."""

from verbenadrum.decisions import ring

__all__ = ["ring"]
