"""Shell around the decision core: sockets, signals, logs and metrics of one host process."""

__all__ = ["callers", "host", "main", "operators", "peers", "upstream"]
