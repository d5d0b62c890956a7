"""Reads what a backend server says about itself in the headers of its answers."""

import logging
import math
import re
import time

import urllib3

__all__ = ["read_limit"]

# A plain decimal number; more digits than these have no meaning here.
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_LOG_INTERVAL_S = 60.0
_MAX_LOGGED_ADDRESSES = 4_096
_MAX_LOGGED_LENGTH = 64

_log = logging.getLogger(__name__)
# When a malformed value of each server and header was logged last, in monotonic seconds.
_logged_s: dict[tuple[str, str], float] = {}


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


def _log_malformed(name: str, address: str, value: str) -> None:
    """Log a malformed value, once a minute for each server and header."""
    now_s = time.monotonic()
    key = (address, name)
    if now_s - _logged_s.get(key, -math.inf) < _LOG_INTERVAL_S:
        return
    if len(_logged_s) >= _MAX_LOGGED_ADDRESSES:
        _logged_s.clear()
    _logged_s[key] = now_s
    _log.warning(
        "malformed signal",
        extra={"server": address, "header": name, "value": value[:_MAX_LOGGED_LENGTH]},
    )
