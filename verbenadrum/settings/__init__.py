"""Settings of the daemon, read from a TOML file into typed tables."""

__all__ = ["load", "types"]
