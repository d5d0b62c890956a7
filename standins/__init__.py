"""Stand-ins for the platform, backend servers, callers and the network, for tests and demos."""
