"""Epochs: the one host list of a data centre that hard rules may rest on."""

__all__ = ["chain", "listed", "messages", "registry", "vouched", "voters"]
