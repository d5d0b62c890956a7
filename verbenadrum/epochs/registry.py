"""Registry of the epoch systems that settings can select."""

from verbenadrum.core import ports
from verbenadrum.utils import registry

__all__ = ["epoch_systems"]

# Each class is called with the keyword arguments context, records and membership.
epoch_systems: registry.Registry[type[ports.EpochPort]] = registry.Registry(kind="epoch system")
