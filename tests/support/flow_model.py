"""The two ends of a flow as small models: upstreams and clients.

They do what the platform's pages say of them, in the time of a ``FlowWorld``.
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

HEAD = struct.Struct("!H6s6sIIB3sII")
SHED = b"shed"
ATTEMPT_TIME = 1.4  # seconds after which a client gives an open up


def write_packet(flow, flags, sequence=0, acknowledged=0, data=b"", back=False):
    """Return a datagram of a flow, from its client or back to it."""
    client, address = flow[:ENDPOINT_LENGTH], flow[ENDPOINT_LENGTH:]
    ends = (address, client) if back else (client, address)
    head = HEAD.pack(len(data), *ends, 0, 7, flags, b"\0\0\0", sequence, acknowledged)
    return head + data


@frozen
class Arrival:
    """A packet that came to an upstream; ``held`` if the upstream had its flow."""

    at: float
    flow: bytes
    opens: bool
    held: bool


@define(eq=False)
class ModelUpstream:
    """A server: it holds flows, answers data, and hands back what is not its own.

    It runs all requests at once; with ``room``, ``slots`` of them, while so many
    more wait and the others are shed.
    """

    world: FlowWorld
    name: str
    host: str
    service: str
    data_centre: str
    started_at: int = -5000
    sequence: int = 0
    slots: int = 3
    work: float = 0.03
    room: int | None = None
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
        """The first number of its side of a flow, its own for each upstream."""
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
            bounced = bytearray(datagram)
            bounced[22] |= BOUNCED
            self._send(bytes(bounced))
        elif packet.data_length:
            self._take_request(packet)

    def _has_opened(self, packet):
        """Whether a flow is open here; its client chose whose answer it took."""
        if packet.flow in self.flows and packet.flow not in self.opened:
            if packet.acknowledged == self.first_sequence + 1:
                self.opened.add(packet.flow)
            else:
                del self.flows[packet.flow]
        return packet.flow in self.flows

    def _take_request(self, packet):
        if self.resets_requests:
            del self.flows[packet.flow]
            self._send(write_packet(packet.flow, RST, 101, 2, back=True))
        elif self.room is None or self.running < self.slots:
            self._run(packet)
        elif len(self.queue) < self.room:
            self.queue.append(packet)
        else:
            self._send(write_packet(packet.flow, ACK, 101, 2, SHED, back=True))

    def _run(self, packet):
        self.running += 1

        def end():
            self.running -= 1
            self._answer(packet)
            if self.queue:
                self._run(self.queue.popleft())

        self.world.after(self.work, end)

    def restart(self):
        """Begin anew, with nothing of before."""
        self.flows.clear()
        self.opened.clear()
        self.queue.clear()
        self.started_at = 1000 + round(self.world.now * 1000)
        self.sequence = 0
        self.is_up = True
        self.is_silent = False
        self.draining = False

    def report(self):
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
        answer = write_packet(packet.flow, SYN | ACK, self.first_sequence, 1, back=True)
        self._send(answer)

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
    """One flow of a client, and what came back on it."""

    world: FlowWorld
    flow: bytes
    opened: bool = False
    asks_when_open: bool = False
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
        """Open with the copies that the platform's clients send, then ask.

        A request that was shed or refused is tried again on a new flow.
        """
        self.asks_when_open = True
        self.tries_left = tries_left
        for copies, delay in enumerate((0.0, 0.2, 0.6)):
            self.world.after(delay, lambda n=copies: self._copy(n))
        self.world.after(ATTEMPT_TIME, self._end_attempt)

    def _end_attempt(self):
        if not self.opened:
            self._try_again()

    @property
    def last_try(self):
        """The flow that the request was tried on last."""
        return self if self.next_try is None else self.next_try.last_try

    def _try_again(self):
        if self.tries_left and self.next_try is None:
            self.next_try = self.world.make_client()
            self.next_try.request(self.tries_left - 1)

    def _copy(self, copies):
        if not self.opened and not self.resets:
            self._send(write_packet(self.flow, SYN, 1, copies), None)

    def ask(self, through=None):
        packet = write_packet(self.flow, ACK, 2, self.acknowledged, b"request")
        self._send(packet, through)

    def close(self, through=None):
        packet = write_packet(self.flow, ACK | FIN, 3, self.acknowledged)
        self._send(packet, through)

    def take(self, datagram):
        packet = self.world.codec.parse_upstream_packet(datagram)
        if packet.is_syn_ack and not self.opened:
            self.opened = True
            self.acknowledged = packet.sequence + 1
            self._send(write_packet(self.flow, ACK, 2, self.acknowledged), None)
            if self.asks_when_open:
                self.ask()
        self.resets += packet.is_rst
        if packet.data_length and datagram.endswith(SHED):
            self.is_shed = True
        elif packet.data_length:
            self.answers += 1
            self.answered_at = self.world.now
        if packet.is_rst or self.is_shed:
            self._try_again()

    def _send(self, datagram, through):
        self.world.send_packet(datagram, through)
