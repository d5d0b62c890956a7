"""Reads the head of a server's answer by RFC 9112, and decides how its body is framed."""

import enum
import http.client
import re

import msgspec

__all__ = [
    "BodyFraming",
    "FramingError",
    "FramingKind",
    "StatusLine",
    "frame_body",
    "read_chunk_size",
    "read_fields",
    "read_status_line",
]

# A status is from 100 to 599 (RFC 9110, section 15), and a reason has no control characters but
# the tab. Many servers leave out the space before a missing reason.
_STATUS_LINE_PATTERN = re.compile(
    rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2})"
    rb"(?: (?P<reason>[\t\x20-\x7e\x80-\xff]*))?\r?\n"
)
# Every number of up to 18 digits fits into a signed 64-bit integer.
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
_FIELD_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# RFC 9110, section 5.5; the tab is the one control character that is allowed.
_FORBIDDEN_VALUE_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Some servers pad the size with blanks, to a field of fixed width.
_CHUNK_SIZE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00\r\n]*)?\r?\n")
_BODILESS_STATUSES = (204, 304)


class FramingError(http.client.HTTPException):
    """A head that does not tell, or contradicts itself about, where the body ends."""


class FramingKind(enum.Enum):
    """How the end of a body is found.

    ``NONE`` is an answer without a body, and ``CLOSE`` one that ends with its connection.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class BodyFraming(msgspec.Struct, frozen=True, kw_only=True):
    """Framing of an answer's body.

    Attributes
    ----------
    kind : FramingKind
        How the end of the body is found.
    length : int or None
        Length of the body in bytes; for an answer without a body, the length that the same answer
        with one would have. None if that is not known.
    reusable : bool
        Whether another request may follow on the connection.
    """

    kind: FramingKind
    length: int | None = None
    reusable: bool = True


class StatusLine(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a head.

    Attributes
    ----------
    http_1_0 : bool
        Whether the answer is of HTTP/1.0; it is of HTTP/1.1 or a later minor version otherwise.
    status : int
        Status code, 100 to 599.
    reason : str
        Reason phrase, which may be empty.
    """

    http_1_0: bool
    status: int
    reason: str = ""


def read_status_line(line: bytes) -> StatusLine:
    r"""Return the content of the first line of a head, given with its line end.

    Raises
    ------
    http.client.BadStatusLine
        If it is no status line of HTTP/1.

    Examples
    --------
    >>> read_status_line(b"HTTP/1.1 204 No Content\r\n")
    StatusLine(http_1_0=False, status=204, reason='No Content')
    """
    match = _STATUS_LINE_PATTERN.fullmatch(line)
    if match is None:
        raise http.client.BadStatusLine(repr(line[:80]))
    return StatusLine(
        http_1_0=match["minor"] == b"0",
        status=int(match["status"]),
        reason=(match["reason"] or b"").decode("latin-1").strip(),
    )


def frame_body(
    method: str, status: int, headers: http.client.HTTPMessage, *, http_1_0: bool = False
) -> BodyFraming:
    """Return the framing of the body of an answer.

    Parameters
    ----------
    method : str
        Method of the request.
    status : int
        Status code of the answer.
    headers : HTTPMessage
        Headers of the answer.
    http_1_0 : bool
        Whether the answer is of HTTP/1.0.

    Raises
    ------
    FramingError
        If the headers contradict each other or are malformed.

    Examples
    --------
    >>> headers = http.client.HTTPMessage()
    >>> headers["Content-Length"] = "5"
    >>> frame_body("GET", 200, headers).length
    5
    """
    length = _content_length(headers)
    codings = headers.get_all("Transfer-Encoding", [])
    if method == "HEAD" or status in _BODILESS_STATUSES:
        declared = None if codings or status == 204 else length
        return BodyFraming(kind=FramingKind.NONE, length=declared)
    if codings:
        # Where both are given the length is ignored, and the connection must not be reused.
        _check_codings(codings, http_1_0)
        return BodyFraming(kind=FramingKind.CHUNKED, reusable=length is None)
    if length is not None:
        return BodyFraming(kind=FramingKind.LENGTH, length=length)
    return BodyFraming(kind=FramingKind.CLOSE, reusable=False)


def read_fields(lines: list[bytes]) -> http.client.HTTPMessage:
    """Return the header fields in the lines of a head, without its first and its empty line.

    A folded line is joined to the one before it by a space (RFC 9112, section 5.2).

    Raises
    ------
    FramingError
        If a line is no header field, or a value contains a control character.
    """
    fields: list[tuple[bytes, bytes]] = []
    for line in lines:
        text = line.removesuffix(b"\n").removesuffix(b"\r")
        if text[:1] in (b" ", b"\t"):
            if not fields:
                raise FramingError("the first field line is folded")
            name, value = fields.pop()
            fields.append((name, (value + b" " + text).strip(b" \t")))
            continue
        name, colon, value = text.partition(b":")
        if not colon or not _FIELD_NAME_PATTERN.fullmatch(name):
            raise FramingError(f"{text[:80]!r} is not a header field")
        fields.append((name, value.strip(b" \t")))
    message = http.client.HTTPMessage()
    for name, value in fields:
        if _FORBIDDEN_VALUE_BYTES.search(value):
            raise FramingError(f"the value of header {name[:80]!r} has forbidden characters")
        message[name.decode("ascii")] = value.decode("latin-1")
    return message


def read_chunk_size(line: bytes) -> int:
    r"""Return the size that the first line of a chunk names, in bytes.

    Raises
    ------
    FramingError
        If the line does not begin with a plain hexadecimal number.

    Examples
    --------
    >>> read_chunk_size(b"1f;name=value\r\n")
    31
    """
    match = _CHUNK_SIZE_PATTERN.fullmatch(line)
    if match is None:
        raise FramingError(f"{line[:80]!r} is not the size of a chunk")
    return int(match[1], 16)


def _content_length(headers: http.client.HTTPMessage) -> int | None:
    """Return the value of Content-Length, or None without one; it must not be repeated."""
    values = headers.get_all("Content-Length", [])
    if not values:
        return None
    if len(values) > 1 or not _LENGTH_PATTERN.fullmatch(values[0]):
        raise FramingError(f"Content-Length {', '.join(values)[:80]!r} is not one number")
    return int(values[0])


def _check_codings(codings: list[str], http_1_0: bool) -> None:
    if http_1_0:
        raise FramingError("an HTTP/1.0 answer has a Transfer-Encoding")
    if len(codings) != 1 or codings[0].strip(" \t").lower() != "chunked":
        raise FramingError(f"Transfer-Encoding {', '.join(codings)[:80]!r} is not chunked")
