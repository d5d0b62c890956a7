"""Imports every module that registers a behaviour, so that settings can select it."""

from verbenadrum.claims import local
from verbenadrum.epochs import listed, vouched
from verbenadrum.limits import static_split
from verbenadrum.placement import power_of_two

__all__ = ["local", "listed", "power_of_two", "static_split", "vouched"]
