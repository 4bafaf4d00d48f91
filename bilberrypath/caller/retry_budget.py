"""A retry budget, which limits retries to a share of the requests."""

from __future__ import annotations

from attrs import define

RETRIES_PER_REQUEST = 0.2  # added to the budget by each first attempt
MAX_SAVED_RETRIES = 10.0  # limit of the unused budget, in retries


@define
class RetryBudget:
    """A budget that allows retries while they are a small share of the requests.

    Each request adds ``RETRIES_PER_REQUEST`` to ``saved``, each retry takes 1 from it.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the share of one request to the budget."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if less than one is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
