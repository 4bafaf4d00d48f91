"""Models of the two endpoints of a flow: upstreams and clients.

They follow the platform's description of the protocol, on the virtual clock of a
:class:`~tests.support.flow_world.FlowWorld`.
"""

from __future__ import annotations

import struct
from collections import Counter, deque
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from bilberrypath.coordination import flow_events as fev
from bilberrypath.platform.packet_codec import ACK, BOUNCED, FIN, RST, SYN
from bilberrypath.protocol.flow_packet import ENDPOINT_LENGTH

if TYPE_CHECKING:
    from tests.support.flow_world import FlowWorld

HEADER = struct.Struct("!H6s6sIIB3sII")
SHED_BODY = b"shed"
OPEN_TIMEOUT = 1.4  # seconds without a SYN-ACK after which a client abandons an open


def write_packet(flow, flags, sequence=0, acknowledged=0, data=b"", back=False):
    """Return a datagram of a flow, sent by its client or, with ``back``, to it."""
    client, address = flow[:ENDPOINT_LENGTH], flow[ENDPOINT_LENGTH:]
    endpoints = (address, client) if back else (client, address)
    header = HEADER.pack(
        len(data), *endpoints, 0, 7, flags, b"\0\0\0", sequence, acknowledged
    )
    return header + data


@frozen
class ReportFaults:
    """What happens to load reports: a delay in seconds, and shares lost and doubled."""

    delay: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0


@frozen
class Arrival:
    """A packet that an upstream received.

    ``opens`` states whether it was an open, and ``held`` whether the upstream
    already had its flow.
    """

    at: float
    flow: bytes
    opens: bool
    held: bool


@define(eq=False)
class ModelUpstream:
    """A server that accepts flows, answers requests and returns foreign packets.

    Without ``queue_capacity`` it runs all requests concurrently. With it, it runs
    ``slots`` of them, queues up to ``queue_capacity`` more and sheds the others.

    ``service_time`` is the time of a request, which ``tail_share`` of the requests
    exceed by ``tail_factor``, and ``cold_for`` the cold start that it
    reports, both in seconds. ``started_at`` is in milliseconds and ``sequence``
    counts its reports. ``is_silent`` stops it from receiving and reporting, and
    ``resets_requests`` has it reset each flow that sends a request. ``flows`` maps
    each flow to the time of its open, and ``opened`` holds the flows whose client
    confirmed that it accepted this upstream's SYN-ACK. ``opens`` lists (time, flow) of
    accepted opens, ``arrivals`` all received packets, and ``foreign`` counts by flow
    the packets of flows that it does not hold.
    """

    world: FlowWorld
    name: str
    host: str
    service: str
    data_centre: str
    started_at: int = -5000
    sequence: int = 0
    slots: int = 3
    service_time: float = 0.03
    tail_share: float = 0.0
    tail_factor: float = 1.0
    queue_capacity: int | None = None
    running: int = 0
    queue: deque = Factory(deque)
    cold_for: float = 0.0
    draining: bool = False
    is_up: bool = True
    is_silent: bool = False
    resets_requests: bool = False
    flows: dict = Factory(dict)
    opens: list = Factory(list)
    opened: set = Factory(set)
    arrivals: list = Factory(list)
    foreign: Counter = Factory(Counter)

    @property
    def first_sequence(self):
        """Return the initial sequence number of its SYN-ACKs.

        It differs between upstreams, so that the acknowledgement of a client shows
        whose SYN-ACK it accepted.
        """
        return 100 + int(self.host.rpartition(".")[2])

    def receive(self, datagram):
        if not self.is_up or self.is_silent:
            return
        packet = self.world.codec.parse_client_packet(datagram)
        arrival = Arrival(
            self.world.now, packet.flow, packet.is_syn, packet.flow in self.flows
        )
        self.arrivals.append(arrival)
        if packet.is_syn:
            self._accept(packet)
        elif not self._has_opened(packet):
            self.foreign[packet.flow] += 1
            returned = bytearray(datagram)
            returned[22] |= BOUNCED  # the flags
            self._send(bytes(returned))
        elif packet.data_length:
            self._handle_request(packet)

    def _has_opened(self, packet):
        """Return whether the flow of a packet that is no open is open here.

        Several upstreams may have accepted copies of one open. The client's first
        acknowledgement names the SYN-ACK that it accepted; the others drop the flow.
        """
        if packet.flow in self.flows and packet.flow not in self.opened:
            if packet.acknowledged == self.first_sequence + 1:
                self.opened.add(packet.flow)
            else:
                del self.flows[packet.flow]
        return packet.flow in self.flows

    def _handle_request(self, packet):
        if self.resets_requests:
            del self.flows[packet.flow]
            self._send(write_packet(packet.flow, RST, 101, 2, back=True))
        elif self.queue_capacity is None or self.running < self.slots:
            self._run(packet)
        elif len(self.queue) < self.queue_capacity:
            self.queue.append(packet)
        else:
            self._send(write_packet(packet.flow, ACK, 101, 2, SHED_BODY, back=True))

    def _run(self, packet):
        self.running += 1

        def finish():
            self.running -= 1
            self._answer(packet)
            if self.queue:
                self._run(self.queue.popleft())

        time = self.service_time
        if self.tail_share and self.world.rng.random() < self.tail_share:
            time *= self.tail_factor
        self.world.after(time, finish)

    def restart(self):
        """Restart with a new start time and no flows or queued requests."""
        self.flows.clear()
        self.opened.clear()
        self.queue.clear()
        self.started_at = 1000 + round(self.world.now * 1000)
        self.sequence = 0
        self.is_up = True
        self.is_silent = False
        self.draining = False

    def report(self):
        """Send an upstream report to the agent on the same host."""
        if not self.is_up or self.is_silent:
            return
        self.sequence += 1
        event = fev.UpstreamReport(
            self.name,
            self.started_at,
            self.sequence,
            self.service,
            (self.host, 8080),
            self.data_centre,
            self.slots,
            self.draining,
            self.cold_for,
        )
        self.world.feed(self.host, event)

    def _accept(self, packet):
        if packet.flow not in self.flows:
            self.flows[packet.flow] = self.world.now
            self.opens.append((self.world.now, packet.flow))
        syn_ack = write_packet(
            packet.flow, SYN | ACK, self.first_sequence, 1, back=True
        )
        self._send(syn_ack)

    def _answer(self, packet):
        if self.is_up and packet.flow in self.flows:
            self._send(write_packet(packet.flow, ACK, 101, 2, b"answer", back=True))

    def _send(self, datagram):
        node = self.world.node_by_host.get(self.host)
        if node is not None:
            now = self.world.now
            effects = node.handle_upstream_packet(datagram, now)
            self.world.perform(self.host, effects)


