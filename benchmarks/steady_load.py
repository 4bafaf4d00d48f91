"""A steady load on upstreams of several speeds, in the model of the datagram service.

Some requests arrive at random times (a Poisson process), each on a flow of its own. The
others are sent on a fixed number of long flows, each of which sends one at random times
and is replaced by a new one after a number of requests.
"""

from attrs import Factory, define

from bilberrypath.load.upstream_speed import SpeedEstimate, UpstreamSpeed
from tests.support.flow_model import ModelClient
from tests.support.flow_world import make_world

WARM_UP = 20.0  # seconds that are not measured; half of the long flows end in it
FLOW_PERIOD = 2.0  # mean seconds between two requests of a long flow
IS_ORACLE = False  # whether agents are told the true speeds
IS_CENTRAL = False  # whether opens go where they are served first, by the true state
IS_BY_LATENCY = False  # whether agents compare mean latencies instead of loads
LATENCY_SHARE = 0.1  # of the newest latency in the mean


@define
class Traffic:
    """The clients of a run, and the results so far.

    ``sent_count`` counts the requests sent within the measured time, and ``waits`` are
    the times until their answers.
    """

    world: object
    load: object
    measured_from: float
    measured_until: float
    sent_count: int = 0
    waits: list = Factory(list)

    def make_client(self):
        """Return a new client whose answers are recorded here."""
        plain = self.world.make_client()
        client = TrafficClient(self.world, plain.flow, plain.address, traffic=self)
        self.world.client_by_flow[plain.flow] = client
        return client

    def send_short(self):
        """Send a request on a flow of its own."""
        client = self.make_client()
        client.sent_at = self._count_sent()
        client.request()

    def start_long(self):
        """Open a long flow with its first request."""
        client = self.make_client()
        length = self.world.rng.expovariate(1 / self.load.flow_length)
        client.requests_left = 1 + round(length)
        client.sent_at = self._count_sent()
        client.request()

    def record_answer(self, client):
        """Record the answer to the request of a client; plan its next one."""
        latency = self.world.now - client.sent_at
        if self._is_measured(client.sent_at):
            self.waits.append(latency)
        if not client.requests_left:
            client.end()
            return
        client.requests_left -= 1
        is_last = not client.requests_left
        if is_last:
            client.end()
        gap = max(0.0, self.world.rng.expovariate(1 / FLOW_PERIOD) - latency)
        self.world.after(gap, self.start_long if is_last else client.send_next)

    def _count_sent(self):
        self.sent_count += self._is_measured(self.world.now)
        return self.world.now

    def _is_measured(self, time):
        return self.measured_from <= time < self.measured_until


@define(eq=False)
class TrafficClient(ModelClient):
    """A client that reports its answers.

    ``sent_at`` is when its request was sent. ``requests_left`` is the number of
    requests that a long flow still sends, 0 for a short one.
    """

    traffic: Traffic = None
    sent_at: float = 0.0
    requests_left: int = 0

    def send_next(self):
        """Send the next request of a long flow."""
        self.sent_at = self.traffic._count_sent()
        self.tries_left = 2
        self.send_request()

    def handle_packet(self, datagram):
        before = self.answers
        super().handle_packet(datagram)
        if self.answers > before:
            self.traffic.record_answer(self)

    def end(self):
        """Close the flow, and forget it a moment later."""
        self.close()
        self.world.after(0.5, lambda: self.world.client_by_flow.pop(self.flow, None))

    def _retry(self):
        if self.next_try is not None:
            return
        self.end()
        if self.tries_left:
            self.next_try = self.traffic.make_client()
            self.next_try.sent_at = self.sent_at
            self.next_try.requests_left = self.requests_left
            self.next_try.request(self.tries_left - 1)
        elif self.requests_left:
            self.world.after(FLOW_PERIOD, self.traffic.start_long)


@define
class KnownSpeed(UpstreamSpeed):
    """A speed that is known from the start."""

    upstream: object = None

    def estimate(self, now):
        return SpeedEstimate(self.upstream.service_time, 1.0, 0.0, 1.0, None)


@define
class MeanLatency(UpstreamSpeed):
    """The mean latency of an upstream in place of its service time."""

    mean: float = 0.0

    def record_answered(self, kind, sent_at, now):
        latency = now - sent_at
        self.mean += ((latency - self.mean) * LATENCY_SHARE) if self.mean else latency

    def estimate(self, now):
        return SpeedEstimate(self.mean, 1.0 if self.mean else 0.0, 0.0, 1.0, None)


def compute_load_by_latency(utilization, slots, relative_time):
    """Return the load of an upstream whose relative time is that of its latency."""
    return relative_time


def compute_relative_latency(latency, confidence, reference):
    """Return a latency relative to the median one."""
    return latency / reference if latency > 0 and reference > 0 else 1.0


@define
class CentralTarget:
    """A choice of the upstream that serves an open first, by the true state."""

    agent: object
    world: object

    def choose_better(self, forwarded, flow, sender, now):
        if forwarded.hops:
            return None
        best = min(self.world.upstream_by_host.values(), key=self._compute_wait)
        return None if best.host == self._own_host else f"{best.host}:7600"

    def choose_any(self, forwarded, flow, now):
        return None

    @property
    def _own_host(self):
        return self.agent.node_id.partition(":")[0]

    def _compute_wait(self, upstream):
        node = self.world.node_by_host[upstream.host]
        opens = node.flows.count_awaiting_data(self.world.now)
        busy = node.flows.busy_count + opens + 1
        wait = max(busy, upstream.slots) / upstream.slots * upstream.service_time
        return wait, upstream.host != self._own_host


def prepare_upstreams(world, load):
    """Give the upstreams their speeds and queues, and agents the policy's view."""
    hosts = sorted(world.upstream_by_host, key=lambda host: int(host.split(".")[3]))
    for number, host in enumerate(hosts):
        upstream, node = world.upstream_by_host[host], world.node_by_host[host]
        upstream.restart()
        upstream.slots, upstream.queue_capacity = load.slots, load.room
        upstream.service_time = load.work / load.speeds[number % len(load.speeds)]
        upstream.tail_share, upstream.tail_factor = load.tail_share, load.tail_factor
        if IS_ORACLE:
            node.flows.speed = KnownSpeed(upstream=upstream)
        if IS_BY_LATENCY:
            node.flows.speed = MeanLatency()
        if IS_CENTRAL:
            node.open_handler.target = CentralTarget(node, world)
        upstream.report()


def run_steady_load(load, seed):
    """Simulate a steady load; return requests sent, waits, and opens by upstream."""
    world = make_world(load.agents, load.balancers, seed, load.loss)
    prepare_upstreams(world, load)
    speeds = [load.speeds[n % len(load.speeds)] for n in range(load.agents)]
    mean_work = load.work * (1 + load.tail_share * (load.tail_factor - 1))
    rate = load.offered * load.slots * sum(speeds) / mean_work
    start_at = world.now + WARM_UP
    traffic = Traffic(world, load, start_at, start_at + load.seconds)
    for _ in range(round(rate * load.long_share * FLOW_PERIOD)):
        world.after(world.rng.uniform(0, FLOW_PERIOD), traffic.start_long)
    while world.now < traffic.measured_until:
        traffic.send_short()
        world.run(world.rng.expovariate(rate * (1 - load.long_share)))
    world.run(load.deadline)
    opens = [len(upstream.opens) for upstream in world.upstream_by_host.values()]
    return traffic.sent_count, traffic.waits, opens
