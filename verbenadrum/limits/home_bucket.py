"""A home's bucket of one workspace: tokens held, and grants that have not been settled."""

import heapq

import msgspec

from verbenadrum import ids
from verbenadrum.limits import lots

__all__ = ["GrantKey", "GrantRow", "HomeBucket"]

_MS_PER_S = 1000.0


class GrantKey(msgspec.Struct, frozen=True, order=True, gc=False):
    """Holder of a grant and the number that the holder gave it."""

    holder: ids.HostId
    number: int


class GrantRow(msgspec.Struct, kw_only=True):
    """A grant that its holder may still spend: own tokens, and parts of borrowed lots."""

    own: float
    until_ms: float
    parts: list[tuple[lots.Lot, float]]


class HomeBucket:
    """Tokens that accrue on the share lent to this home.

    ``held`` plus the own tokens of unsettled, unexpired grants never exceed burst x share:
    tokens accrue only where room is left, and a smaller share cuts ``held`` at once.

    Parameters
    ----------
    now_ms : float
        Monotonic time at which the bucket starts.
    held : float
        Tokens it starts with.
    rate_per_s, burst : float
        Limits of the workspace over the whole fleet.
    """

    def __init__(self, *, now_ms: float, held: float, rate_per_s: float, burst: float) -> None:
        self._updated_ms = now_ms
        self._outstanding = 0.0
        self._expiries: list[tuple[float, GrantKey]] = []
        self._grants: dict[GrantKey, GrantRow] = {}
        self.held = held
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.borrowed = lots.TokenLots()
        self.used_ms = now_ms

    @property
    def outstanding(self) -> float:
        """Own tokens that are granted and neither settled nor expired."""
        return self._outstanding

    @property
    def idle(self) -> bool:
        """Whether nothing of this bucket is in another host's hands, nor borrowed."""
        return not self._grants and not self.borrowed

    def has_grant(self, key: GrantKey) -> bool:
        """Return whether a grant is neither settled nor expired."""
        return key in self._grants

    def advance(self, *, now_ms: float, share: float) -> None:
        """Accrue up to now under a share that has not changed since the last call."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            until_ms, key = heapq.heappop(self._expiries)
            row = self._grants.get(key)
            if row is not None and row.until_ms == until_ms:
                self._accrue(until_ms, share)
                self._forget(key)
        self._accrue(now_ms, share)

    def clip(self, *, share: float) -> None:
        """Cut what is held to the room that a share leaves."""
        self.held = max(0.0, min(self.held, self.burst * share - self._outstanding))

    def configure(self, *, rate_per_s: float, burst: float, share: float) -> None:
        """Take changed limits; tokens above the new room are lost."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clip(share=share)

    def room(self, *, backed_share: float) -> float:
        """Return the held tokens that a grant may take if ``backed_share`` lasts as long."""
        return max(0.0, min(self.held, self.burst * backed_share - self._outstanding))

    def grant(self, key: GrantKey, row: GrantRow) -> None:
        """Move tokens from the bucket to a holder."""
        self.held = max(0.0, self.held - row.own)
        self._outstanding += row.own
        for lot, _ in row.parts:
            lot.open_parts += 1
        self._grants[key] = row
        heapq.heappush(self._expiries, (row.until_ms, key))

    def settle(self, key: GrantKey, *, unspent: float, share: float) -> None:
        """End a grant, and take back what its holder has left; a repetition changes nothing."""
        row = self._forget(key)
        if row is None:
            return
        back = max(0.0, min(unspent, row.own))
        self.held = max(0.0, min(self.held + back, self.burst * share - self._outstanding))
        rest = unspent - back
        for lot, amount in row.parts:
            returned = max(0.0, min(rest, amount))
            lot.left += returned
            rest -= returned

    def _forget(self, key: GrantKey) -> GrantRow | None:
        row = self._grants.pop(key, None)
        if row is None:
            return None
        self._outstanding -= row.own
        if not self._grants:
            self._outstanding = 0.0
        for lot, _ in row.parts:
            lot.open_parts -= 1
        return row

    def _accrue(self, now_ms: float, share: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        accrued = self.held + self.rate_per_s * share * elapsed_ms / _MS_PER_S
        self.held = max(0.0, min(accrued, self.burst * share - self._outstanding))
