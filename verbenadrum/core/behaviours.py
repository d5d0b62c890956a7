"""Imports every module that registers a behaviour, so that settings can select it."""

from verbenadrum.claims import local
from verbenadrum.epochs import listed
from verbenadrum.limits import escrow, global_owner, static_split
from verbenadrum.placement import power_of_two

__all__ = ["escrow", "global_owner", "listed", "local", "power_of_two", "static_split"]
