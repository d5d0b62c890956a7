"""Which hosts are listed, and which of them seem reachable from here."""

__all__ = ["detector", "messages", "rumors", "suspicion", "table"]
