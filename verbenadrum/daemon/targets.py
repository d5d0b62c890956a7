"""Checks and cleans what a caller's request names: target, headers and key."""

import re
import urllib.parse
from collections.abc import Iterator

import msgspec

from verbenadrum.utils import errors

__all__ = [
    "BadRequestError",
    "Target",
    "clean_headers",
    "environ_name",
    "find_key",
    "parse_target",
]

KEY_PARAMETER = "api_key"
KEY_HEADER = "HTTP_X_API_KEY"
_AUTHORIZATION = re.compile(r"^(\S+) +(\S+)$")
_SLASHES = re.compile(r"/+")
_SEPARATORS = re.compile(r"[/\\]")
_BAD_CHARACTERS = re.compile(r"[\x00-\x20\x7f]")

# Headers that speak of one connection only, or that callers may not set for backend servers.
_DROPPED = frozenset(
    {
        "HTTP_AUTHORIZATION",
        "HTTP_CONNECTION",
        "HTTP_COOKIE",
        "HTTP_EXPECT",
        "HTTP_HOST",
        "HTTP_KEEP_ALIVE",
        "HTTP_PROXY_AUTHORIZATION",
        "HTTP_PROXY_CONNECTION",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
        "HTTP_X_API_KEY",
    }
)


def environ_name(header: str) -> str:
    """Return the key of a header in a WSGI environment.

    Examples
    --------
    >>> environ_name("X-Request-Id")
    'HTTP_X_REQUEST_ID'
    """
    return "HTTP_" + header.upper().replace("-", "_")


_OWN = frozenset(map(environ_name, ("X-Request-Id", "X-Deadline-Ms", "X-Workspace")))


class BadRequestError(errors.VerbenadrumError):
    """A caller's request that cannot be understood safely."""

    code = "bad-request"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Request target in the forms that routing and forwarding need.

    Attributes
    ----------
    path : str
        Decoded, with runs of slashes collapsed, as routes match it.
    query : str
        As sent, without the key.
    forward : str
        Path as sent and query without the key.
    query_key : str
        Key from the query, or empty.
    """

    path: str
    query: str
    forward: str
    query_key: str


def parse_target(raw: str) -> Target:
    """Return the parts of a request target.

    Parameters
    ----------
    raw : str
        Origin form (``/path?query``) or absolute form.

    Raises
    ------
    BadRequestError
        If the target has control characters or dot segments: a backend server might resolve
        them to a path that another route guards.

    Examples
    --------
    >>> target = parse_target("/a//b%20c?x=1&api_key=secret")
    >>> target.path, target.forward, target.query_key
    ('/a/b c', '/a//b%20c?x=1', 'secret')
    """
    if raw.startswith(("http://", "https://")):
        parts = urllib.parse.urlsplit(raw)
        raw = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    if not raw.startswith("/"):
        raise BadRequestError("the request target must begin with a slash")
    raw_path, _, raw_query = raw.partition("?")
    if "#" in raw or _BAD_CHARACTERS.search(raw):
        raise BadRequestError("the request target has forbidden characters")
    decoded = urllib.parse.unquote(raw_path, encoding="latin-1")
    if any(segment in (".", "..") for segment in _SEPARATORS.split(decoded)):
        raise BadRequestError("the request target has dot segments")
    query, query_key = _split_key(raw_query, "&")
    return Target(
        path=_SLASHES.sub("/", decoded),
        query=query,
        forward=f"{raw_path}?{query}" if query else raw_path,
        query_key=query_key,
    )


def find_key(environ: dict, target: Target, scheme: str = "Bearer") -> str:
    """Return the key that came with a request, or an empty text.

    Parameters
    ----------
    environ : dict
        The request's WSGI environment.
    target : Target
        Its target, which may hold the key.
    scheme : str
        Scheme of the Authorization header.

    Raises
    ------
    BadRequestError
        If two places hold different keys.
    """
    found = {target.query_key, environ.get(KEY_HEADER, "").strip()}
    given = _AUTHORIZATION.match(environ.get("HTTP_AUTHORIZATION", "").strip())
    if given and given.group(1).lower() == scheme.lower():
        found.add(given.group(2))
    if "HTTP_COOKIE" in environ:
        found.add(_split_key(environ["HTTP_COOKIE"], ";")[1])
    found.discard("")
    if len(found) > 1:
        raise BadRequestError("the request carries two different keys")
    return found.pop() if found else ""


def clean_headers(environ: dict, key: str, own: frozenset[str] = _OWN) -> Iterator[tuple[str, str]]:
    """Yield the caller's headers that a backend server may see.

    Every header that holds the key is left out, wherever the caller put it, and so are those
    that the host sets itself: ``own`` holds their names in a WSGI environment.
    """
    dropped = _DROPPED | own
    if "HTTP_CONNECTION" in environ:
        named = environ["HTTP_CONNECTION"].upper().replace("-", "_").split(",")
        dropped = dropped.union("HTTP_" + token.strip() for token in named)
    for name, value in environ.items():
        if not name.startswith("HTTP_") or name in dropped:
            continue
        if key and key in value:
            continue
        yield name[5:].replace("_", "-").title(), value
    cookies = _split_key(environ.get("HTTP_COOKIE", ""), ";")[0].strip()
    if cookies and not (key and key in cookies):
        yield "Cookie", cookies
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def _split_key(text: str, separator: str) -> tuple[str, str]:
    """Return the text without its key parameter, and the key."""
    if KEY_PARAMETER not in urllib.parse.unquote(text):
        return text, ""
    key = ""
    kept = []
    for part in text.split(separator):
        name, _, value = part.partition("=")
        if urllib.parse.unquote_plus(name).strip() != KEY_PARAMETER:
            kept.append(part)
            continue
        decoded = urllib.parse.unquote_plus(value).strip()
        if key and decoded != key:
            raise BadRequestError("the request carries two different keys")
        key = decoded
    return separator.join(kept), key
