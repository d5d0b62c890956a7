"""Record of the decisions of a host with their reasons, for the log and ``explain``."""

from verbenadrum.decisions import ring

__all__ = ["ring"]
