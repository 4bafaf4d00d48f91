"""Which client requests are kept at an agent while its upstream is full, and how long.

An upstream runs ``slots`` requests, queues a few more in order of arrival and sheds the
rest. The gate keeps that queue short, so that an urgent request need not wait behind
less urgent ones. It reads no clock: the agent passes in the time and the number of
requests that were sent to the upstream and are unanswered.
"""

from __future__ import annotations

from bisect import bisect_left, insort

import msgspec
from attrs import Factory, define

from bilberrypath.types import Seconds

MAX_KEPT_TIME: Seconds = 0.15  # clients first retransmit data after 0.2 s
OBJECTIVE_SHARE_KEPT = 0.25  # the rest of a latency objective is left to the upstream
MAX_KEPT_REQUESTS = 512
# Kept requests of a less urgent class per slot. More would wait for a turn until their
# release time, and then be shed or late; see docs/design/request-gate.md.
LESS_URGENT_KEPT_PER_SLOT = 1
MAX_LATER_DATAGRAMS = 16  # per request; a client has no more in flight
TURN_WINDOW = 4  # each less urgent class gets at least one turn in as many
# Requests queued per slot above which even the most urgent class is kept while it is
# unknown when the upstream sheds.
QUEUED_PER_SLOT = 2
# An answer to a request that had to queue, and came sooner, says that it was shed. A
# process on the same machine answers within 1 ms.
SHED_ANSWER_TIME: Seconds = 0.002


def compute_release_at(latency_objective: Seconds, kept_at: Seconds) -> Seconds:
    """Return until when a request with a latency objective may be kept.

    Examples
    --------
    >>> compute_release_at(0.4, 7.0)
    7.1
    >>> compute_release_at(2.0, 7.0)
    7.15
    """
    return kept_at + min(latency_objective * OBJECTIVE_SHARE_KEPT, MAX_KEPT_TIME)


class GatedRequest(msgspec.Struct, frozen=True):
    """A request of a flow, and the datagrams of the flow that arrived since.

    It is a ``Struct``, as one is made for each request at a full upstream, and creating
    a frozen attrs class takes several times as long.

    ``datagrams`` are in order of arrival without copies, and ``sequences`` are their
    sequence numbers. ``priority`` 0 is the most urgent.
    """

    flow: bytes
    datagrams: tuple[bytes, ...]
    priority: int
    kept_at: Seconds
    release_at: Seconds
    sequences: tuple[int, ...] = ()


# The release time of a request, its arrival number, and the request.
KeptEntry = tuple[Seconds, int, GatedRequest]


