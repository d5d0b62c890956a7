"""The daemon: runs the decision core of one host with its sockets, signals, logs and metrics."""

__all__ = ["callers", "host", "main", "operators", "peers", "upstream"]
