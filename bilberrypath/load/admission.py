"""What an agent does with an open: take, pass on, keep, defer or refuse it.

:func:`decide_open` is pure. The agent states what its upstream may take, what happened
to the open before, and which other agent could take it, and performs the decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.load.pressure import ServicePressure
    from bilberrypath.state.route_terms import RouteTerms
    from bilberrypath.types import Seconds

CROWDED = "crowded"  # too many requests queue during or soon after a cold start
# Per slot. With 4 for a first open, most requests of a burst miss their objective. A
# repeated open is already late: one request that runs, and one that waits.
MAX_QUEUE_FIRST_OPEN = 3.0
MAX_QUEUE_REPEATED_OPEN = 2.0
MAX_OPEN_COPIES = 2  # retransmissions by a client; its last copy is not deferred
MAX_UNANSWERED_RELAYS = 3  # more agents of a service rarely fail at once
FIRST_REPORT_TIMEOUT: Seconds = 0.5  # an upstream reports as soon as it can


@frozen
class UpstreamRoom:
    """What the agent's own upstream may take now.

    ``reject_reason`` is why it may not take an open, None if it may. ``queue_length``
    is the number of requests that run, queue, or are about to be sent on new flows.
    """

    reject_reason: str | None = None
    queue_length: int = 0
    slots: int = 1
    is_after_cold_start: bool = False
    awaits_first_report: bool = False


@frozen
class OpenAttempt:
    """An open, what happened to it before, and the agent that could take it.

    ``has_target`` states that another agent can take it, or should, if the own upstream
    may; ``is_target_crowded`` that requests queue there. ``is_last_hop`` forbids to
    pass it on from a crowded upstream, and ``is_joining`` states that more agents may
    become known soon. ``is_late`` states that others may have been asked before this
    agent read the open.
    """

    now: Seconds
    has_target: bool = False
    is_target_crowded: bool = False
    is_last_hop: bool = False
    is_leaving: bool = False
    is_joining: bool = False
    has_waited: bool = False
    retransmit_count: int = 0
    unanswered_count: int = 0
    is_late: bool = False


@frozen
class Take:
    """Send the open to the own upstream."""

    reason: str = "room"


@frozen
class PassOn:
    """Relay the open to the agent that can take it."""

    reason: str


@frozen
class Keep:
    """Place the open again at ``until``, or as soon as more is known."""

    until: Seconds
    reason: str


@frozen
class Defer:
    """Drop the open; the client's next copy is decided afresh."""

    reason: str


@frozen
class Refuse:
    """Reset the open, unless an agent that did not answer may have taken it."""

    reason: str


@frozen
class LeaveRefusal:
    """Have the balancer reset the open unless it has given it to another agent."""

    reason: str


OpenDecision = Take | PassOn | Keep | Defer | Refuse | LeaveRefusal


def is_crowded(room: UpstreamRoom, retransmit_count: int) -> bool:
    """Return whether too many requests queue during or soon after a cold start.

    A first copy of an open can still be served in time. A retransmitted open is already
    late, so its limit is lower.
    """
    if not room.is_after_cold_start:
        return False
    limit = MAX_QUEUE_REPEATED_OPEN if retransmit_count else MAX_QUEUE_FIRST_OPEN
    return room.queue_length >= limit * room.slots


def decide_open(
    room: UpstreamRoom,
    terms: RouteTerms | None,
    attempt: OpenAttempt,
    pressure: ServicePressure,
) -> OpenDecision:
    """Return what is done with an open.

    ``terms`` of the open's route and ``pressure`` of the service change no decision
    yet: refusal by the route's timeout and shares of less urgent opens need them.

    Examples
    --------
    >>> from bilberrypath.load.pressure import NO_PRESSURE
    >>> decide_open(UpstreamRoom(), None, OpenAttempt(0.0), NO_PRESSURE)
    Take(reason='room')
    >>> room = UpstreamRoom(reject_reason="full")
    >>> decide_open(room, None, OpenAttempt(0.0), NO_PRESSURE)
    Refuse(reason='full')
    """
    if room.reject_reason is not None:
        return _decide_without_room(room, room.reject_reason, attempt)
    if attempt.has_target:
        return PassOn("leaving" if attempt.is_leaving else "load")
    return Take()


def _decide_without_room(
    room: UpstreamRoom, reason: str, attempt: OpenAttempt
) -> OpenDecision:
    """Decide on an open that the own upstream may not take.

    While the upstream's first report or the other agents are awaited, the open is kept
    rather than refused, or passed on to an upstream where requests queue.
    """
    if attempt.unanswered_count >= MAX_UNANSWERED_RELAYS:
        return Refuse("unanswered")
    keep_until = attempt.now + FIRST_REPORT_TIMEOUT
    if not attempt.has_target and room.awaits_first_report:
        return Keep(keep_until, "no_report")
    if not attempt.has_target and attempt.is_joining and not attempt.has_waited:
        return Keep(keep_until, "no_agents")
    if reason == CROWDED and (not attempt.has_target or attempt.is_last_hop):
        if attempt.retransmit_count < MAX_OPEN_COPIES:
            return Defer(reason)
        return _refuse(reason, attempt)
    if not attempt.has_target:
        return _refuse(reason, attempt)
    may_wait = room.awaits_first_report and not attempt.has_waited
    if may_wait and attempt.is_target_crowded:
        return Keep(keep_until, "no_report")
    return PassOn(reason)


def _refuse(reason: str, attempt: OpenAttempt) -> OpenDecision:
    """Refuse an open; if it was read late, another agent may have taken it."""
    if attempt.is_late and not attempt.unanswered_count:
        return LeaveRefusal(reason)
    return Refuse(reason)
