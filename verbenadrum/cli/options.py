"""Options and exit codes shared by all subcommands."""

import enum

import msgspec

__all__ = ["ExitCode", "Format", "Options"]


class ExitCode(enum.IntEnum):
    """Exit codes of the tool.

    ``FOUND`` means that the tool ran and found a problem: a fault in a file, a host that is not
    ready, or no decision to explain. ``UNREACHABLE`` means that a host did not answer.
    """

    OK = 0
    FOUND = 1
    USAGE = 2
    UNREACHABLE = 3


class Format(enum.Enum):
    """Output format of results."""

    TEXT = "text"
    JSON = "json"


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the flags.

    Attributes
    ----------
    hosts : tuple of str
        Addresses ``ip:port`` of operators' ports.
    logs : tuple of str
        Saved log files, read instead of hosts.
    count : int
        Number of rounds of ``watch``; 0 to continue until interrupted.
    interval_s : float
        Delay between two rounds of ``watch``, in seconds.
    timeout_s : float
        Time limit of a request to a host, in seconds.
    """

    format: Format = Format.TEXT
    hosts: tuple[str, ...] = ()
    logs: tuple[str, ...] = ()
    count: int = 0
    interval_s: float = 2.0
    timeout_s: float = 3.0
