"""Simulated callers that resend idempotency keys through any host, and record the results."""

import collections

import msgspec

from verbenadrum import ids
from verbenadrum.claims import keys, messages, registry
from verbenadrum.core import ports
from verbenadrum.epochs.tests import fleet

WORKSPACE = ids.WorkspaceId("w")
DEADLINE_MS = 5_000.0
ANSWER = ports.StoredAnswer(status=201, headers=(), body=b"done")


class ClaimFleet(fleet.Fleet):
    """A simulated fleet whose hosts also claim keys, with every result and violation."""

    def __init__(self, *, claims="witnessed", **options):
        self.claims = claims
        self.won = collections.Counter()
        self.runs = collections.Counter()
        self.released = collections.Counter()
        self.results = []
        self.problems = []
        self.claim_messages = 0
        self._requests = 0
        super().__init__(**options)

    def make_systems(self, host):
        host.claims = registry.claim_systems.get(self.claims)(
            context=host.context,
            records=host.records,
            membership=host.membership,
            epochs=host.epochs,
        )
        return [host.claims]

    def send(self, sender, to, message):
        self.claim_messages += type(message).__module__ == messages.__name__
        super().send(sender, to, message)

    def key(self, skew_ms=0.0):
        """Return a new UUIDv7 key whose time is ahead of the fleet's by ``skew_ms``."""
        return keys.new_key(fleet.START_WALL_MS + self.now_ms + skew_ms, self.rng)

    def claim(self, name, key, *, fingerprint="f", win=None, deadline_ms=DEADLINE_MS):
        """Claim a key at a host; ``win`` is called with host and request once it is won."""
        host = self.hosts[name]
        self._requests += 1
        request = ports.ClaimRequest(
            workspace=WORKSPACE,
            key=key,
            request=ids.RequestId(f"q{self._requests}"),
            fingerprint=fingerprint,
            deadline_ms=host.clock.now_ms() + deadline_ms,
        )
        result = Result(key=key, asked_ms=self.now_ms, wins_before=self._wins_not_released(key))
        self.results.append(result)

        def done(claim):
            result.claim, result.ended_ms = claim, self.now_ms
            if claim.state is ports.ClaimState.WON:
                self._on_won(host, request, win)
            elif claim.state is ports.ClaimState.NOT_RUN and result.wins_before:
                self.problems.append(
                    f"{key} was reported as not run although it had been won before"
                )

        host.claims.claim(request, done)
        return result

    def _wins_not_released(self, key):
        return self.won[key] - self.released[key]

    def _on_won(self, host, request, win):
        key = request.key
        self.won[key] += 1
        if self._wins_not_released(key) > 1:
            self.problems.append(f"{key} was won {self.won[key]} times")
        if win is not None:
            win(host, request)

    def run(self, host, request, answer=ANSWER):
        """Count a run of a won key at a backend server, and end it at once."""
        self.runs[request.key] += 1
        host.claims.finish(request, answer)

    def release(self, host, request):
        """Release a won claim before a byte was sent."""
        self.released[request.key] += 1
        host.claims.release(request)

    def violation(self):
        return super().violation() or "; ".join(self.problems)


class Result(msgspec.Struct, kw_only=True):
    """Result of one request, as its caller received it."""

    key: str
    asked_ms: float
    wins_before: int
    claim: ports.ClaimResult | None = None
    ended_ms: float = 0.0


class ClaimSchedule(fleet.Schedule):
    """Random faults, and callers that send new keys and resend earlier ones."""

    def __init__(self, group, **options):
        super().__init__(group, **options)
        self.keys = []
        self._won = []

    def call(self):
        """Send a new key, or resend a recent one, through one to three hosts at once."""
        group = self.fleet
        if not self.keys or self.rng.random() < 0.5:
            opaque = group.first_start and self.rng.random() < 0.5
            timed = group.key(self.rng.uniform(-3_000.0, 1_000.0))
            self.keys.append(f"opaque-{len(self.keys)}" if opaque else timed)
        key = self.rng.choice(self.keys[-6:])
        names = sorted(group.hosts)
        for name in self.rng.sample(names, min(len(names), self.rng.choice((1, 1, 2, 3)))):
            if not group.hosts[name].paused:
                group.claim(name, key, win=self._record_won)

    def _record_won(self, host, request):
        self._won.append((host, request))

    def finish(self):
        """End some won runs, and release the others before a byte was sent."""
        for host, request in self._won:
            if self.fleet.hosts.get(host.name) is host and not host.paused:
                release = self.rng.random() < 0.3
                (self.fleet.release if release else self.fleet.run)(host, request)
        self._won.clear()

    def step(self, check):
        for _ in range(2):
            self.rng.choice((self.call, self.call, self.call, self.finish))()
        super().step(check)
