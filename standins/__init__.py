"""Stand-ins for the platform, backend servers, callers and the network, for tests and demos."""

__all__ = [
    "backend",
    "behaviours",
    "caller",
    "child",
    "endless",
    "fault_proxy",
    "fleet",
    "platform",
    "serving",
]
