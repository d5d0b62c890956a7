"""Register of the subcommands."""

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
    """Runs a subcommand and returns its exit code."""

    def __call__(
        self, arguments: Sequence[str], chosen: options.Options, out: typing.TextIO
    ) -> options.ExitCode:
        """Run with the words after the subcommand's name, printing to ``out``."""


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A subcommand and its help."""

    run: Run
    usage: str
    summary: str
    example: str


commands: registry.Registry[Command] = registry.Registry(kind="command")


def command(name: str, *, usage: str, summary: str, example: str):
    """Return a decorator that files a function as a subcommand."""

    def decorate(run: Run) -> Run:
        entry = Command(run=run, usage=usage, summary=summary, example=example)
        commands.register(name)(entry)
        return run

    return decorate
