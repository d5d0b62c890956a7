"""Budget of the retries and hedges that an entry host may send to a service."""

__all__ = ["RetryBudget"]

_TOKENS_PER_REQUEST = 0.2
_MOST_TOKENS = 20.0
_HEDGE_RESERVE = 2.0


class RetryBudget:
    """Earns a fifth of a retry with each request, so that attempts stay within 1.2 times these.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> for _ in range(5):
    ...     budget.earn()
    >>> budget.draw(), budget.draw()
    (True, False)
    """

    def __init__(self) -> None:
        self._tokens = 0.0

    def earn(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(_MOST_TOKENS, self._tokens + _TOKENS_PER_REQUEST)

    def draw(self, *, hedge: bool = False) -> bool:
        """Take one retry, or one hedge where enough is left for retries."""
        needed = 1.0 + (_HEDGE_RESERVE if hedge else 0.0)
        if self._tokens < needed - 1e-9:
            return False
        self._tokens -= 1.0
        return True
