"""Registry of the subcommands."""

import typing
from collections.abc import Sequence

import msgspec

from verbenadrum.cli import options
from verbenadrum.utils import errors, registry

__all__ = ["Command", "UsageError", "command", "commands"]


class UsageError(errors.VerbenadrumError):
    """The arguments of a subcommand are wrong."""

    code = "usage"


class Run(typing.Protocol):
    """Function that runs a subcommand and returns the exit code of the process."""

    def __call__(
        self, arguments: Sequence[str], flag_values: options.Options, out: typing.TextIO
    ) -> options.ExitCode:
        """Run with the arguments after the subcommand's name, and print results to ``out``.

        Raises
        ------
        UsageError
            If the arguments are wrong.
        """


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A subcommand and its help texts."""

    run: Run
    usage: str
    summary: str
    example: str


commands: registry.Registry[Command] = registry.Registry(kind="command")


def command(name: str, *, usage: str, summary: str, example: str):
    """Return a decorator that registers a function as the subcommand ``name``."""

    def decorate(run: Run) -> Run:
        entry = Command(run=run, usage=usage, summary=summary, example=example)
        commands.register(name)(entry)
        return run

    return decorate
