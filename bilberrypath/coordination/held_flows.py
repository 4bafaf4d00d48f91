"""The flows of one upstream, tracked by its agent from the packets of both directions.

Request bytes are never read. A flow is busy from the first new data of its client
until the upstream's next data, and the number of busy flows is the load. Client data
that the upstream has already acknowledged is a retransmission and starts no request.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.failure_rate import FailureRate
from bilberrypath.load.upstream_speed import UpstreamSpeed
from bilberrypath.protocol.flow_packet import ENDPOINT_LENGTH

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.state.route_terms import RouteTerms
    from bilberrypath.types import Seconds

UTILIZATION_TIME_CONSTANT: Seconds = 1.0  # of the moving average of busy flows
ENDED_FLOW_LINGER: Seconds = (
    5.0  # late packets arrive within three retransmission timeouts of 1.6 s
)
MAX_BUSY_TIME: Seconds = 10.0  # a request unanswered for longer counts as abandoned
UNANSWERED_TIMEOUT: Seconds = 1.0  # a busy upstream answers within a third of this
TRIAL_PACKET_GAP: Seconds = 1.1  # two packets within two seconds
MAX_WAITING_PACKETS = 16  # per flow; a client has no more in flight
SEQUENCE_MODULUS = 1 << 32  # sequence numbers have 32 bits
MAX_ANSWER_BYTES = 1 << 20  # more than an upstream sends on a flow before it is chosen
FIRST_DATA_TIMEOUT: Seconds = 0.05  # several round trips to a client
SWEEP_COUNT = 256  # flows checked per tick
LOAD_PER_OPEN_FLOW = 0.02  # busy flows per live flow: 40 ms of work every 2 s


@define(slots=True)
class HeldFlow:
    """One flow of the upstream.

    ``seen_at`` is the time of its last packet, and ``busy_since`` that of the running
    request's first data, or None. ``kind`` is the kind of request that the route stated
    when the flow sent its first one. ``is_open`` is false until the upstream accepts
    the open or sends data. ``is_confirmed`` is false while a tentative delivery is the
    only sign that the upstream has the flow. Two upstreams may accept one open, and the
    client then uses one of them: ``is_chosen`` is true once the client has acknowledged
    this upstream's acceptance, whose number is ``accepted_sequence``, or the upstream
    has sent more. ``upstream_acknowledged`` is the upstream's last acknowledgement,
    None before the first. ``acknowledged`` is the client's last, for use in a reset.
    ``is_live`` is true until the flow has ended. ``has_failed`` is true once the
    running request has been counted as unanswered. ``sent_at`` is the time at which the
    running request was sent to the upstream. It is None if none is running there: while
    the request is kept (``is_kept``), and after a reset by the client.
    ``tried_at`` is the time of the last packet that was delivered while nothing but a
    trial showed that the flow is here, and ``waiting`` are those that came after it.
    """

    seen_at: Seconds
    acknowledged: int
    is_open: bool = False
    is_confirmed: bool = False
    is_chosen: bool = False
    accepted_sequence: int | None = None
    upstream_acknowledged: int | None = None
    busy_since: Seconds | None = None
    sent_at: Seconds | None = None
    kind: str | None = None
    is_kept: bool = False
    client_closed: bool = False
    upstream_closed: bool = False
    is_live: bool = True
    has_failed: bool = False
    tried_at: Seconds = float("-inf")
    waiting: list[bytes] | None = None

    def may_take(self, packet: FlowPacket, now: Seconds) -> bool:
        """Return whether the upstream may be sent a packet now; else it waits here.

        A flow that is only tried there may be at another upstream, and gets one packet
        in ``TRIAL_PACKET_GAP``.
        """
        if not self.is_open or self.is_confirmed:
            return True
        if now - self.tried_at >= TRIAL_PACKET_GAP:
            self.tried_at = now
            return True
        self.waiting = [*(self.waiting or ()), packet.datagram][-MAX_WAITING_PACKETS:]
        return False

    def take_waiting(self) -> list[bytes]:
        """Remove and return the packets that waited until the flow was confirmed."""
        waiting, self.waiting = self.waiting or [], None
        return waiting

    @property
    def is_unchosen(self) -> bool:
        """Whether the client may have chosen another upstream that accepted its open.

        That is so until a packet shows that it has chosen this one.
        """
        return self.is_confirmed and not self.is_chosen

    @property
    def is_ended(self) -> bool:
        """Whether both ends have closed the flow."""
        return self.client_closed and self.upstream_closed

    def has_new_data(self, packet: FlowPacket) -> bool:
        """Return whether a client packet has data not yet acknowledged upstream."""
        if not packet.data_length or self.upstream_acknowledged is None:
            return packet.data_length > 0
        end = packet.sequence + packet.data_length
        return (
            0
            < (end - self.upstream_acknowledged) % SEQUENCE_MODULUS
            <= SEQUENCE_MODULUS // 2
        )

    def record_acknowledgement(self, acknowledged: int) -> None:
        """Record an acknowledgement by the upstream; an outdated one is ignored."""
        ahead = 0
        if self.upstream_acknowledged is not None:
            ahead = (acknowledged - self.upstream_acknowledged) % SEQUENCE_MODULUS
        if ahead <= SEQUENCE_MODULUS // 2:
            self.upstream_acknowledged = acknowledged

    def acknowledges_acceptance(self, packet: FlowPacket) -> bool:
        """Return whether a client packet acknowledges this upstream's acceptance.

        Sequence numbers wrap around. Those of two upstreams differ at random, so an
        acknowledgement of another upstream's acceptance is unlikely to be in range.
        """
        if self.accepted_sequence is None:
            return False
        ahead = (packet.acknowledged - self.accepted_sequence) % SEQUENCE_MODULUS
        return 0 < ahead <= MAX_ANSWER_BYTES


@define
class HeldFlows:
    """All flows of the upstream, with their load.

    ``busy_count`` counts the flows with a running request, ``sent_count`` those whose
    request was sent to the upstream, and ``live_count`` those that have not ended.
    ``_opened_at_by_key`` holds the flows that were just opened and have sent no data
    yet. ``failure_rate`` covers the requests of all flows. ``count_by_endpoint`` counts
    the flows by the packed address that their clients send to. ``speed`` is measured
    from the requests of all flows. ``find_terms`` returns the terms of a flow's route.
    """

    flow_by_key: dict[bytes, HeldFlow] = Factory(dict)
    failure_rate: FailureRate = Factory(FailureRate)
    speed: UpstreamSpeed = Factory(UpstreamSpeed)
    find_terms: Callable[[bytes], RouteTerms | None] | None = None
    busy_count: int = 0
    sent_count: int = 0
    live_count: int = 0
    count_by_endpoint: Counter[bytes] = Factory(Counter)
    _mean_busy: float = 0.0
    _mean_updated_at: Seconds = float("-inf")
    _sweep_queue: list[bytes] = Factory(list)
    _opened_at_by_key: dict[bytes, Seconds] = Factory(dict)

    def __len__(self) -> int:
        return len(self.flow_by_key)

    def __iter__(self) -> Iterator[tuple[bytes, HeldFlow]]:
        return iter(list(self.flow_by_key.items()))

    def get(self, flow: bytes) -> HeldFlow | None:
        """Return a flow that the upstream holds, or None."""
        return self.flow_by_key.get(flow)

    def add(self, packet: FlowPacket, is_confirmed: bool, now: Seconds) -> HeldFlow:
        """Add a flow, in place of an older one with the same key."""
        held = HeldFlow(now, packet.acknowledged, is_confirmed=is_confirmed)
        held.is_open = not packet.is_syn
        self.remove(packet.flow, now)
        self.flow_by_key[packet.flow] = held
        self.count_by_endpoint[packet.flow[ENDPOINT_LENGTH:]] += 1
        self.live_count += 1
        if packet.is_syn:
            self._opened_at_by_key[packet.flow] = now
        return held

    def remove(self, flow: bytes, now: Seconds) -> HeldFlow | None:
        """Remove a flow; return it, or None if it was not held."""
        held = self.flow_by_key.pop(flow, None)
        self._opened_at_by_key.pop(flow, None)
        if held is not None:
            self._mark_idle(held, now)
            self._mark_not_live(held)
            self._uncount(flow[ENDPOINT_LENGTH:])
        return held

    def record_client_packet(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> None:
        """Update a flow from a client packet; new data starts a request."""
        held.seen_at = now
        if not packet.is_syn:
            held.acknowledged = packet.acknowledged
            held.is_chosen |= held.acknowledges_acceptance(packet)
        if packet.is_fin or packet.is_rst:
            held.client_closed = True
            self._mark_not_live(held)
        if packet.data_length:
            self._opened_at_by_key.pop(packet.flow, None)
        if held.busy_since is None and held.has_new_data(packet):
            self._update_mean(now)
            held.busy_since = now
            self.busy_count += 1
            self._record_sent(held, packet.flow, now)
        if packet.is_rst:
            self._mark_not_sent(held, now)

    def _record_sent(self, held: HeldFlow, flow: bytes, now: Seconds) -> None:
        """Record that the request that just began is sent to the upstream."""
        if held.kind is None:
            terms = None if self.find_terms is None else self.find_terms(flow)
            held.kind = "" if terms is None else terms.kind
        self.mark_sent(held, now)

    def mark_kept(self, held: HeldFlow, now: Seconds) -> None:
        """Record that the request that just began is kept, and not sent yet."""
        held.is_kept = True
        self._mark_not_sent(held, now)

    def mark_sent(self, held: HeldFlow, now: Seconds) -> None:
        """Record that the running request of a flow is sent to the upstream now."""
        held.is_kept = False
        held.sent_at = now
        self.sent_count += 1
        self.speed.record_sent(held.kind or "", now)

    def mark_discarded(self, held: HeldFlow, now: Seconds) -> None:
        """Record that the kept request of a flow is not sent to the upstream."""
        held.is_kept = False
        self._mark_idle(held, now)

    def update_speed(
        self, slots: int, cold_until: Seconds, is_other: bool, now: Seconds
    ) -> None:
        """Adapt the measured speed to a report of the upstream.

        With ``is_other`` the upstream has restarted, or is not the one measured before.
        Requests that are sent before ``cold_until`` are not measured.
        """
        if is_other:
            self.speed.forget(now)
        self.speed.set_slots(slots)
        self.speed.learn_from(cold_until)

    def shift_for_pause(self, pause: Seconds) -> None:
        """Leave a pause of this process out of the times of running requests."""
        self.speed.shift_for_pause(pause)
        for held in self.flow_by_key.values():
            if held.sent_at is not None:
                held.sent_at += pause

    def record_upstream_packet(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> None:
        """Update a flow from an upstream packet; data ends the running request."""
        held.seen_at = now
        held.is_confirmed = True
        if not packet.is_rst:
            held.record_acknowledgement(packet.acknowledged)
        if packet.is_syn_ack:
            held.accepted_sequence = packet.sequence
        else:
            held.is_chosen = True
        if packet.is_syn_ack or packet.data_length:
            held.is_open = True
        is_end = packet.is_fin or packet.is_rst
        if is_end or (packet.data_length and not held.is_kept):
            self._record_outcome(held, packet, now)
            self._mark_idle(held, now)
        if packet.is_fin:
            held.upstream_closed = True
        if packet.is_rst:
            held.client_closed = held.upstream_closed = True
        if held.upstream_closed:
            self._mark_not_live(held)

    def count_awaiting_data(self, now: Seconds) -> int:
        """Return how many flows were just opened and have sent no data yet."""
        for key, opened_at in list(self._opened_at_by_key.items()):
            if now - opened_at <= FIRST_DATA_TIMEOUT:
                break
            del self._opened_at_by_key[key]
        return len(self._opened_at_by_key)

    def compute_mean_busy(self, now: Seconds) -> float:
        """Return the moving average of the number of busy flows."""
        self._update_mean(now)
        return self._mean_busy

    def compute_utilization(self, slots: int, now: Seconds) -> float:
        """Return busy flows over slots, plus the load of recent failures.

        Busy flows are the mean of the current number and its moving average. The
        average alone lags by a second after a start; the current number alone
        fluctuates with each request. Each live flow counts for at least
        ``LOAD_PER_OPEN_FLOW``, as flows just opened have not caused their load yet.
        """
        busy = (self.busy_count + self.compute_mean_busy(now)) / 2
        utilization = max(busy, LOAD_PER_OPEN_FLOW * self.live_count) / max(1, slots)
        return utilization + self.failure_rate.compute_load(now)

    def sweep(self, idle_limit: Seconds, now: Seconds) -> None:
        """Remove ended and idle flows among the next ``SWEEP_COUNT`` flows."""
        if not self._sweep_queue:
            self._sweep_queue = list(self.flow_by_key)
        for _ in range(min(SWEEP_COUNT, len(self._sweep_queue))):
            flow = self._sweep_queue.pop()
            held = self.flow_by_key.get(flow)
            if held is None:
                continue
            self._expire_unanswered(held, now)
            limit = ENDED_FLOW_LINGER if held.is_ended else idle_limit
            if now - held.seen_at > limit:
                self.remove(flow, now)

    def _record_outcome(self, held: HeldFlow, packet: FlowPacket, now: Seconds) -> None:
        """Count a running request as answered, or as failed if its flow was reset."""
        if held.busy_since is None or held.is_kept:
            return
        if packet.data_length and held.sent_at is not None:
            self.speed.record_answered(held.kind or "", held.sent_at, now)
            held.sent_at = None
            self.sent_count -= 1
        if not packet.is_rst:
            self.failure_rate.record_answered(now)
        elif not held.has_failed:
            self.failure_rate.record_failed(now)

    def _expire_unanswered(self, held: HeldFlow, now: Seconds) -> None:
        """Count an unanswered request as failed, and later mark its flow as idle."""
        if held.busy_since is None:
            return
        unanswered_for = now - held.busy_since
        if unanswered_for > UNANSWERED_TIMEOUT and not held.has_failed:
            held.has_failed = True
            self.failure_rate.record_failed(now)
        if unanswered_for > MAX_BUSY_TIME:
            self._mark_idle(held, now)

    def _uncount(self, endpoint: bytes) -> None:
        self.count_by_endpoint[endpoint] -= 1
        if not self.count_by_endpoint[endpoint]:
            del self.count_by_endpoint[endpoint]

    def _mark_not_live(self, held: HeldFlow) -> None:
        if held.is_live:
            held.is_live = False
            self.live_count -= 1

    def _mark_not_sent(self, held: HeldFlow, now: Seconds) -> None:
        """Record that no answer of the upstream is awaited; it is not measured."""
        if held.sent_at is not None:
            self.speed.record_failed(held.kind or "", held.sent_at, now)
            held.sent_at = None
            self.sent_count -= 1

    def _mark_idle(self, held: HeldFlow, now: Seconds) -> None:
        if held.busy_since is None:
            return
        self._mark_not_sent(held, now)
        held.is_kept = False
        self._update_mean(now)
        held.busy_since = None
        held.has_failed = False
        self.busy_count -= 1

    def _update_mean(self, now: Seconds) -> None:
        weight = math.exp(
            -max(0.0, now - self._mean_updated_at) / UTILIZATION_TIME_CONSTANT
        )
        self._mean_busy = self.busy_count + (self._mean_busy - self.busy_count) * weight
        self._mean_updated_at = now
