"""A proxy fleet for backend servers that fail partially and quietly."""

__all__ = ["__version__"]

__version__ = "0.1.0"
