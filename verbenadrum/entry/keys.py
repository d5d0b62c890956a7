"""Hash of a caller's key, the only form in which records hold it."""

import hashlib

__all__ = ["hash_key"]


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key as 64 hexadecimal digits.

    Keys are long random strings, so a fast hash is enough.

    Examples
    --------
    >>> hash_key("example")[:12]
    '50d858e0985e'
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
