"""Registry of the limiters that settings can select."""

from verbenadrum.core import ports
from verbenadrum.utils import registry

__all__ = ["limiters"]

# Each class is constructed with the keywords context, records, membership and epochs.
limiters: registry.Registry[type[ports.Limiter]] = registry.Registry(kind="limiter")
