"""Entry point of the command-line tool: flags, help and dispatch of subcommands."""

import sys
from collections.abc import Sequence
from typing import TextIO

from absl import app, flags

from verbenadrum.cli import check, explain, key, options, registry, status, watch
from verbenadrum.utils import errors
from verbenadrum.utils import registry as registries

__all__ = ["dispatch", "help_text", "run"]

assert check and explain and key and status and watch  # Imported to register the subcommands.

_FORMAT = flags.DEFINE_enum_class(
    "format", options.Format.TEXT, options.Format, "Output format of results."
)
_HOSTS = flags.DEFINE_list("hosts", [], "Comma-separated addresses ip:port of operators' ports.")
_LOGS = flags.DEFINE_list("logs", [], "Comma-separated saved log files for explain.")
_COUNT = flags.DEFINE_integer(
    "count", 0, "Number of rounds of watch; 0 for no limit.", lower_bound=0
)
_INTERVAL_S = flags.DEFINE_float(
    "interval_s", 2.0, "Delay between rounds of watch in seconds.", lower_bound=0.1
)
_TIMEOUT_S = flags.DEFINE_float(
    "timeout_s", 3.0, "Timeout of a request to a host in seconds.", lower_bound=0.1
)

_EXIT_CODES = """\
exit codes:
  0  done, and nothing wrong was found
  1  done, and something was found: a fault in a file, a host that is not ready, nothing to explain
  2  wrong arguments
  3  a host did not answer"""


def run() -> None:
    """Parse flags, which may follow the arguments, and run the subcommand."""
    flags.FLAGS.set_gnu_getopt(True)
    app.run(_main, flags_parser=_parse_flags)


def help_text() -> str:
    """Return the help text: subcommands with examples, flags and exit codes.

    Examples
    --------
    >>> "check PATH..." in help_text()
    True
    """
    lines = ["usage: verbenadrum COMMAND [ARGUMENT...] [--format text|json]", "", "commands:"]
    for name in registry.commands:
        entry = registry.commands.get(name)
        lines += [f"  {entry.usage}", f"      {entry.summary}", f"      $ {entry.example}"]
    lines += ["", "flags:"]
    for flag_holder in (_FORMAT, _HOSTS, _LOGS, _COUNT, _INTERVAL_S, _TIMEOUT_S):
        flag = flags.FLAGS[flag_holder.name]
        lines.append(f"  --{flag.name}: {flag.help} (default: {flag.default_as_str or 'none'})")
    lines += ["", _EXIT_CODES]
    return "\n".join(lines)


def dispatch(
    words: Sequence[str], flag_values: options.Options, out: TextIO, err: TextIO
) -> options.ExitCode:
    """Run the subcommand named by the first of ``words`` with the other words.

    If the words are invalid, the error and the usage are written to ``err`` and `ExitCode.USAGE`
    is returned.
    """
    if not words:
        err.write(help_text() + "\n")
        return options.ExitCode.USAGE
    name, *arguments = words
    if name == "help":
        out.write(help_text() + "\n")
        return options.ExitCode.OK
    try:
        entry = registry.commands.get(name)
        return entry.run(arguments, flag_values, out)
    except registries.UnknownNameError as error:
        err.write(f"{error.message}\n")
    except registry.UsageError as error:
        err.write(f"{error.message}\nusage: verbenadrum {entry.usage}\n  $ {entry.example}\n")
    return options.ExitCode.USAGE


def _parse_flags(argv: Sequence[str]) -> Sequence[str]:
    """Parse the flags; exit if they are invalid, or after printing the help for --help."""
    if any(word in ("--help", "-help", "-h", "--helpshort", "-?") for word in argv[1:]):
        print(help_text())
        sys.exit(options.ExitCode.OK)
    try:
        return flags.FLAGS(argv)
    except flags.Error as error:
        print(f"{error}\ntry: verbenadrum --help", file=sys.stderr)
        sys.exit(options.ExitCode.USAGE)


def _main(argv: Sequence[str]) -> int:
    flag_values = options.Options(
        format=_FORMAT.value,
        hosts=tuple(_HOSTS.value),
        logs=tuple(_LOGS.value),
        count=_COUNT.value,
        interval_s=_INTERVAL_S.value,
        timeout_s=_TIMEOUT_S.value,
    )
    try:
        return int(dispatch(argv[1:], flag_values, sys.stdout, sys.stderr))
    except errors.VerbenadrumError as error:
        print(error, file=sys.stderr)
        return int(options.ExitCode.USAGE)
    except (KeyboardInterrupt, BrokenPipeError):
        return int(options.ExitCode.OK)
