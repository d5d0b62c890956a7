"""Reads what a backend server says about itself in the headers of its answers."""

import datetime
import email.utils
import logging
import math
import re

import urllib3

from verbenadrum.daemon import log_limits

__all__ = ["read_limit", "read_retry_after_ms"]

# A plain decimal number; more digits than these have no meaning here.
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_RETRY_AFTER = "Retry-After"
_DATE = "Date"
# An absurd value must not keep a host from a sound server for longer than an operator needs to
# find out.
_MAX_RETRY_AFTER_MS = 3_600_000.0
_MS_PER_S = 1000.0
_MAX_LOGGED_LENGTH = 64

_log = logging.getLogger(__name__)
# By server and header.
_malformed_limit = log_limits.LogLimit()


def read_limit(headers: urllib3.HTTPHeaderDict, name: str, address: str) -> float | None:
    """Return the rate that a server says it takes from all hosts together.

    Parameters
    ----------
    headers : HTTPHeaderDict
        Headers of an answer.
    name : str
        Name of the header.
    address : str
        ``ip:port`` of the server, for the log.

    Returns
    -------
    float or None
        Requests per second; infinite if the answer names no limit. None if the header is repeated
        or is not a decimal number: the answer then says nothing about it, which is logged.

    Examples
    --------
    >>> read_limit(urllib3.HTTPHeaderDict({"Limit": "2.5"}), "Limit", "10.0.0.1:80")
    2.5
    >>> read_limit(urllib3.HTTPHeaderDict(), "Limit", "10.0.0.1:80")
    inf
    """
    values = headers.getlist(name)
    if not values:
        return math.inf
    if len(values) == 1 and _DECIMAL_PATTERN.fullmatch(values[0].strip()):
        return float(values[0])
    _log_malformed(name, address, ", ".join(values))
    return None


def read_retry_after_ms(headers: urllib3.HTTPHeaderDict, address: str) -> float:
    """Return for how long a server that refused a request wants no other one, in milliseconds.

    The header holds seconds, which may have a fraction, or an HTTP date. A date is compared with
    that of the answer, since the server's clock may differ from this host's, and with the clock of
    this host if the answer has none.

    Parameters
    ----------
    headers : HTTPHeaderDict
        Headers of an answer with status 503.
    address : str
        ``ip:port`` of the server, for the log.

    Returns
    -------
    float
        0 without the header, or if it is repeated or malformed, which is logged; at most an hour.

    Examples
    --------
    >>> read_retry_after_ms(urllib3.HTTPHeaderDict({"Retry-After": "1.5"}), "10.0.0.1:80")
    1500.0
    """
    values = headers.getlist(_RETRY_AFTER)
    if not values:
        return 0.0
    text = values[0].strip()
    if len(values) == 1 and _DECIMAL_PATTERN.fullmatch(text):
        return min(_MAX_RETRY_AFTER_MS, float(text) * _MS_PER_S)
    until = _parse_date(text) if len(values) == 1 else None
    if until is None:
        _log_malformed(_RETRY_AFTER, address, ", ".join(values))
        return 0.0
    answered = _parse_date(headers.get(_DATE, "")) or datetime.datetime.now(datetime.UTC)
    remaining = until - answered
    return min(_MAX_RETRY_AFTER_MS, max(0.0, remaining.total_seconds() * _MS_PER_S))


def _parse_date(text: str) -> datetime.datetime | None:
    if len(text) > _MAX_LOGGED_LENGTH:
        return None
    try:
        parsed = email.utils.parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    return parsed if parsed.tzinfo else parsed.replace(tzinfo=datetime.UTC)


def _log_malformed(name: str, address: str, value: str) -> None:
    """Log a malformed value, once a minute for each server and header."""
    if _malformed_limit.is_due((address, name)):
        _log.warning(
            "malformed signal",
            extra={"server": address, "header": name, "value": value[:_MAX_LOGGED_LENGTH]},
        )
