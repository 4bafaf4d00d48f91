"""The possible outcomes of a request, each a tagged dataclass."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Reason(Enum):
    """The reason that a request was refused or that its outcome is not known.

    ``SEALED`` refuses a request whose outcome was queried before it arrived.
    ``UPSTREAM_AWAY`` means that the agent has no connection to its upstream, and
    ``UPSTREAM_SHED`` that the upstream refused the request because of its load.
    ``NOT_KEPT`` means that the agent may have run the request, but has no record of
    the answer: it was too large, may have expired, or the table of answers was full.
    """

    OVERLOADED = "overloaded"
    DEADLINE = "deadline_cannot_be_met"
    DRAINING = "draining"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_AWAY = "upstream_away"
    UPSTREAM_UNHEALTHY = "upstream_unhealthy"
    SEALED = "sealed"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    DATA_CENTRE_OUT = "data_centre_out"
    FLOW_LOST = "flow_lost"
    UPSTREAM_LOST = "upstream_lost"
    DEADLINE_PASSED = "deadline_passed"
    OTHER_INCARNATION = "other_incarnation"
    NO_AGENT = "no_agent"
    NOT_KEPT = "answer_not_kept"
    BUDGET = "retry_budget_spent"


@dataclass(frozen=True)
class Answered:
    """The upstream's complete response to the request."""

    status: int
    body: bytes
    kind: Literal["answered"] = "answered"


@dataclass(frozen=True)
class RefusedNotRun:
    """The outcome of a request that did not run and will not run.

    ``elsewhere`` states whether the caller should try another upstream, and
    ``retry_after`` how many seconds it should wait first.
    """

    reason: Reason
    elsewhere: bool
    retry_after: float = 0.0
    kind: Literal["not_run"] = "not_run"


@dataclass(frozen=True)
class Unknown:
    """The outcome of a request that may or may not have run."""

    reason: Reason
    kind: Literal["unknown"] = "unknown"


Outcome = Answered | RefusedNotRun | Unknown
