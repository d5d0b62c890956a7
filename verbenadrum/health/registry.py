"""Register of the judges that settings can select."""

from verbenadrum.health import evidence
from verbenadrum.utils import registry

__all__ = ["judges"]

# Each entry is a class made without arguments, one object for each pool.
judges: registry.Registry[type[evidence.Judge]] = registry.Registry(kind="health judge")
