"""A retry budget, which limits retries to a share of first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket of retries, refilled by first attempts.

    Parameters
    ----------
    reserve : float
        Initial and maximum balance, in retries.

    Examples
    --------
    >>> budget = RetryBudget(reserve=1)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    >>> budget.note_first_attempt(0.5); budget.note_first_attempt(0.5); budget.try_withdraw()
    True
    """

    def __init__(self, reserve: float = 10.0):
        self._reserve = reserve
        self._balance = reserve

    def note_first_attempt(self, share: float) -> None:
        """Add `share` of a retry to the balance, for one first attempt."""
        self._balance = min(self._reserve, self._balance + share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the balance is too low."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
