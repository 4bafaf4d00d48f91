"""A budget that keeps retries a small share of requests."""

from __future__ import annotations

from attrs import define

SHARE = 0.2  # retries earned by each request
RESERVE = 10.0  # retries that can be saved up


@define
class RetryBudget:
    """Earn a share of a retry with each request, and spend whole ones.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    saved: float = RESERVE

    def earn(self) -> None:
        """Record a first attempt."""
        self.saved = min(RESERVE, self.saved + SHARE)

    def spend(self) -> bool:
        """Take one retry out of the budget; False if it is spent."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
