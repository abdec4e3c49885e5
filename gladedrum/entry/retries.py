"""A budget that keeps retries to a share of first tries."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Counts first tries and allows a share of them as retries.

    Parameters
    ----------
    reserve : float
        Retries allowed at the start, and the most that can be saved up.

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
        """Count a first try, for which `share` retries are allowed."""
        self._balance = min(self._reserve, self._balance + share)

    def try_withdraw(self) -> bool:
        """Take one retry out of the budget; False if there is none."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
