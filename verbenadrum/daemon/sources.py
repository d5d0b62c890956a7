"""Sources that records are read from, by the name that the settings choose."""

import typing

import msgspec
import urllib3

from verbenadrum.daemon import answers
from verbenadrum.dissemination import duty
from verbenadrum.utils import errors, registry

__all__ = ["Source", "SourceError", "SourceOptions", "read_whole", "sources"]


# Eight times the largest value that the platform holds.
_MAX_ANSWER_BYTES = 8_388_608


class SourceError(errors.VerbenadrumError):
    """A call to a source gave no usable answer."""

    code = "platform-unusable"


class SourceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a source needs to know of this host's settings.

    Attributes
    ----------
    host : str
        This host's identifier.
    urls : tuple of str
        Base URLs.
    connect_timeout_s, read_timeout_s : float
        Time limits of a call, in seconds; the second one beyond the time that the call asks the
        platform to wait.
    zones : frozenset of str
        Names of the data centres.
    floor : float
        Fraction of a pool's servers that ejection must leave in service.
    """

    host: str
    urls: tuple[str, ...]
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 2.0
    zones: frozenset[str] = frozenset()
    floor: float = 0.5


class Source(typing.Protocol):
    """Reads records, and the host list where it is published."""

    def poll(
        self, base: str, stream: duty.Stream, order: duty.PollOrder
    ) -> duty.RecordsAnswer | duty.HostsAnswer:
        """Make one call to the base URL and return its answer, or raise."""


# Each entry is a class with the constructor ``(*, options)`` and the method of `Source`.
sources: registry.Registry = registry.Registry(kind="record source")


def read_whole(response: urllib3.BaseHTTPResponse, base: str) -> bytes:
    """Return an answer's body and free its connection.

    Raises
    ------
    SourceError
        If it is too large.
    """
    try:
        return answers.read_body(response, most_bytes=_MAX_ANSWER_BYTES)
    except answers.BodyTooLongError as error:
        response.close()
        raise SourceError(f"{error.args[0]} from {base}") from error
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
