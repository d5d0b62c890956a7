"""Register of measured experiments and the row type that each returns."""

import msgspec

from verbenadrum.utils import registry

__all__ = ["Row", "experiments"]

# Each entry is a function ``(seed: int) -> list[Row]``: deterministic for a seed unless its rows
# say that they come from real processes.
experiments: registry.Registry = registry.Registry(kind="experiment")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure beside its target.

    Attributes
    ----------
    measure : str
        What was measured, with its unit.
    behaviour : str
        Registered name of the behaviour that was measured, such as ``escrow``.
    value : float
        The figure.
    target : float or None
        The stated target, or None for a figure without one.
    at_most : bool
        Whether the target is an upper bound.
    source : str
        ``focused`` for stepped time and small fakes, ``processes`` for real processes.
    note : str
        Anything a reader must know, such as how many seeds.
    """

    measure: str
    behaviour: str
    value: float
    target: float | None = None
    at_most: bool = True
    source: str = "focused"
    note: str = ""

    @property
    def met(self) -> bool | None:
        """Whether the target is met, or None without a target."""
        if self.target is None:
            return None
        return self.value <= self.target if self.at_most else self.value >= self.target
