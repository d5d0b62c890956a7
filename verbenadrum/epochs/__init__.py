"""Epochs: the one host list of a data centre that hard rules may rest on."""

__all__ = ["listed", "registry"]
