"""Epochs: agreement of the hosts of a data centre on the one host list that is in force.

Invariants that must hold on all hosts, such as rate limits and claims, depend on it.
"""

__all__ = ["chain", "listed", "messages", "registry", "vouched", "voters"]
