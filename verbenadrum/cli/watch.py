"""``verbenadrum watch``: prints the status of hosts repeatedly."""

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
def run(arguments: Sequence[str], flag_values: options.Options, out: TextIO) -> options.ExitCode:
    """Print the status every ``interval_s`` seconds; return the exit code of the last round."""
    addresses = (*arguments, *flag_values.hosts)
    if not addresses:
        raise registry.UsageError("watch requires the address of at least one operators' port")
    rounds = 0
    while True:
        code = _print_round(addresses, flag_values, out)
        rounds += 1
        if rounds == flag_values.count:
            return code
        time.sleep(flag_values.interval_s)


def _print_round(
    addresses: Sequence[str], flag_values: options.Options, out: TextIO
) -> options.ExitCode:
    replies = operators.query_all(addresses, operators.read_status, flag_values.timeout_s)
    if flag_values.format is options.Format.JSON:
        output.print_json(replies, out)
    else:
        ready = sum(reply.value is not None and reply.value.ready for reply in replies)
        out.write(f"-- {time.strftime('%H:%M:%S')}: {ready} of {len(replies)} hosts ready\n")
        status.print_status(replies, out)
        status.print_faults(replies, out)
    out.flush()
    return status.exit_code_of(replies)
