"""A simulation of the datagram service in virtual time, around the real cores.

Balancers and agents are the product's cores. Clients, upstreams, links and the
fabric are small models that follow the platform's description. The same seed gives
the same run.
"""

import heapq
from collections import Counter
from random import Random

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.platform.packet_codec import FIN, RST, PlatformPacketCodec
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address
from bilberrypath.protocol.flow_packet import pack_endpoint, pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from tests.support.flow_model import (
    ModelClient,
    ModelUpstream,
    ReportFaults,
    write_packet,
)

PEER_PORT = 7600
REPORT_PERIOD = 1.0  # seconds
FLOW_LIFETIME = 60.0  # seconds
LINK_DELAY = 0.0005  # seconds, one way
ADDRESS = ("198.18.0.1", 443)


@define(eq=False)
class FlowWorld:
    """The nodes by host, the pending events, and what the nodes counted and logged.

    ``now`` is the virtual time in seconds. ``loss`` is the probability that a message
    between two nodes is lost. ``table`` is the route table in the store, which no
    balancer can read while ``is_store_unavailable``. ``cut`` holds the (sender,
    receiver) pairs of hosts between which messages and machine probes are lost and
    pulls of routes fail. Hosts in ``powered_off`` do not answer machine probes.
    ``counts`` counts by (event, reason), and ``decisions`` lists (event, flow, fields)
    of logged decisions. ``report_faults`` applies to load reports only.
    """

    seed: int = 1
    loss: float = 0.0
    now: float = 0.0
    report_faults: ReportFaults | None = None
    rng: Random = field(init=False)
    codec: PlatformPacketCodec = Factory(PlatformPacketCodec)
    node_by_host: dict = Factory(dict)
    upstream_by_host: dict = Factory(dict)
    client_by_flow: dict = Factory(dict)
    table: RouteTable = Factory(RouteTable)
    is_store_unavailable: bool = False
    cut: set = Factory(set)
    powered_off: set = Factory(set)
    counts: Counter = Factory(Counter)
    decisions: list = Factory(list)
    _events: list = Factory(list)
    _event_count: int = 0
    _timer_at_by_host: dict = Factory(dict)
    _last_port: int = 40000

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)

    # Set-up

    def add_balancer(self, host, data_centre="a", seeds=()):
        own_member = Member(
            f"{host}:{PEER_PORT}",
            Role.BALANCER,
            data_centre,
            "",
            self._make_incarnation(),
            1,
            Status.SERVING,
        )
        seeds = tuple((seed, PEER_PORT) for seed in seeds)
        rng = Random(self.rng.random())
        node = FlowBalancer(own_member, seeds, self.codec, rng, self.now)
        self._start(host, node)
        return node

    def add_agent(
        self,
        host,
        service="board",
        data_centre="a",
        seeds=(),
        tracks_all_flows=True,
        spillover=False,
    ):
        own_member = Member(
            f"{host}:{PEER_PORT}",
            Role.AGENT,
            data_centre,
            service,
            self._make_incarnation(),
            1,
            Status.DRAINING,
        )
        setup = FlowAgentSetup(
            own_member,
            tuple((seed, PEER_PORT) for seed in seeds),
            (host, 8080),
            REPORT_PERIOD,
            FLOW_LIFETIME,
            own_member.incarnation,
            tracks_all_flows,
            spillover,
        )
        node = FlowAgent(setup, self.codec, Random(self.rng.random()), self.now)
        self._start(host, node)
        if host not in self.upstream_by_host:
            upstream = ModelUpstream(self, f"u-{host}", host, service, data_centre)
            self.upstream_by_host[host] = upstream
            self._report_forever(upstream)
        return node

    def kill(self, host):
        """Stop a process while its machine keeps running."""
        self.node_by_host.pop(host, None)

    def power_off(self, host):
        """Stop a process together with its machine and the upstream on it."""
        self.kill(host)
        self.powered_off.add(host)
        if host in self.upstream_by_host:
            self.upstream_by_host[host].is_up = False

    def set_routes(self, table):
        """Replace the route table in the store, as the operator does."""
        self.table = table

    def make_client(self, address=ADDRESS, balancer=None, host="100.64.0.1"):
        """Return a client whose packets pass through ``balancer``, if that is given."""
        self._last_port += 1
        flow = pack_flow_key((host, self._last_port), address)
        client = ModelClient(self, flow, address, balancer, host)
        self.client_by_flow[flow] = client
        return client

    # Virtual time

    def after(self, delay, action):
        """Call ``action`` after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay, self._event_count, action))

    def run(self, seconds):
        """Advance the time and run the events that fall due."""
        end_at = self.now + seconds
        while self._events and self._events[0][0] <= end_at:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end_at

    # Events and effects

    def feed(self, host, event):
        """Have the node of a host, if it runs, handle an event."""
        node = self.node_by_host.get(host)
        if node is not None:
            self.perform(host, node.handle(event, self.now))

    def send_packet(self, datagram, through=None):
        """Deliver a client's packet to a random balancer, or to ``through``."""
        hosts = sorted(
            host
            for host, node in self.node_by_host.items()
            if isinstance(node, FlowBalancer)
        )
        host = through or self.rng.choice(hosts)

        def arrive():
            node = self.node_by_host.get(host)
            if node is not None:
                self.perform(host, node.handle_client_packet(datagram, self.now))

        self.after(LINK_DELAY, arrive)

    def perform(self, host, effects):
        """Perform the effects of a node and schedule its next timer."""
        for effect in effects:
            self._perform(host, effect)
        self._schedule_next_timer(host)

    def _perform(self, host, effect):
        if isinstance(effect, fx.SendControl):
            self._send(host, effect)
        elif isinstance(effect, ffx.SendToUpstream):
            self.after(0, lambda: self.upstream_by_host[host].receive(effect.datagram))
        elif isinstance(effect, ffx.SendToClient):
            client = self.client_by_flow.get(effect.flow)
            if client is not None:
                self.after(LINK_DELAY, lambda: client.handle_packet(effect.datagram))
        elif isinstance(effect, ffx.PullRoutes):
            self._pull_routes(host, effect.peer)
        elif isinstance(effect, fx.PullTable):
            self._pull_table(host, effect)
        elif isinstance(effect, ffx.ProbeMachine):
            self._probe_machine(host, effect.node_id)
        elif isinstance(effect, ffx.ProbeUpstream):
            self._probe_upstream(host)
        elif isinstance(effect, fx.Count):
            self.counts[effect.event, effect.reason] += 1
        elif isinstance(effect, ffx.LogDecision):
            self.decisions.append((effect.event, effect.flow, effect.fields))

    def _send(self, host, effect):
        to = effect.to[0]
        if (host, to) in self.cut or self.rng.random() < self.loss:
            return
        body = msg.encode_flow_message(effect.message)

        def arrive():
            node = self.node_by_host.get(to)
            if node is None:
                return
            message = msg.decode_flow_message(body)
            sender = (host, PEER_PORT)
            if isinstance(message, msg.ForwardedPacket):
                effects = node.handle_forwarded_packet(message, sender, self.now)
            else:
                effects = node.handle(ev.ControlReceived(sender, message), self.now)
            self.perform(to, effects)

        for delay in self._list_delays(effect.message):
            self.after(delay, arrive)

    def _list_delays(self, message):
        """Return the delay of each copy of a message that arrives."""
        faults = self.report_faults
        if faults is None or not isinstance(message, msg.LoadReport):
            return [LINK_DELAY]
        copies = (self.rng.random() >= faults.loss) + (
            self.rng.random() < faults.duplication
        )
        return [LINK_DELAY + faults.delay * self.rng.uniform(0.8, 1.2)] * copies

    def _pull_routes(self, host, peer):
        def complete():
            node = self.node_by_host.get(parse_address(peer)[0])
            if host not in self.node_by_host:
                return
            if node is None or (host, parse_address(peer)[0]) in self.cut:
                self.feed(host, fev.RoutesPullFailed(peer))
            else:
                since = self.node_by_host[host].routes.base_digest
                reply = node.routes.make_reply(since)
                self.feed(host, fev.RoutesPulled(peer, reply))

        self.after(4 * LINK_DELAY, complete)

    def _pull_table(self, host, effect):
        def complete():
            node = self.node_by_host.get(effect.peer[0])
            if not isinstance(node, FlowBalancer):
                self.feed(host, ev.PullFailed(effect.peer))
                return
            members = node.members.table.list_differing_members(effect.digests)
            self.feed(host, ev.TablePulled(effect.peer, tuple(members)))

        self.after(4 * LINK_DELAY, complete)

    def _probe_machine(self, host, node_id):
        to = parse_address(node_id)[0]
        if to in self.powered_off or (host, to) in self.cut:
            return
        self.after(
            2 * LINK_DELAY, lambda: self.feed(host, fev.MachineAnswered(node_id))
        )

    def _probe_upstream(self, host):
        """Probe an upstream; one that is silent accepts, one that ended refuses."""
        if not self.upstream_by_host[host].is_up:
            self.after(LINK_DELAY, lambda: self.feed(host, fev.UpstreamUnreachable()))

    def _start(self, host, node):
        self.node_by_host[host] = node

        def tick():
            if self.node_by_host.get(host) is not node:
                return
            self.feed(host, ev.Tick())
            if isinstance(node, FlowBalancer):
                self._read_store(host, node)
            self.after(ev.TICK_PERIOD, tick)

        self.after(self.rng.uniform(0, ev.TICK_PERIOD), tick)

    def _read_store(self, host, node):
        is_newer = self.table.revision > node.routes.revision
        if is_newer and node.should_read_store and not self.is_store_unavailable:
            self.feed(host, fev.RoutesRead(self.table))

    def _report_forever(self, upstream):
        upstream.report()
        self.after(REPORT_PERIOD, lambda: self._report_forever(upstream))

    def _schedule_next_timer(self, host):
        node = self.node_by_host.get(host)
        due_at = None if node is None else node.next_timer_at()
        if due_at is None or self._timer_at_by_host.get(host) == due_at:
            return
        self._timer_at_by_host[host] = due_at

        def run_timers():
            self._timer_at_by_host.pop(host, None)
            if self.node_by_host.get(host) is node:
                self.perform(host, node.run_due_timers(self.now))

        self.after(max(0.0, due_at - self.now), run_timers)

    def _make_incarnation(self):
        return 1000 + round(self.now * 1000)


