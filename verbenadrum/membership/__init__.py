"""Host list, and the failure detector that tracks which listed hosts are reachable."""

__all__ = ["detector", "messages", "rumors", "suspicion", "table"]
