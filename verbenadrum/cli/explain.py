"""``verbenadrum explain``: tells what hosts decided about a request, a server or a record."""

import datetime
from collections.abc import Iterable, Sequence
from typing import TextIO

import msgspec

from verbenadrum.cli import operators, options, output, registry, saved_logs
from verbenadrum.decisions import ring

__all__ = ["Told", "sentence"]

_MS_PER_S = 1000.0

# One sentence for each kind; ``{subject}`` and ``{request}`` may be empty.
_SENTENCES = {
    ring.DecisionKind.ROUTE: "routed{request} by route {subject} to service {choice}",
    ring.DecisionKind.AUTHENTICATE: "authenticated{request} as {choice}",
    ring.DecisionKind.LIMIT: "limit of {subject}:{request} {choice}",
    ring.DecisionKind.CLAIM: "claim of {subject}:{request} {choice}",
    ring.DecisionKind.PLACE: "placed{request} of {subject} on {choice}",
    ring.DecisionKind.RETRY: "tried{request} again ({choice})",
    ring.DecisionKind.OUTCOME: "attempt{request} at {choice} ended",
    ring.DecisionKind.EJECT: "took server {subject} out of service ({choice})",
    ring.DecisionKind.RESTORE: "put server {subject} back into service ({choice})",
    ring.DecisionKind.REFUSE: "refused{request}",
    ring.DecisionKind.ABANDON: "gave up{request}, whose caller gets no answer",
    ring.DecisionKind.EPOCH: "epoch {subject}: {choice}",
    ring.DecisionKind.LEASE: "lease {subject}: {choice}",
    ring.DecisionKind.RECORD: "record {subject}: {choice}",
    ring.DecisionKind.MEMBERSHIP: "membership: {subject} {choice}",
}


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and the host that took it."""

    host: str
    decision: ring.Decision


@registry.command(
    "explain",
    usage="explain NAME --hosts ADDRESS,... or --logs FILE,...",
    summary="tell in time order what hosts decided about a request, server, workspace or record",
    example="verbenadrum explain 0192f1c0 --hosts 10.0.0.1:8081,10.0.0.2:8081",
)
def run(arguments: Sequence[str], chosen: options.Options, out: TextIO) -> options.ExitCode:
    """Print the decisions of all hosts, or of saved log files, about one name."""
    if len(arguments) != 1 or bool(chosen.hosts) == bool(chosen.logs):
        raise registry.UsageError(
            "explain needs one name, and --hosts with operators' ports or --logs with files"
        )
    name = arguments[0]
    if chosen.logs:
        return _explain_logs(name, chosen, out)

    def read(address: str, timeout_s: float) -> list[Told]:
        host = operators.read_status(address, timeout_s).host
        decisions = operators.read_decisions(address, timeout_s, name)
        return [Told(host=host, decision=decision) for decision in decisions]

    replies = operators.ask_all(chosen.hosts, read, chosen.timeout_s)
    told = _in_time_order(replies)
    if chosen.format is options.Format.JSON:
        output.print_json(told, out)
    else:
        _print_text(name, told, replies, out)
    if told:
        return options.ExitCode.OK
    if any(reply.value is None for reply in replies):
        return options.ExitCode.UNREACHABLE
    return options.ExitCode.FOUND


def _explain_logs(name: str, chosen: options.Options, out: TextIO) -> options.ExitCode:
    found = saved_logs.find_decisions(chosen.logs, name)
    told = [Told(host=each.host, decision=each) for each in found]
    told.sort(key=lambda each: each.decision.at_ms)
    if chosen.format is options.Format.JSON:
        output.print_json(told, out)
    else:
        _print_text(name, told, (), out)
    return options.ExitCode.OK if told else options.ExitCode.FOUND


def sentence(decision: ring.Decision) -> str:
    """Return a decision as a sentence without its time and host.

    Examples
    --------
    >>> sentence(ring.Decision(kind=ring.DecisionKind.PLACE, choice="s2", reason="least-loaded",
    ...     subject="svc", request="q1", alternatives=("s1",), detail={"queue_ms": 3}))
    'placed request q1 of svc on s2, because least-loaded; not s1; queue_ms 3'
    """
    request = f" request {decision.request}" if decision.request else ""
    text = _SENTENCES[decision.kind].format(
        request=request, subject=decision.subject or "-", choice=decision.choice
    )
    parts = [f"{text}, because {decision.reason}"]
    if decision.alternatives:
        parts.append("not " + ", ".join(decision.alternatives))
    if decision.detail:
        parts.append(", ".join(f"{name} {value}" for name, value in decision.detail.items()))
    return "; ".join(parts)


def _in_time_order(replies: Iterable[operators.Reply[list[Told]]]) -> list[Told]:
    told = [each for reply in replies for each in reply.value or ()]
    return sorted(told, key=lambda each: each.decision.at_ms)


def _print_text(
    name: str,
    told: Sequence[Told],
    replies: Sequence[operators.Reply[list[Told]]],
    out: TextIO,
) -> None:
    for each in told:
        at = datetime.datetime.fromtimestamp(each.decision.at_ms / _MS_PER_S, datetime.UTC)
        stamp = at.strftime("%H:%M:%S.%f")[:-3]
        out.write(f"{stamp}  {each.host}  {sentence(each.decision)}\n")
    if not told:
        out.write(f"no decision about {name} was found; hosts overwrite older ones\n")
    for reply in replies:
        if reply.value is None:
            out.write(f"not asked: {reply.address}: {reply.fault}\n")
