"""An agent's core whose service has routes of several priorities, without a network.

The time is passed by hand, and what the agent sends to its upstream is recorded.
"""

from collections import Counter
from random import Random

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
from bilberrypath.platform.packet_codec import ACK, BOUNCED, SYN, PlatformPacketCodec
from bilberrypath.protocol.flow_messages import ForwardedPacket
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.route_delta import RouteTableReply
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from tests.support.flow_model import write_packet

URGENT_ADDRESS = ("198.18.0.1", 443)
NORMAL_ADDRESS = ("198.18.0.2", 443)
UPLOAD_ADDRESS = ("198.18.0.3", 443)
PLAIN_ADDRESS = ("198.18.0.4", 443)  # its route states no terms
TERMS_BY_ADDRESS = {
    URGENT_ADDRESS: RouteTerms(1, 0.4, 1.6, "non_idempotent"),
    NORMAL_ADDRESS: RouteTerms(2, 0.4, 1.6, "idempotent"),
    UPLOAD_ADDRESS: RouteTerms(2, 0.9, 2.0, "upload"),
    PLAIN_ADDRESS: None,
}
SENDER = ("10.1.0.1", 7600)
UPSTREAM = ("10.2.0.1", 8080)
FIRST_SEQUENCE = 100  # of the upstream's acceptances


def make_routes(terms_by_address=TERMS_BY_ADDRESS, revision=1):
    """Return a table with a route of service "board" for each address."""
    routes = tuple(
        FlowRoute(address, (Target("board", 1),), terms)
        for address, terms in terms_by_address.items()
    )
    limits = tuple(UpstreamLimits(name, 2000, 0.0) for name in ("board", "photo"))
    return RouteTable(revision, revision, routes, limits)


@define(eq=False)
class GatedAgent:
    """The agent; ``sent`` lists the datagrams that its upstream was sent.

    ``counts`` counts by (event, reason), and ``next_sequence`` is that of the next new
    data by flow.
    """

    slots: int = 1
    now: float = 10.0
    agent: FlowAgent = field(init=False)
    sent: list = Factory(list)
    counts: Counter = Factory(Counter)
    next_sequence: dict = Factory(dict)
    report_sequence: int = 0
    started_at: int = 5000
    _last_port: int = 40000

    def __attrs_post_init__(self):
        member = Member(
            "10.2.0.1:7600", Role.AGENT, "a", "board", 1000, 1, Status.DRAINING
        )
        setup = FlowAgentSetup(member, (SENDER,), UPSTREAM, 1.0, 60.0, 5000, True)
        self.agent = FlowAgent(setup, PlatformPacketCodec(), Random(1), self.now)
        self.set_routes(make_routes())
        self.report()

    @property
    def gate(self):
        return self.agent.request_scheduler.gate

    def set_routes(self, table):
        reply = RouteTableReply(snapshot=table)
        self.handle(fev.RoutesPulled("10.1.0.1:7600", reply))

    def report(self, service="board"):
        """Report of the upstream."""
        self.report_sequence += 1
        self.handle(
            fev.UpstreamReport(
                "u1",
                self.started_at,
                self.report_sequence,
                service,
                UPSTREAM,
                "a",
                self.slots,
                False,
                0.0,
            )
        )

    def restart_upstream(self):
        self.started_at += 10_000
        self.report_sequence = 0
        self.report()

    def handle(self, event):
        return self._record(self.agent.handle(event, self.now))

    def wait(self, seconds):
        """Advance the time, with the timers and ticks that are due meanwhile."""
        end_at = self.now + seconds
        tick_at = self.now + ev.TICK_PERIOD
        while True:
            timer_at = self.agent.next_timer_at()
            due_at = tick_at if timer_at is None else min(tick_at, timer_at)
            if due_at > end_at:
                break
            self.now = max(self.now, due_at)
            if due_at == tick_at:
                self.handle(ev.Tick())
                tick_at = self.now + ev.TICK_PERIOD
            else:
                self._record(self.agent.run_due_timers(self.now))
        self.now = end_at

    def pause(self, seconds):
        """Advance the time without running anything, then run the due timers."""
        self.now += seconds
        return self._record(self.agent.run_due_timers(self.now))

    def open_flow(self, address=NORMAL_ADDRESS):
        """Return a new flow that the upstream has accepted."""
        self._last_port += 1
        flow = pack_flow_key(("100.64.0.1", self._last_port), address)
        self.next_sequence[flow] = 2
        self.receive(write_packet(flow, SYN, 1))
        self.answer(flow, SYN | ACK, b"", FIRST_SEQUENCE)
        self.receive(write_packet(flow, ACK, 2, FIRST_SEQUENCE + 1))
        return flow

    def request(self, flow, data=b"request", flags=ACK):
        """Send new data of a client; return what was sent to the upstream for it."""
        sequence = self.next_sequence[flow]
        self.next_sequence[flow] = sequence + len(data)
        return self.send(flow, flags, sequence, data)

    def send(self, flow, flags, sequence, data=b""):
        """Send a packet of a client; return what was sent to the upstream for it."""
        packet = write_packet(flow, flags, sequence, FIRST_SEQUENCE + 1, data)
        return self.receive(packet)

    def fill(self, count=2, address=URGENT_ADDRESS):
        """Have requests running; two are the limit of an upstream with one slot."""
        flows = [self.open_flow(address) for _ in range(count)]
        for flow in flows:
            assert self.request(flow, b"fill")
        return flows

    def receive(self, datagram):
        """Receive a client's packet from a balancer."""
        forwarded = ForwardedPacket(
            self.agent.routes.revision,
            "board",
            "10.1.0.1:7600",
            False,
            "",
            (),
            0,
            True,
            datagram,
        )
        effects = self.agent.handle_forwarded_packet(forwarded, SENDER, self.now)
        return self._record(effects)

    def answer(self, flow, flags=ACK, data=b"answer", sequence=FIRST_SEQUENCE + 1):
        """Receive a packet of the upstream that acknowledges all data of the client."""
        acknowledged = self.next_sequence[flow]
        packet = write_packet(flow, flags, sequence, acknowledged, data, back=True)
        return self._record(self.agent.handle_upstream_packet(packet, self.now))

    def return_packet(self, flow):
        """Receive a packet of a client that the upstream did not accept."""
        packet = bytearray(write_packet(flow, ACK, 2, FIRST_SEQUENCE + 1, b"returned"))
        packet[22] |= BOUNCED
        effects = self.agent.handle_upstream_packet(bytes(packet), self.now)
        return self._record(effects)

    def _record(self, effects):
        sent = []
        for effect in effects:
            if isinstance(effect, ffx.SendToUpstream):
                sent.append(effect.datagram)
            elif isinstance(effect, fx.Count):
                self.counts[effect.event, effect.reason] += 1
        self.sent += sent
        return sent
