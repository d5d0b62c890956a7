"""``verbenadrum status``: shows the status reported by hosts."""

from collections.abc import Sequence
from typing import TextIO

from verbenadrum.cli import operators, options, output, registry
from verbenadrum.records import revisions

__all__ = ["exit_code_of", "print_faults", "print_status"]

_COLUMNS = (
    "host",
    "where",
    "ready",
    "records",
    "version",
    "host list",
    "in flight",
    "reads",
    "remarks",
)


@registry.command(
    "status",
    usage="status [ADDRESS...]",
    summary="show revisions, health and refused records of hosts",
    example="verbenadrum status 10.0.0.1:8081 10.0.0.2:8081",
)
def run(arguments: Sequence[str], flag_values: options.Options, out: TextIO) -> options.ExitCode:
    """Print the status and the rejected records of hosts."""
    addresses = (*arguments, *flag_values.hosts)
    if not addresses:
        raise registry.UsageError("status requires the address of at least one operators' port")
    replies = operators.query_all(addresses, operators.read_status, flag_values.timeout_s)
    if flag_values.format is options.Format.JSON:
        output.print_json(replies, out)
    else:
        print_status(replies, out)
        print_faults(replies, out)
        _print_signals(replies, out)
    return exit_code_of(replies)


def print_status(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print a table with one line for each host."""
    newest_revision = max(
        (reply.value.held_revision for reply in replies if reply.value), default=0
    )
    output.print_table(_COLUMNS, [_row(reply, newest_revision) for reply in replies], out)


def print_faults(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print the records that hosts refused, and what they left out of the one in force."""
    _print_rejected(replies, out)
    _print_left_out(replies, out)


def exit_code_of(replies: Sequence[operators.Reply[operators.HostStatus]]) -> options.ExitCode:
    """Return ``OK`` if all hosts are ready, ``UNREACHABLE`` if one gave no valid answer.

    Otherwise return ``FOUND``.
    """
    if any(reply.value is None for reply in replies):
        return options.ExitCode.UNREACHABLE
    if all(reply.value.ready for reply in replies):
        return options.ExitCode.OK
    return options.ExitCode.FOUND


def _row(reply: operators.Reply[operators.HostStatus], newest_revision: int) -> Sequence[object]:
    status = reply.value
    if status is None:
        return (reply.address, "", "no", "", "", "", "", "", reply.fault)
    location = f"{status.region}/{status.data_centre}"
    ready = "yes" if status.ready else "no"
    return (
        status.host,
        location,
        ready,
        revisions.to_text(status.held_revision),
        "" if status.configuration_version is None else f"{status.configuration_version:x}",
        status.host_list_revision,
        status.in_flight,
        status.platform_reader,
        ", ".join(_remarks(status, newest_revision)),
    )


def _remarks(status: operators.HostStatus, newest_revision: int) -> list[str]:
    remarks = []
    if status.stopping:
        remarks.append("shutting down")
    held_generation = revisions.generation_of(status.held_revision)
    newest_generation = revisions.generation_of(newest_revision)
    if held_generation < newest_generation:
        remarks.append(f"behind generation {newest_generation}")
    elif status.held_revision < newest_revision:
        remarks.append(f"{newest_revision - status.held_revision} revisions behind")
    if status.carried_records:
        remarks.append(f"{status.carried_records} records carried over")
    if status.configuration_faults:
        remarks.append("entries left out")
    if status.rejected_records:
        remarks.append(f"{len(status.rejected_records)} records refused")
    if status.suspected_hosts:
        hosts = " ".join(each.host for each in status.suspected_hosts)
        remarks.append(f"cannot reach {hosts}")
    return remarks


def _print_signals(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print each signal of a server once, with the hosts whose requests it holds back."""
    found: dict[tuple[str, str], list[tuple[str, operators.ServerSignal]]] = {}
    for reply in replies:
        for each in reply.value.server_signals if reply.value else ():
            found.setdefault((each.server, each.signal), []).append((reply.value.host, each))
    for (server, _), held_back in sorted(found.items()):
        _, oldest = max(held_back, key=lambda entry: entry[1].for_ms)
        hosts = [host for host, _ in held_back]
        out.write(
            f"server {server}: {_signal_text(held_back)} for {oldest.for_ms / 1000.0:.1f} s, "
        )
        out.write(f"in an answer to {oldest.heard_from or 'an unknown host'} ")
        out.write(f"({len(hosts)} hosts: {', '.join(hosts[:5])})\n")


def _signal_text(held_back: Sequence[tuple[str, operators.ServerSignal]]) -> str:
    signals = [each for _, each in held_back]
    if signals[0].signal == "limit":
        return f"takes {min(each.limit_per_s for each in signals):g} requests a second"
    if signals[0].signal == "rest":
        left_s = max(each.left_ms for each in signals) / 1000.0
        return f"wants nothing for another {left_s:.1f} s"
    return "is leaving"


def _print_left_out(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print what each version of the configuration lacks once, with the hosts that say so."""
    hosts: dict[tuple, list[str]] = {}
    for reply in replies:
        if reply.value and reply.value.configuration_faults:
            key = (reply.value.configuration_version, reply.value.configuration_faults)
            hosts.setdefault(key, []).append(reply.value.host)
    for (version, faults), names in hosts.items():
        out.write(f"left out of configuration version {version or 0:x} ")
        out.write(f"({len(names)} hosts: {', '.join(names[:5])})\n")
        for fault in faults:
            out.write(f"  {fault}\n")


def _print_rejected(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print each rejected revision once, with the hosts that rejected it."""
    hosts: dict[tuple, list[str]] = {}
    for reply in replies:
        for each in reply.value.rejected_records if reply.value else ():
            key = (each.kind, each.name, each.revision, each.accepted_revision, each.faults)
            hosts.setdefault(key, []).append(reply.value.host)
    for (kind, name, revision, accepted, faults), names in hosts.items():
        in_force = "none is in force"
        if accepted:
            in_force = f"revision {revisions.to_text(accepted)} stays in force"
        out.write(f"refused: {kind} {name!r} revision {revisions.to_text(revision)}; {in_force} ")
        out.write(f"({len(names)} hosts: {', '.join(names[:5])})\n")
        for fault in faults:
            out.write(f"  {fault}\n")
