"""``verbenadrum status``: shows what hosts say of themselves."""

from collections.abc import Sequence
from typing import TextIO

from verbenadrum.cli import operators, options, output, registry

__all__ = ["exit_code_of", "print_status"]

_HEAD = ("host", "where", "ready", "records", "host list", "in flight", "reads", "remarks")


@registry.command(
    "status",
    usage="status [ADDRESS...]",
    summary="show revisions, health and refused records of hosts",
    example="verbenadrum status 10.0.0.1:8081 10.0.0.2:8081",
)
def run(arguments: Sequence[str], chosen: options.Options, out: TextIO) -> options.ExitCode:
    """Print the status of each host."""
    addresses = (*arguments, *chosen.hosts)
    if not addresses:
        raise registry.UsageError("status needs the address of at least one operators' port")
    replies = operators.ask_all(addresses, operators.read_status, chosen.timeout_s)
    if chosen.format is options.Format.JSON:
        output.print_json(replies, out)
    else:
        print_status(replies, out)
        _print_rejected(replies, out)
    return exit_code_of(replies)


def print_status(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print one line for each host."""
    newest = max((reply.value.held_revision for reply in replies if reply.value), default=0)
    output.print_table(_HEAD, [_row(reply, newest) for reply in replies], out)


def exit_code_of(replies: Sequence[operators.Reply[operators.HostStatus]]) -> options.ExitCode:
    """Return whether all hosts answer and are ready."""
    if any(reply.value is None for reply in replies):
        return options.ExitCode.UNREACHABLE
    if all(reply.value.ready for reply in replies):
        return options.ExitCode.OK
    return options.ExitCode.FOUND


def _row(reply: operators.Reply[operators.HostStatus], newest: int) -> Sequence[object]:
    status = reply.value
    if status is None:
        return (reply.address, "", "no", "", "", "", "", reply.fault)
    where = f"{status.region}/{status.data_centre}"
    ready = "yes" if status.ready else "no"
    return (
        status.host,
        where,
        ready,
        status.held_revision,
        status.host_list_revision,
        status.in_flight,
        status.platform_reader,
        ", ".join(_remarks(status, newest)),
    )


def _remarks(status: operators.HostStatus, newest: int) -> list[str]:
    remarks = []
    if status.stopping:
        remarks.append("shutting down")
    if status.held_revision < newest:
        remarks.append(f"{newest - status.held_revision} revisions behind")
    if status.rejected_records:
        remarks.append(f"{len(status.rejected_records)} records refused")
    if status.suspected_hosts:
        hosts = " ".join(each.host for each in status.suspected_hosts)
        remarks.append(f"cannot reach {hosts}")
    return remarks


def _print_rejected(replies: Sequence[operators.Reply[operators.HostStatus]], out: TextIO) -> None:
    """Print each refused revision once, with the hosts that refused it."""
    hosts: dict[tuple, list[str]] = {}
    for reply in replies:
        for each in reply.value.rejected_records if reply.value else ():
            key = (each.kind, each.name, each.revision, each.accepted_revision, each.faults)
            hosts.setdefault(key, []).append(reply.value.host)
    for (kind, name, revision, accepted, faults), names in hosts.items():
        in_force = f"revision {accepted} stays in force" if accepted else "none is in force"
        out.write(f"refused: {kind} {name!r} revision {revision}; {in_force} ")
        out.write(f"({len(names)} hosts: {', '.join(names[:5])})\n")
        for fault in faults:
            out.write(f"  {fault}\n")
