"""Registry of the experiments that are measured, and the type of their result rows."""

import msgspec

from verbenadrum.utils import registry

__all__ = ["Row", "experiments"]

# Each entry is a function ``(seed: int) -> list[Row]``. Its rows must depend only on the seed,
# unless their ``source`` is ``processes``.
experiments: registry.Registry = registry.Registry(kind="experiment")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value and its target.

    Attributes
    ----------
    measure : str
        What was measured, with its unit.
    behaviour : str
        Registered name of the implementation that was measured, such as ``escrow``.
    value : float
        The measured value.
    target : float or None
        The target, or None for a value without one.
    at_most : bool
        Whether the target is an upper bound; otherwise it is a lower bound.
    source : str
        ``focused`` if measured with simulated time and small fakes, ``processes`` if measured on
        real processes.
    note : str
        Further information for the reader, such as the number of seeds.
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
        """Whether the value meets the target; None if there is no target."""
        if self.target is None:
            return None
        return self.value <= self.target if self.at_most else self.value >= self.target
