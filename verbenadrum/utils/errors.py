"""Base class of the project's exceptions, which carry a stable code."""

__all__ = ["VerbenadrumError"]


class VerbenadrumError(Exception):
    """Error with a code that callers and operators can look up.

    Parameters
    ----------
    message : str
        Description for people.

    Attributes
    ----------
    code : str
        Stable code of the error, set by each subclass.

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
