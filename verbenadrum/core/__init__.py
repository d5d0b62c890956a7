"""The sans-IO decision core: context, systems and the engine that runs them."""

__all__ = ["context", "engine", "ports", "system"]
