"""Registries of the policies that select platform readers, and of the host list systems."""

from verbenadrum.utils import registry

__all__ = ["host_list_systems", "read_schedulers"]

# Each entry is a class with the constructor and the methods of ``duty.ReadScheduler``.
read_schedulers: registry.Registry = registry.Registry(kind="read scheduler")

# Each entry is a class with the constructor and the methods of ``host_lists.HostListSpread``.
host_list_systems: registry.Registry = registry.Registry(kind="host list")