def make_table(revision=1, service="board", out=(), routes=None, cold_opens_per_s=0.0):
    """Return a route table with one route, or with those given."""
    if routes is None:
        routes = (FlowRoute(ADDRESS, (Target(service, 1),)),)
    limits = tuple(
        UpstreamLimits(name, 2000, cold_opens_per_s) for name in (service, "photo")
    )
    return RouteTable(revision, revision, routes, limits, out)


def make_world(agents=4, balancers=2, seed=1, loss=0.0):
    """Return a running world with one service in up to three data centres."""
    world = FlowWorld(seed, loss)
    world.set_routes(make_table())
    hosts = [f"10.1.0.{index + 1}" for index in range(balancers)]
    for index, host in enumerate(hosts):
        world.add_balancer(host, "abc"[index % 3], hosts)
    for index in range(agents):
        world.add_agent(
            f"10.2.0.{index + 1}", data_centre="abc"[index % 3], seeds=hosts
        )
    world.run(4.0)
    return world


def find_holder(world, flow):
    """Return the host whose upstream holds a flow, or None."""
    for host, upstream in world.upstream_by_host.items():
        if upstream.is_up and flow in upstream.flows:
            return host
    return None


def open_flows(world, count):
    """Open flows 20 ms apart and return their clients."""
    clients = [world.make_client() for _ in range(count)]
    for client in clients:
        client.open()
        world.run(0.02)
    return clients


def send_requests(world, count, seconds):
    """Send requests evenly over some seconds; return (time sent, client) of each."""
    sent = []
    for _ in range(count):
        client = world.make_client()
        client.request()
        sent.append((world.now, client))
        world.run(seconds / count)
    return sent


def count_foreign(world):
    """Return how many packets reached an upstream that did not hold their flow."""
    return sum(
        sum(upstream.foreign.values()) for upstream in world.upstream_by_host.values()
    )


__all__ = [
    "ADDRESS",
    "REPORT_PERIOD",
    "FIN",
    "RST",
    "FlowWorld",
    "count_foreign",
    "find_holder",
    "make_table",
    "make_world",
    "open_flows",
    "send_requests",
    "pack_endpoint",
    "write_packet",
]
