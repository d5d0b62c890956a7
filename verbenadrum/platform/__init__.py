"""Adapter of the users' platform: its names, formats and calls, translated into the product's.

Nothing here decides anything, and nothing outside knows the platform's words.
"""

__all__ = ["store", "wire"]
