"""Registry of the placers, by the names under which they can be selected."""

from verbenadrum.core import ports
from verbenadrum.utils import registry

__all__ = ["placers"]

# Each entry is a class that is constructed with the keywords context, records, membership, judge (a
# name in the registry of health judges) and, optionally, retries.
placers: registry.Registry[type[ports.Placer]] = registry.Registry(kind="placer")
