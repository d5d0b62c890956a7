"""A home's bucket of one workspace: available tokens, and grants that have not been settled."""

import heapq

import msgspec

from verbenadrum import ids
from verbenadrum.limits import lots

__all__ = ["GrantKey", "HomeBucket", "OpenGrant"]

_MS_PER_S = 1000.0


class GrantKey(msgspec.Struct, frozen=True, order=True, gc=False):
    """Host that holds a grant, and the number of the request that the grant answers."""

    holder: ids.HostId
    number: int


class OpenGrant(msgspec.Struct, kw_only=True):
    """A grant that is neither settled nor expired.

    ``own_tokens`` come from this home's bucket, ``parts`` are lots that it borrowed, each with the
    number of tokens taken; ``until_ms`` is the monotonic time of the expiry.
    """

    own_tokens: float
    until_ms: float
    parts: list[tuple[lots.Lot, float]]


class HomeBucket:
    """Tokens that accrue on the share lent to this home.

    ``tokens`` plus the own tokens of open grants never exceed burst x share: tokens accrue only
    up to that capacity, and a smaller share reduces ``tokens`` at once. A share is a fraction of
    the whole fleet's limits, from 0 to 1.

    Parameters
    ----------
    now_ms : float
        Monotonic time at which the bucket starts.
    tokens : float
        Tokens that the bucket starts with.
    rate_per_s, burst : float
        Limits of the workspace over the whole fleet.

    Attributes
    ----------
    tokens : float
        Own tokens that are available for grants.
    borrowed : TokenLots
        Tokens borrowed from the homes of other scopes.
    last_used_ms : float
        Monotonic time of the last request for this bucket's tokens.
    """

    def __init__(self, *, now_ms: float, tokens: float, rate_per_s: float, burst: float) -> None:
        self._updated_ms = now_ms
        self._outstanding = 0.0
        self._expiries: list[tuple[float, GrantKey]] = []
        self._grants: dict[GrantKey, OpenGrant] = {}
        self.tokens = tokens
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.borrowed = lots.TokenLots()
        self.last_used_ms = now_ms

    @property
    def outstanding(self) -> float:
        """Own tokens that are granted and neither settled nor expired."""
        return self._outstanding

    @property
    def idle(self) -> bool:
        """Whether the bucket has neither open grants nor borrowed tokens."""
        return not self._grants and not self.borrowed

    def has_grant(self, key: GrantKey) -> bool:
        """Return whether a grant is open, that is neither settled nor expired."""
        return key in self._grants

    def advance(self, *, now_ms: float, share: float) -> None:
        """Accrue tokens and expire grants up to now.

        ``share`` must have been in force since the last call.
        """
        while self._expiries and self._expiries[0][0] <= now_ms:
            until_ms, key = heapq.heappop(self._expiries)
            grant = self._grants.get(key)
            if grant is not None and grant.until_ms == until_ms:
                self._accrue(until_ms, share)
                self._remove(key)
        self._accrue(now_ms, share)

    def clip(self, *, share: float) -> None:
        """Reduce the available tokens to the capacity that a share and the open grants leave."""
        self.tokens = max(0.0, min(self.tokens, self.burst * share - self._outstanding))

    def configure(self, *, rate_per_s: float, burst: float, share: float) -> None:
        """Change the limits; tokens above the new capacity are lost."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clip(share=share)

    def available(self, *, backed_share: float) -> float:
        """Return the tokens available to a grant during which ``backed_share`` stays lent."""
        return max(0.0, min(self.tokens, self.burst * backed_share - self._outstanding))

    def grant(self, key: GrantKey, grant: OpenGrant) -> None:
        """Record a grant: remove its own tokens, and mark its borrowed lots as in use."""
        self.tokens = max(0.0, self.tokens - grant.own_tokens)
        self._outstanding += grant.own_tokens
        for lot, _ in grant.parts:
            lot.open_parts += 1
        self._grants[key] = grant
        heapq.heappush(self._expiries, (grant.until_ms, key))

    def settle(self, key: GrantKey, *, unspent: float, share: float) -> None:
        """Close a grant and take back its unspent tokens; idempotent.

        Returned tokens go to the bucket first, up to what it gave, and then to the borrowed lots.
        """
        grant = self._remove(key)
        if grant is None:
            return
        back = max(0.0, min(unspent, grant.own_tokens))
        self.tokens = max(0.0, min(self.tokens + back, self.burst * share - self._outstanding))
        rest = unspent - back
        for lot, amount in grant.parts:
            returned = max(0.0, min(rest, amount))
            lot.remaining += returned
            rest -= returned

    def _remove(self, key: GrantKey) -> OpenGrant | None:
        grant = self._grants.pop(key, None)
        if grant is None:
            return None
        self._outstanding -= grant.own_tokens
        if not self._grants:
            self._outstanding = 0.0
        for lot, _ in grant.parts:
            lot.open_parts -= 1
        return grant

    def _accrue(self, now_ms: float, share: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        accrued = self.tokens + self.rate_per_s * share * elapsed_ms / _MS_PER_S
        self.tokens = max(0.0, min(accrued, self.burst * share - self._outstanding))
