"""Registry of the failure detectors that settings can select."""

from verbenadrum.health import evidence
from verbenadrum.utils import registry

__all__ = ["judges"]

# Each class is called without arguments, once for each pool.
judges: registry.Registry[type[evidence.Judge]] = registry.Registry(kind="health judge")
