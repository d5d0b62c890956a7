"""Placement: choice of a backend server for each attempt, and fair sharing of server slots."""

__all__ = [
    "budget",
    "entry_side",
    "fair_queue",
    "home_side",
    "messages",
    "parts",
    "poison",
    "pool_home",
    "power_of_two",
    "registry",
    "servers",
]
