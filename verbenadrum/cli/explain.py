"""``verbenadrum explain``: shows what hosts decided about a request, a server or a record."""

import datetime
from collections.abc import Iterable, Iterator, Sequence
from typing import TextIO

import msgspec

from verbenadrum.cli import operators, options, output, registry, saved_logs
from verbenadrum.decisions import ring
from verbenadrum.records import revisions

__all__ = ["HostDecision", "describe"]

_MS_PER_S = 1000.0
# Details that hold a revision of a record, of each choice of such decisions.
_REVISION_DETAILS = {
    "accepted": ("revision",),
    "generation": ("revision",),
    "loaded": ("revision",),
    "rejected": ("revision", "in_force"),
}

# Description of each kind of decision; ``{subject}`` and ``{request}`` may be empty.
_DESCRIPTIONS = {
    ring.DecisionKind.ROUTE: "routed{request} by route {subject} to service {choice}",
    ring.DecisionKind.AUTHENTICATE: "authenticated{request} as {choice}",
    ring.DecisionKind.LIMIT: "limit of {subject}:{request} {choice}",
    ring.DecisionKind.CLAIM: "claim of {subject}:{request} {choice}",
    ring.DecisionKind.PLACE: "placed{request} of {subject} on {choice}",
    ring.DecisionKind.RETRY: "tried{request} again ({choice})",
    ring.DecisionKind.OUTCOME: "attempt{request} at {choice} ended",
    ring.DecisionKind.EJECT: "changed the use of server {subject}: {choice}",
    ring.DecisionKind.RESTORE: "put server {subject} back into service ({choice})",
    ring.DecisionKind.REFUSE: "refused{request}",
    ring.DecisionKind.ABANDON: "abandoned{request}; its caller gets no answer",
    ring.DecisionKind.EPOCH: "epoch {subject}: {choice}",
    ring.DecisionKind.LEASE: "lease {subject}: {choice}",
    ring.DecisionKind.RECORD: "record {subject}: {choice}",
    ring.DecisionKind.MEMBERSHIP: "membership: {subject} {choice}",
    ring.DecisionKind.HOME: "home of a part of {subject}: {choice}",
    ring.DecisionKind.SIGNAL: "server {subject} said: {choice}",
}


class HostDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and the host that made it."""

    host: str
    decision: ring.Decision


@registry.command(
    "explain",
    usage="explain NAME --hosts ADDRESS,... or --logs FILE,...",
    summary="show in time order what hosts decided about a request, server, workspace or record",
    example="verbenadrum explain 0192f1c0 --hosts 10.0.0.1:8081,10.0.0.2:8081",
)
def run(arguments: Sequence[str], flag_values: options.Options, out: TextIO) -> options.ExitCode:
    """Print the decisions about one name, from running hosts or from saved log files."""
    if len(arguments) != 1 or bool(flag_values.hosts) == bool(flag_values.logs):
        raise registry.UsageError(
            "explain requires one name, and --hosts with operators' ports or --logs with files"
        )
    name = arguments[0]
    if flag_values.logs:
        return _explain_logs(name, flag_values, out)

    def read(address: str, timeout_s: float) -> list[HostDecision]:
        host = operators.read_status(address, timeout_s).host
        decisions = operators.read_decisions(address, timeout_s, name)
        return [HostDecision(host=host, decision=decision) for decision in decisions]

    replies = operators.query_all(flag_values.hosts, read, flag_values.timeout_s)
    host_decisions = _sort_by_time(replies)
    if flag_values.format is options.Format.JSON:
        output.print_json(host_decisions, out)
    else:
        _print_text(name, host_decisions, replies, out)
    if host_decisions:
        return options.ExitCode.OK
    if any(reply.value is None for reply in replies):
        return options.ExitCode.UNREACHABLE
    return options.ExitCode.FOUND


def _explain_logs(name: str, flag_values: options.Options, out: TextIO) -> options.ExitCode:
    found = saved_logs.find_decisions(flag_values.logs, name)
    host_decisions = [HostDecision(host=each.host, decision=each) for each in found]
    host_decisions.sort(key=lambda each: each.decision.at_ms)
    if flag_values.format is options.Format.JSON:
        output.print_json(host_decisions, out)
    else:
        _print_text(name, host_decisions, (), out)
    return options.ExitCode.OK if host_decisions else options.ExitCode.FOUND


def describe(decision: ring.Decision) -> str:
    """Return a decision as one line of text, without its time and host.

    Examples
    --------
    >>> describe(ring.Decision(kind=ring.DecisionKind.PLACE, choice="s2", reason="least-loaded",
    ...     subject="svc", request="q1", alternatives=("s1",), detail={"queue_ms": 3}))
    'placed request q1 of svc on s2, because least-loaded; not s1; queue_ms 3'
    """
    request = f" request {decision.request}" if decision.request else ""
    text = _DESCRIPTIONS[decision.kind].format(
        request=request, subject=decision.subject or "-", choice=decision.choice
    )
    parts = [f"{text}, because {decision.reason}"]
    if decision.alternatives:
        parts.append("not " + ", ".join(decision.alternatives))
    if decision.detail:
        parts.append(", ".join(_detail_texts(decision)))
    return "; ".join(parts)


def _detail_texts(decision: ring.Decision) -> Iterator[str]:
    revision_names = ()
    if decision.kind is ring.DecisionKind.RECORD:
        revision_names = _REVISION_DETAILS.get(decision.choice, ())
    for name, value in decision.detail.items():
        is_revision = name in revision_names and isinstance(value, int) and value >= 0
        yield f"{name} {revisions.to_text(value) if is_revision else value}"


def _sort_by_time(replies: Iterable[operators.Reply[list[HostDecision]]]) -> list[HostDecision]:
    host_decisions = [each for reply in replies for each in reply.value or ()]
    return sorted(host_decisions, key=lambda each: each.decision.at_ms)


def _print_text(
    name: str,
    host_decisions: Sequence[HostDecision],
    replies: Sequence[operators.Reply[list[HostDecision]]],
    out: TextIO,
) -> None:
    for each in host_decisions:
        time_utc = datetime.datetime.fromtimestamp(each.decision.at_ms / _MS_PER_S, datetime.UTC)
        timestamp = time_utc.strftime("%H:%M:%S.%f")[:-3]
        out.write(f"{timestamp}  {each.host}  {describe(each.decision)}\n")
    if not host_decisions:
        out.write(f"no decision about {name} was found; hosts keep only the newest decisions\n")
    for reply in replies:
        if reply.value is None:
            out.write(f"no decisions from {reply.address}: {reply.fault}\n")
