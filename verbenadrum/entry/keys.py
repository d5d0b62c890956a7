"""Hashing of callers' API keys; records store the hash only, never the key."""

import hashlib

__all__ = ["hash_key"]


def hash_key(key: str) -> str:
    """Return the SHA-256 of an API key as 64 hexadecimal digits.

    API keys are long random strings, so a fast hash without a salt is sufficient.

    Parameters
    ----------
    key : str
        The key as the caller sent it; it may hold surrogate escapes of undecodable bytes.

    Returns
    -------
    str
        Lower-case hexadecimal digest.

    Examples
    --------
    >>> hash_key("example")[:12]
    '50d858e0985e'
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
