"""Base class of the project's exceptions, each with a stable code."""

__all__ = ["VerbenadrumError"]


class VerbenadrumError(Exception):
    """Failure with a code that callers and operators can look up.

    Parameters
    ----------
    message : str
        What went wrong, in words.

    Attributes
    ----------
    code : str
        Stable code, set by each subclass.

    Examples
    --------
    >>> str(VerbenadrumError("no such pool"))
    'internal: no such pool'
    """

    code: str = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"
