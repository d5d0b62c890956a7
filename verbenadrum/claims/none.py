"""Claims of a deployment whose callers' keys mean nothing to the fleet."""

from collections.abc import Callable

from verbenadrum.claims import registry
from verbenadrum.core import context, ports, system

__all__ = ["NoClaims"]


@registry.claim_systems.register("none")
class NoClaims(system.System):
    """Lets every request run, whatever idempotency key it carries, and keeps nothing."""

    def __init__(
        self,
        *,
        context: context.Context,
        records: ports.RecordsPort,
        membership: ports.MembershipPort,
        epochs: ports.EpochPort,
    ) -> None:
        super().__init__(context=context)

    def claim(self, request: ports.ClaimRequest, done: Callable[[ports.ClaimResult], None]) -> None:
        """Let the request run; ``done`` is called before this returns."""
        done(ports.ClaimResult(state=ports.ClaimState.WON, reason="no-claims"))

    def release(self, request: ports.ClaimRequest) -> None:
        """Do nothing: no claim is kept."""

    def finish(self, request: ports.ClaimRequest, answer: ports.StoredAnswer | None) -> None:
        """Do nothing: no answer is kept."""
