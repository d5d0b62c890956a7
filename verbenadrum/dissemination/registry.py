"""Register of the rules that say which hosts read the platform."""

from verbenadrum.utils import registry

__all__ = ["reader_duties"]

# Each entry is a class with the constructor and the methods of ``duty.ReaderDuty``.
reader_duties: registry.Registry = registry.Registry(kind="reader duty")
