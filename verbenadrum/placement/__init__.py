"""Choice of a backend server for each attempt, and each workspace's share of its slots."""

__all__ = ["power_of_two", "registry"]
