"""Validates a caller's request target, headers and API key, and selects what to forward."""

import enum
import re
import urllib.parse
from collections.abc import Iterator

import msgspec

from verbenadrum.utils import errors

__all__ = [
    "ALL_KEY_PLACES",
    "BadRequestError",
    "KeyPlace",
    "Target",
    "clean_headers",
    "environ_name",
    "find_key",
    "host_name",
    "parse_target",
]

KEY_PARAMETER = "api_key"
KEY_HEADER = "HTTP_X_API_KEY"
_AUTHORIZATION_PATTERN = re.compile(r"^(\S+) +(\S+)$")
_ABSOLUTE_FORM = re.compile(r"https?://(?:[^/?#@]*@)?([^/?#@]+)([/?].*)?", re.IGNORECASE)
_AUTHORITY = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[^\[\]:]+)(:[0-9]*)?")
_PORT = re.compile(r":[0-9]*$")
_SEPARATORS = re.compile(r"[/\\]")
_FORBIDDEN_CHARACTERS = re.compile(r"[\x00-\x20\x7f]")

# Hop-by-hop headers, headers that may hold the API key, and headers that the host sets itself.
_REMOVED_HEADERS = frozenset(
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
    }
)


def environ_name(header: str) -> str:
    """Return the name under which a WSGI environment holds a request header.

    Examples
    --------
    >>> environ_name("X-Request-Id")
    'HTTP_X_REQUEST_ID'
    """
    return "HTTP_" + header.upper().replace("-", "_")


_RESERVED_HEADERS = frozenset(map(environ_name, ("X-Request-Id", "X-Deadline-Ms", "X-Workspace")))


class KeyPlace(enum.Enum):
    """Part of a request that may hold the caller's API key.

    ``AUTHORIZATION`` is the Authorization header, ``HEADER`` the X-Api-Key header, ``QUERY`` the
    parameter `KEY_PARAMETER` of the query, and ``COOKIE`` the cookie of that name.
    """

    AUTHORIZATION = "authorization"
    HEADER = "header"
    QUERY = "query"
    COOKIE = "cookie"


ALL_KEY_PLACES = frozenset(KeyPlace)


