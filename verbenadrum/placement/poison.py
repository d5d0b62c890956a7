"""Records, on each host, which requests have crashed backend servers.

A request is identified by its fingerprint, so that a caller's retries of it are recognized. One
that has crashed `MAX_CRASHES` servers is a poison request and is refused.
"""

import collections
import enum

import msgspec

from verbenadrum.core import ports

__all__ = ["AllowanceUse", "FingerprintState", "MAX_CRASHES", "PoisonLedger", "is_server_crash"]

_USE_RETENTION_MS = 600_000.0
_SUCCESS_RETENTION_MS = 60_000.0
_MAX_FINGERPRINTS = 4_096
MAX_CRASHES = 2
_BROKEN_CONNECTION_OUTCOMES = (ports.OutcomeKind.RESET, ports.OutcomeKind.TRUNCATED)


class FingerprintState(enum.Enum):
    """State of a fingerprint, by its recent successes and crashes.

    ``GOOD`` has succeeded lately, ``SUSPECTED`` has crashed a server since its last success, and
    ``POISON`` has crashed as many as it may.
    """

    GOOD = "good"
    UNKNOWN = "unknown"
    SUSPECTED = "suspected"
    POISON = "poison"


class AllowanceUse(msgspec.Struct, frozen=True, kw_only=True):
    """One use of the allowance of crashes of a fingerprint: a crash, or a loan to another region.

    Attributes
    ----------
    region : str
        Region of the pool part whose allowance is used.
    server : str
        The server that crashed, or empty for a loan.
    borrower : str
        Region that the allowance is lent to, or empty for a crash.
    trusted : bool
        Whether the fingerprint was `FingerprintState.GOOD` when the request was sent.
    at_ms : float
        Monotonic time of this host at which it recorded the use, in milliseconds.
    """

    region: str
    server: str
    borrower: str
    trusted: bool
    at_ms: float

    @property
    def is_crash(self) -> bool:
        """Whether the use is a crash and not a loan."""
        return bool(self.server)


def is_server_crash(kind: ports.OutcomeKind, *, refuses_connections: bool) -> bool:
    """Return whether an attempt ended with the crash of its server.

    A server that resets connections or truncates its responses and yet accepts new connections is
    faulty; the request is not to blame, and must not be refused for it.
    """
    return refuses_connections and kind in _BROKEN_CONNECTION_OUTCOMES


class PoisonLedger:
    """Uses of the crash allowances by fingerprint, and the fingerprints that succeeded lately.

    Notes
    -----
    A success removes the crashes of its fingerprint. A popular request that was in flight at two
    servers that crashed for another reason is thus cleared by its next success.
    """

    def __init__(self) -> None:
        self._uses: collections.OrderedDict[str, dict[str, AllowanceUse]] = (
            collections.OrderedDict()
        )
        self._success_times_ms: collections.OrderedDict[str, float] = collections.OrderedDict()

    def state(self, fingerprint: str, now_ms: float) -> FingerprintState:
        """Return the state of a fingerprint, by what this host has recorded."""
        crash_count = self.crash_count(fingerprint, now_ms)
        if crash_count >= MAX_CRASHES:
            return FingerprintState.POISON
        if crash_count:
            return FingerprintState.SUSPECTED
        success_ms = self._success_times_ms.get(fingerprint)
        if success_ms is not None and now_ms - success_ms < _SUCCESS_RETENTION_MS:
            return FingerprintState.GOOD
        return FingerprintState.UNKNOWN

    def crash_count(self, fingerprint: str, now_ms: float) -> int:
        """Return how many servers a fingerprint has crashed since it last succeeded."""
        return sum(use.is_crash for use in self._retained_uses(fingerprint, now_ms).values())

    def uses(self, fingerprint: str, now_ms: float) -> dict[str, AllowanceUse]:
        """Return the crashes and the lent allowances of a fingerprint, by identifier."""
        return self._retained_uses(fingerprint, now_ms)

    def add_use(self, fingerprint: str, use_id: str, use: AllowanceUse) -> bool:
        """Record a crash or a lent allowance; return False if it was known or is not counted."""
        known = self._uses.setdefault(fingerprint, {})
        # A popular request that was good may be in flight at many servers that crash together for
        # another reason, so crashes of trusted requests count only once.
        if use_id in known or (use.trusted and any(each.is_crash for each in known.values())):
            return False
        known[use_id] = use
        self._uses.move_to_end(fingerprint)
        self._success_times_ms.pop(fingerprint, None)
        while len(self._uses) > _MAX_FINGERPRINTS:
            self._uses.popitem(last=False)
        return True

    def record_success(self, fingerprint: str, now_ms: float) -> bool:
        """Record a success, and return whether it cleared crashes or loans of the fingerprint."""
        suspected = self._uses.pop(fingerprint, None) is not None
        self._success_times_ms[fingerprint] = now_ms
        self._success_times_ms.move_to_end(fingerprint)
        while len(self._success_times_ms) > _MAX_FINGERPRINTS:
            self._success_times_ms.popitem(last=False)
        return suspected

    def _retained_uses(self, fingerprint: str, now_ms: float) -> dict[str, AllowanceUse]:
        uses = self._uses.get(fingerprint)
        if uses is None:
            return {}
        if all(now_ms - use.at_ms >= _USE_RETENTION_MS for use in uses.values()):
            del self._uses[fingerprint]
            return {}
        return uses