@define(eq=False)
class ModelClient:
    """One flow of a client, and counts of what it received.

    ``balancer`` is the host that its packets pass through, None for a random one.
    ``acknowledged`` is the sequence number that the client expects next.
    ``answered_at`` is the time of the last answer. A request that is retried has
    its next attempt, on another flow, in ``next_try``. A client that
    ``closes_when_answered`` uses each flow for one request.
    """

    world: FlowWorld
    flow: bytes
    address: tuple
    balancer: str | None = None
    host: str = "100.64.0.1"
    opened: bool = False
    requests_when_open: bool = False
    closes_when_answered: bool = False
    acknowledged: int = 0
    answers: int = 0
    answered_at: float = 0.0
    is_shed: bool = False
    resets: int = 0
    tries_left: int = 0
    next_try: ModelClient | None = None

    def open(self, through=None):
        self._send(write_packet(self.flow, SYN, 1), through)

    def request(self, tries_left=2):
        """Open the flow, and send a request as soon as it is open.

        Like the platform's clients, it sends copies of the open after 0.2 s and
        0.6 s. A request that was shed or reset, or whose open timed out, is retried
        on a new flow up to ``tries_left`` times.
        """
        self.requests_when_open = True
        self.tries_left = tries_left
        for number, delay in enumerate((0.0, 0.2, 0.6)):
            self.world.after(delay, lambda n=number: self._send_open_copy(n))
        self.world.after(OPEN_TIMEOUT, self._end_attempt)

    def _end_attempt(self):
        if not self.opened:
            self._retry()

    @property
    def last_try(self):
        """Return the client of the last attempt of the request."""
        return self if self.next_try is None else self.next_try.last_try

    def _retry(self):
        if self.tries_left and self.next_try is None:
            self.next_try = self.world.make_client(
                self.address, self.balancer, self.host
            )
            self.next_try.closes_when_answered = self.closes_when_answered
            self.next_try.request(self.tries_left - 1)

    def _send_open_copy(self, number):
        if not self.opened and not self.resets:
            self._send(write_packet(self.flow, SYN, 1, number), None)

    def send_request(self, through=None):
        packet = write_packet(self.flow, ACK, 2, self.acknowledged, b"request")
        self._send(packet, through)

    def close(self, through=None):
        packet = write_packet(self.flow, ACK | FIN, 3, self.acknowledged)
        self._send(packet, through)

    def handle_packet(self, datagram):
        packet = self.world.codec.parse_upstream_packet(datagram)
        if packet.is_syn_ack and not self.opened:
            self.opened = True
            self.acknowledged = packet.sequence + 1
            self._send(write_packet(self.flow, ACK, 2, self.acknowledged), None)
            if self.requests_when_open:
                self.send_request()
        self.resets += packet.is_rst
        if packet.data_length and datagram.endswith(SHED_BODY):
            self.is_shed = True
        elif packet.data_length:
            self.answers += 1
            self.answered_at = self.world.now
            if self.closes_when_answered:
                self.close()
        if packet.is_rst or self.is_shed:
            self._retry()

    def _send(self, datagram, through):
        self.world.send_packet(datagram, through or self.balancer)