class BadRequestError(errors.VerbenadrumError):
    """A caller's request is malformed or ambiguous."""

    code = "bad-request"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of a request target, for routing and forwarding.

    Attributes
    ----------
    path : str
        Path as the caller sent it, which is matched against routes.
    query : str
        Query without the API key.
    forward : str
        Target for the backend server: the path, and the query without the API key.
    query_key : str
        API key from the query, or an empty string.
    authority : str
        Host name and port of an absolute form, or an empty string.
    """

    path: str
    query: str
    forward: str
    query_key: str
    authority: str = ""


def parse_target(raw: str, places: frozenset[KeyPlace] = ALL_KEY_PLACES) -> Target:
    """Parse a request target.

    Parameters
    ----------
    raw : str
        Origin form (``/path?query``) or absolute form, one character for each byte.
    places : frozenset of KeyPlace
        Where a key may be. The query is left unchanged if it is not one of these.

    Raises
    ------
    BadRequestError
        If the path does not begin with a slash, the target contains a fragment, spaces, control
        characters or dot segments, or the query holds two different API keys. A backend server
        could resolve dot segments to a path that another route protects.

    Examples
    --------
    >>> target = parse_target("/a//b%20c?x=1&api_key=secret")
    >>> target.path, target.forward, target.query_key
    ('/a//b%20c', '/a//b%20c?x=1', 'secret')
    """
    authority, raw = _split_authority(raw)
    if not raw.startswith("/"):
        raise BadRequestError("the request target must begin with a slash")
    path, mark, raw_query = raw.partition("?")
    if "#" in raw or _FORBIDDEN_CHARACTERS.search(raw):
        raise BadRequestError("the request target has forbidden characters")
    decoded = urllib.parse.unquote(path, encoding="latin-1")
    if any(segment in (".", "..") for segment in _SEPARATORS.split(decoded)):
        raise BadRequestError("the request target has dot segments")
    query, query_key = raw_query, ""
    if KeyPlace.QUERY in places:
        query, query_key = _split_key(raw_query, "&")
    return Target(
        path=path,
        query=query,
        forward=f"{path}{mark}{query}" if query or not query_key else path,
        query_key=query_key,
        authority=authority,
    )


def host_name(authority: str) -> str:
    """Return the host name of an authority or a Host header, in lower case without the port.

    Examples
    --------
    >>> host_name("A.example:80"), host_name("[::1]")
    ('a.example', '[::1]')
    """
    return _PORT.sub("", authority).lower()


def _split_authority(raw: str) -> tuple[str, str]:
    """Return the authority of a request target, if it has one, and the rest in origin form."""
    if raw.startswith("/"):
        return "", raw
    absolute = _ABSOLUTE_FORM.fullmatch(raw)
    if absolute is None:
        return "", raw
    authority, rest = absolute[1], absolute[2] or "/"
    if not _AUTHORITY.fullmatch(authority):
        raise BadRequestError("the request target names no valid host")
    return authority, rest if rest.startswith("/") else f"/{rest}"


def find_key(
    environ: dict,
    target: Target,
    scheme: str = "Bearer",
    places: frozenset[KeyPlace] = ALL_KEY_PLACES,
) -> str:
    """Return the API key of a request, or an empty string.

    Parameters
    ----------
    environ : dict
        The request's WSGI environment.
    target : Target
        The request's target, whose query may hold the key.
    scheme : str
        Scheme of an Authorization header that carries a key; upper and lower case are the same.
    places : frozenset of KeyPlace
        Where the key may be.

    Raises
    ------
    BadRequestError
        If the request holds two different keys.
    """
    found_keys = {target.query_key}
    if KeyPlace.HEADER in places:
        found_keys.add(environ.get(KEY_HEADER, "").strip())
    authorization = _AUTHORIZATION_PATTERN.match(environ.get("HTTP_AUTHORIZATION", "").strip())
    matches = authorization and authorization.group(1).lower() == scheme.lower()
    if matches and KeyPlace.AUTHORIZATION in places:
        found_keys.add(authorization.group(2))
    if "HTTP_COOKIE" in environ and KeyPlace.COOKIE in places:
        found_keys.add(_split_key(environ["HTTP_COOKIE"], ";")[1])
    found_keys.discard("")
    if len(found_keys) > 1:
        raise BadRequestError("the request carries two different keys")
    return found_keys.pop() if found_keys else ""


def clean_headers(
    environ: dict,
    key: str,
    reserved: frozenset[str] = _RESERVED_HEADERS,
    places: frozenset[KeyPlace] = ALL_KEY_PLACES,
) -> Iterator[tuple[str, str]]:
    """Yield names and values of the caller's headers that are forwarded to a backend server.

    Hop-by-hop headers, Authorization, Expect, Host and every other header whose value contains the
    API key are removed. So are the headers in ``reserved``, which the host sets itself; it holds
    names of a WSGI environment. X-Api-Key is removed, and cookies are forwarded without the one
    that holds the key, if these are among the ``places`` of keys.
    """
    removed = _REMOVED_HEADERS | reserved
    if KeyPlace.HEADER in places:
        removed = removed | {KEY_HEADER}
    if "HTTP_CONNECTION" in environ:
        connection_headers = environ["HTTP_CONNECTION"].upper().replace("-", "_").split(",")
        removed = removed.union("HTTP_" + token.strip() for token in connection_headers)
    for name, value in environ.items():
        if not name.startswith("HTTP_") or name in removed:
            continue
        if key and key in value:
            continue
        yield name[5:].replace("_", "-").title(), value
    cookies = environ.get("HTTP_COOKIE", "")
    if KeyPlace.COOKIE in places:
        cookies = _split_key(cookies, ";")[0].strip()
    if cookies and not (key and key in cookies):
        yield "Cookie", cookies
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def _split_key(text: str, separator: str) -> tuple[str, str]:
    """Return ``text`` without its API key parameter, and the decoded key or an empty string."""
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
