"""Imports every module that registers an implementation, so that settings can select it by name."""

from verbenadrum.claims import local, none, witnessed
from verbenadrum.dissemination import duty, every_host, host_lists
from verbenadrum.epochs import counted, listed, vouched
from verbenadrum.health import belief, consecutive, sequential
from verbenadrum.limits import escrow, global_owner, metered, static_split
from verbenadrum.membership import seeded
from verbenadrum.placement import pool_home, power_of_two

__all__ = [
    "belief",
    "consecutive",
    "counted",
    "duty",
    "escrow",
    "every_host",
    "global_owner",
    "host_lists",
    "listed",
    "metered",
    "local",
    "none",
    "pool_home",
    "power_of_two",
    "seeded",
    "sequential",
    "static_split",
    "vouched",
    "witnessed",
]
