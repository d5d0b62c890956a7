"""Options and exit codes that every subcommand shares."""

import enum

import msgspec

__all__ = ["ExitCode", "Format", "Options"]


class ExitCode(enum.IntEnum):
    """Exit codes of the tool.

    ``FOUND`` means that the tool worked and found something wrong: a fault in a file, a host that
    is not ready, or nothing to explain.
    """

    OK = 0
    FOUND = 1
    USAGE = 2
    UNREACHABLE = 3


class Format(enum.Enum):
    """How results are printed."""

    TEXT = "text"
    JSON = "json"


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the flags.

    Attributes
    ----------
    hosts : tuple of str
        Addresses ``ip:port`` of operators' ports.
    logs : tuple of str
        Saved log files, to read in the place of hosts.
    count : int
        Rounds of ``watch``; 0 to go on until interrupted.
    """

    format: Format = Format.TEXT
    hosts: tuple[str, ...] = ()
    logs: tuple[str, ...] = ()
    count: int = 0
    interval_s: float = 2.0
    timeout_s: float = 3.0
