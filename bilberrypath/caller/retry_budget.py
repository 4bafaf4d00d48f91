"""A budget that keeps retries a small share of requests."""

from __future__ import annotations

from attrs import define

RETRIES_PER_REQUEST = 0.2  # retries earned by each request
MAX_SAVED_RETRIES = 10.0  # retries that can be saved up


@define
class RetryBudget:
    """Earn a share of a retry with each request, and spend whole ones.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Record a first attempt."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry out of the budget; False if it is spent."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
