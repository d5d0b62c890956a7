"""Registries of the policies that select platform readers, and of the host list systems."""

from verbenadrum.utils import registry

__all__ = ["host_list_systems", "reader_duties"]

# Each entry is a class with the constructor and the methods of ``duty.ReaderDuty``.
reader_duties: registry.Registry = registry.Registry(kind="reader duty")

# Each entry is a class with the constructor and the methods of ``host_lists.HostListSpread``.
host_list_systems: registry.Registry = registry.Registry(kind="host list")
