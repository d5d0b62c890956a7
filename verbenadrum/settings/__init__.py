"""Settings of the daemon: typed tables read from one TOML file."""

__all__ = ["load", "types"]