@define
class RequestGate:
    """The kept requests of one upstream, in order of their release.

    ``running`` is always the number of requests that were sent to the upstream and are
    unanswered. A request of the class ``most_urgent``, or of a more urgent one, is kept
    only if the upstream would shed it, from ``urgent_limit`` running requests on.
    Others are kept from ``limit`` on, once a request more than the slots is running,
    and at most one of a class for each slot.

    Each release for which there is room is a turn, and so is each answer that finds
    requests kept. ``_passes_by_priority`` counts the turns that a class with kept
    requests did not get. ``_entries_by_priority`` has the sorted entries of each class
    with kept requests.
    """

    most_urgent: int = 0
    limit: int = 2
    urgent_limit: int = 3
    _slots: int = 1
    _shed_at: int | None = None
    _entry_by_flow: dict[bytes, KeptEntry] = Factory(dict)
    _entries_by_priority: dict[int, list[KeptEntry]] = Factory(dict)
    _passes_by_priority: dict[int, int] = Factory(dict)
    _last_number: int = 0

    def __len__(self) -> int:
        return len(self._entry_by_flow)

    def set_room(self, slots: int, shed_at: int | None) -> None:
        """Set how many requests the upstream runs, and above how many it sheds.

        ``shed_at`` counts running and queued requests, and is None while unknown.
        """
        if slots == self._slots and shed_at == self._shed_at:
            return
        self._slots, self._shed_at = max(1, slots), shed_at
        self.limit = self._slots + 1
        if shed_at is None:
            shed_at = self._slots * (1 + QUEUED_PER_SLOT)
        self.urgent_limit = max(self.limit, shed_at)

    def list_flows(self) -> list[bytes]:
        """Return the flows with a kept request, in order of arrival."""
        return list(self._entry_by_flow)

    def offer(self, request: GatedRequest, running: int, now: Seconds) -> bool:
        """Return whether to forward a request now; otherwise it is kept.

        Call :meth:`release_free` before, so that a request that was kept earlier does
        not lose its place, and :meth:`release_excess` after one was kept.
        """
        is_urgent = request.priority <= self.most_urgent
        has_room = running < (self.urgent_limit if is_urgent else self.limit)
        is_full = len(self._entry_by_flow) >= MAX_KEPT_REQUESTS
        if has_room or is_full or request.release_at <= now:
            return True
        self._last_number += 1
        entry = (request.release_at, self._last_number, request)
        self._entry_by_flow[request.flow] = entry
        insort(self._entries_by_priority.setdefault(request.priority, []), entry)
        return False

    def release_excess(self, priority: int) -> list[GatedRequest]:
        """Return the request to forward because too many of its class are kept.

        It is the one with the least time left. None is forwarded that would overtake a
        more urgent request.
        """
        entries = self._entries_by_priority.get(priority, ())
        is_excess = len(entries) > LESS_URGENT_KEPT_PER_SLOT * self._slots
        if not is_excess or priority <= self.most_urgent or self._has_ahead(priority):
            return []
        return [self._remove(entries[0])]

    def has_copy(self, flow: bytes, sequence: int) -> bool:
        """Return whether a kept flow has a datagram with a sequence number."""
        return sequence in self._entry_by_flow[flow][2].sequences

    def append(self, flow: bytes, datagram: bytes, sequence: int) -> bool:
        """Add a later datagram of a kept flow; return whether there was room.

        A copy of a datagram that is kept must be left out; see :meth:`has_copy`.
        """
        entry = self._entry_by_flow[flow]
        request = entry[2]
        if len(request.datagrams) > MAX_LATER_DATAGRAMS:
            return False
        longer = msgspec.structs.replace(
            request,
            datagrams=(*request.datagrams, datagram),
            sequences=(*request.sequences, sequence),
        )
        entries = self._entries_by_priority[request.priority]
        position = bisect_left(entries, entry)
        entries[position] = self._entry_by_flow[flow] = (*entry[:2], longer)
        return True

    def record_answer(
        self, sent_at: Seconds, running: int, now: Seconds
    ) -> list[GatedRequest]:
        """Return the requests to forward now that the upstream has answered one.

        It was sent at ``sent_at``, and ``running`` no longer includes it. While it is
        unknown when the upstream sheds, another request takes its place even above the
        limits, since the upstream had room for it.
        """
        if not self._entry_by_flow:
            return []
        if now - sent_at < SHED_ANSWER_TIME and running >= self.limit:
            return self.release_free(running)
        first = self._take_turn(running, is_answer=True)
        if first is None:
            return []
        if not self._entry_by_flow:
            return [first]
        return [first, *self.release_free(running + 1)]

    def release_free(self, running: int) -> list[GatedRequest]:
        """Return the requests to forward because fewer are running than the limits."""
        released: list[GatedRequest] = []
        while self._entry_by_flow and running < self.urgent_limit:
            request = self._take_turn(running, is_answer=False)
            if request is None:
                break
            released.append(request)
            running += 1
        return released

    def release_due(self, now: Seconds) -> list[GatedRequest]:
        """Return the requests whose release time has passed, in order of that time.

        More urgent ones that they would overtake go before them.
        """
        released: list[GatedRequest] = []
        while self._entry_by_flow:
            entry = min(entries[0] for entries in self._entries_by_priority.values())
            if entry[0] > now:
                break
            request = self._remove(entry)
            released += [*self._take_ahead_of(request), request]
        return released

    def next_release_at(self) -> Seconds | None:
        """Return the earliest release time of a kept request, or None."""
        lists = self._entries_by_priority.values()
        return min((entries[0][0] for entries in lists), default=None)

    def discard(self, flow: bytes) -> GatedRequest | None:
        """Remove the kept request of a flow; return it, or None if there was none."""
        entry = self._entry_by_flow.get(flow)
        return None if entry is None else self._remove(entry)

    def release_all(self) -> list[GatedRequest]:
        """Remove and return all kept requests, in order of arrival."""
        released = [entry[2] for entry in self._entry_by_flow.values()]
        self._entry_by_flow.clear()
        self._entries_by_priority.clear()
        self._passes_by_priority.clear()
        return released

    def _has_ahead(self, priority: int) -> bool:
        """Return whether a request would overtake a more urgent one if forwarded.

        It would not while it is known when the upstream sheds: if a more urgent one is
        kept, the upstream would shed both.
        """
        return self._shed_at is None and min(self._entries_by_priority) < priority

    def _take_ahead_of(self, request: GatedRequest) -> list[GatedRequest]:
        """Remove and return those that would be overtaken by one that is due.

        These are the more urgent ones that arrived no later.
        """
        if not self._entry_by_flow or not self._has_ahead(request.priority):
            return []
        ahead = [
            entry
            for entry in self._entry_by_flow.values()
            if entry[2].priority < request.priority
            and entry[2].kept_at <= request.kept_at
        ]
        return [self._remove(entry) for entry in ahead]

    def _take_turn(self, running: int, is_answer: bool) -> GatedRequest | None:
        """Remove and return the request whose turn it is, or None if there is no room.

        A turn that no request takes still counts for the classes that are waiting if
        it is that of an answer.
        """
        is_replaced = is_answer and self._shed_at is None
        if running >= self.urgent_limit and not is_replaced:
            return None
        if running < self.limit and len(self._entries_by_priority) == 1:
            (entries,) = self._entries_by_priority.values()
            self._passes_by_priority.clear()
            return self._remove(entries[0])
        priority = self._choose_priority(running, is_answer)
        if priority is None and not is_answer:
            return None
        passes = self._passes_by_priority
        for other in self._entries_by_priority:
            passes[other] = passes.get(other, 0) + 1
        if priority is None:
            return None
        passes[priority] = 0
        return self._remove(self._entries_by_priority[priority][0])

    def _choose_priority(self, running: int, is_answer: bool) -> int | None:
        """Return the class whose turn it is, or None if it has no room.

        At an answer, a class that must have this turn has as much room as the most
        urgent one.
        """
        first = min(self._entries_by_priority)
        is_below_limit = running < self.limit
        overdue = self._find_overdue() if is_answer or is_below_limit else None
        if overdue is not None:
            return overdue
        return first if first <= self.most_urgent or is_below_limit else None

    def _find_overdue(self) -> int | None:
        """Return the class that must have this turn for all to have theirs in time.

        Each less urgent class has to get one turn of ``TURN_WINDOW``, or one more than
        there are such classes. Those that have waited longest come first, and as many
        turns are reserved as there are classes whose last turn is near.
        """
        passes = self._passes_by_priority
        classes = [p for p in self._entries_by_priority if p > self.most_urgent]
        window = max(TURN_WINDOW, len(classes) + 1)
        classes.sort(key=lambda p: (-passes.get(p, 0), p))
        for position, priority in enumerate(classes, 1):
            if window - passes.get(priority, 0) <= position:
                return classes[0]
        return None

    def _remove(self, entry: KeptEntry) -> GatedRequest:
        request = entry[2]
        del self._entry_by_flow[request.flow]
        entries = self._entries_by_priority[request.priority]
        del entries[bisect_left(entries, entry)]
        if not entries:
            del self._entries_by_priority[request.priority]
            self._passes_by_priority.pop(request.priority, None)
        return request
