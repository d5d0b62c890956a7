"""A fleet of proxy hosts for backend servers whose failures are partial or silent."""

__all__ = ["__version__"]

__version__ = "0.1.0"
