"""Register of the placers that settings can select."""

from verbenadrum.core import ports
from verbenadrum.utils import registry

__all__ = ["placers"]

# Each entry is a class made with the keywords context, records, membership and judge, the
# last being a name in the register of health judges.
placers: registry.Registry[type[ports.Placer]] = registry.Registry(kind="placer")
