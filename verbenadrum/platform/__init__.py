"""Adapter of the users' platform: translates its names, formats and calls into records.

It contains no policy, and the platform's formats and terms are used nowhere else.
"""

__all__ = ["store", "wire"]
