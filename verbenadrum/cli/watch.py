"""``verbenadrum watch``: shows revisions and health of hosts again and again."""

import time
from collections.abc import Sequence
from typing import TextIO

from verbenadrum.cli import operators, options, output, registry, status

__all__ = ["run"]


@registry.command(
    "watch",
    usage="watch [ADDRESS...]",
    summary="repeat status every --interval_s seconds, --count times or until interrupted",
    example="verbenadrum watch --hosts 10.0.0.1:8081,10.0.0.2:8081 --count 10",
)
def run(arguments: Sequence[str], chosen: options.Options, out: TextIO) -> options.ExitCode:
    """Print rounds, and return the exit code of the last one."""
    addresses = (*arguments, *chosen.hosts)
    if not addresses:
        raise registry.UsageError("watch needs the address of at least one operators' port")
    done = 0
    while True:
        code = _print_round(addresses, chosen, out)
        done += 1
        if done == chosen.count:
            return code
        time.sleep(chosen.interval_s)


def _print_round(
    addresses: Sequence[str], chosen: options.Options, out: TextIO
) -> options.ExitCode:
    replies = operators.ask_all(addresses, operators.read_status, chosen.timeout_s)
    if chosen.format is options.Format.JSON:
        output.print_json(replies, out)
    else:
        ready = sum(reply.value is not None and reply.value.ready for reply in replies)
        out.write(f"-- {time.strftime('%H:%M:%S')}: {ready} of {len(replies)} hosts ready\n")
        status.print_status(replies, out)
    out.flush()
    return status.exit_code_of(replies)
