"""Registry of the claim systems that settings can select."""

from verbenadrum.core import ports
from verbenadrum.utils import registry

__all__ = ["claim_systems"]

# Each class is called with the keyword arguments context, records, membership and epochs.
claim_systems: registry.Registry[type[ports.ClaimPort]] = registry.Registry(kind="claim system")
