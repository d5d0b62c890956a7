"""Records published by operators, the fleet's configuration: types, schema upgrades and stores.

A record is in force on a host if it is the newest valid revision of its kind and name there.
"""

__all__ = ["checks", "envelope", "store", "table", "types", "upgrades"]
