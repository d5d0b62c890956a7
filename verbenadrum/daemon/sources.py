"""Registry of the record sources, the clients for reading the platform; settings select one."""

import typing

import msgspec
import urllib3

from verbenadrum.daemon import answers
from verbenadrum.dissemination import duty
from verbenadrum.utils import errors, registry

__all__ = [
    "AnswerTooLargeError",
    "Source",
    "SourceError",
    "SourceOptions",
    "read_answer_body",
    "record_sources",
]


# Eight times the size of the largest value that the platform stores.
_MAX_ANSWER_BYTES = 8_388_608


class SourceError(errors.VerbenadrumError):
    """A call to the platform returned no usable answer."""

    code = "platform-unusable"


class AnswerTooLargeError(SourceError):
    """An answer of the platform exceeds the maximum size."""

    code = "platform-answer-too-large"


class SourceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of this host that record sources use.

    Attributes
    ----------
    host : str
        This host's identifier.
    urls : tuple of str
        Base URLs of the platform.
    connect_timeout_s : float
        Timeout for connecting, in seconds.
    read_timeout_s : float
        Timeout for reading, in seconds, in addition to the wait time that a long poll requests.
    data_centres : frozenset of str
        Names of the data centres.
    floor : float
        Fraction of a pool's servers, 0 to 1, that must not be ejected.
    """

    host: str
    urls: tuple[str, ...]
    connect_timeout_s: float = 1.0
    read_timeout_s: float = 2.0
    data_centres: frozenset[str] = frozenset()
    floor: float = 0.5


class Source(typing.Protocol):
    """Client for one kind of platform: reads records, and the host list if it is published."""

    def poll(
        self, base_url: str, stream: duty.Stream, order: duty.PollOrder
    ) -> duty.RecordsAnswer | duty.HostsAnswer:
        """Make one long poll to a base URL and return its decoded answer.

        Raises
        ------
        SourceError
            If the answer cannot be used.
        urllib3.exceptions.HTTPError, OSError, gevent.Timeout
            If the call fails or takes too long.
        """


# Each entry is a class that implements `Source`, with the constructor ``(*, options)``.
record_sources: registry.Registry = registry.Registry(kind="record source")


def read_answer_body(response: urllib3.BaseHTTPResponse, base_url: str) -> bytes:
    """Return the whole body of an answer, not decoded, and release its connection.

    Parameters
    ----------
    response : BaseHTTPResponse
        Answer of the platform whose body has not been read.
    base_url : str
        Base URL, for error messages.

    Raises
    ------
    AnswerTooLargeError
        If the body is too large; the connection is closed then and after any other error.
    urllib3.exceptions.HTTPError
        If the body ends early.
    """
    try:
        return answers.read_body(response, max_bytes=_MAX_ANSWER_BYTES)
    except answers.BodyTooLongError as error:
        response.close()
        raise AnswerTooLargeError(f"{error.args[0]} from {base_url}") from error
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
