"""Records that operators publish: types, schema upgrades and the store of those in force."""

__all__ = ["checks", "envelope", "store", "table", "types", "upgrades"]
