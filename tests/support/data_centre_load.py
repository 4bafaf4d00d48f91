"""Demand by data centre on the model of :mod:`tests.support.flow_world`.

Each request is one flow of a client whose packets pass through a balancer in its data
centre. Requests arrive at random times (Poisson), at a rate for each data centre.
"""

from collections import Counter
from statistics import mean

from attrs import Factory, define, frozen

from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from tests.support.flow_world import FlowWorld, ModelClient, make_table

BOARD = ("198.18.0.1", 443)
ORDERS = ("198.18.0.2", 443)
ANSWER_TIME = 2.5  # seconds that the run continues after the last request
STEP = 0.05  # seconds between the times at which the rates are read


@frozen
class Demand:
    """Upstreams and requests of a run; rates in requests per second.

    ``rate`` returns the rate at an address for a data centre and the seconds since the
    start. ``terms_by_address`` has the terms of each route, or None for a route
    without.
    """

    rate: object
    data_centres: str = "abc"
    agents: int = 4  # in each data centre
    slots: int = 2
    queue_capacity: int = 6
    service_time: float = 0.045
    seconds: float = 8.0
    terms_by_address: dict = Factory(lambda: {BOARD: None})
    report_faults: object = None
    loss: float = 0.0
    spillover: bool = True


@frozen
class Request:
    """A request that was sent, with its client's first attempt."""

    sent_at: float
    address: tuple
    data_centre: str
    client: ModelClient

    @property
    def latency(self):
        """The seconds until the answer, or None without one."""
        last = self.client.last_try
        return last.answered_at - self.sent_at if last.answers else None

    @property
    def attempts(self):
        """Each attempt's client, in order."""
        attempts = [self.client]
        while attempts[-1].next_try is not None:
            attempts.append(attempts[-1].next_try)
        return attempts


@define
class DemandRun:
    """The requests of a run, and where their opens were placed."""

    world: FlowWorld
    demand: Demand
    started_at: float
    requests: list = Factory(list)

    def select(self, address=None, data_centre=None):
        """Return the requests to one address, or from one data centre."""
        return [
            request
            for request in self.requests
            if address in (None, request.address)
            and data_centre in (None, request.data_centre)
        ]

    def compute_share_within(self, limit, **selected):
        """Return the share of requests answered within a limit in seconds."""
        requests = self.select(**selected)
        latencies = [request.latency for request in requests]
        return mean(value is not None and value <= limit for value in latencies)

    def count_outcomes(self, objective, **selected):
        """Return how many requests ended in time, late, or without an answer."""
        outcomes = Counter()
        for request in self.select(**selected):
            latency = request.latency
            if latency is None:
                outcomes["none"] += 1
            else:
                outcomes["in time" if latency <= objective else "late"] += 1
            outcomes["resets"] += sum(c.resets > 0 for c in request.attempts)
            outcomes["shed"] += sum(c.is_shed for c in request.attempts)
        return outcomes

    def list_placements(self, data_centre):
        """Return (seconds since the start, data centre) of a data centre's opens."""
        flows = {
            attempt.flow
            for request in self.select(data_centre=data_centre)
            for attempt in request.attempts
        }
        return sorted(
            (at - self.started_at, upstream.data_centre)
            for upstream in self.world.upstream_by_host.values()
            for at, flow in upstream.opens
            if flow in flows
        )

    def compute_far_share(self, data_centre):
        """Return the share of a data centre's opens placed in another one."""
        placed = self.list_placements(data_centre)
        return mean(where != data_centre for _, where in placed)

    def list_far_shares(self, data_centre, window=0.25, min_count=10):
        """Return the share placed elsewhere in each window with enough opens."""
        by_window = {}
        for at, where in self.list_placements(data_centre):
            by_window.setdefault(int(at / window), []).append(where != data_centre)
        return [
            mean(values)
            for _, values in sorted(by_window.items())
            if len(values) >= min_count
        ]


def count_swings(shares, low=0.2, high=0.8):
    """Return how often a series of shares moves from below ``low`` to above ``high``.

    Moves back are counted too, so that one excursion counts twice.
    """
    states = [share >= high for share in shares if share <= low or share >= high]
    return sum(a != b for a, b in zip(states, states[1:], strict=False))


def run_demand(demand, seed=1):
    """Play a demand and return its run."""
    world = FlowWorld(seed, demand.loss)
    routes = tuple(
        FlowRoute(address, (Target("board", 1),), terms)
        for address, terms in demand.terms_by_address.items()
    )
    world.set_routes(make_table(routes=routes))
    balancers = {name: f"10.1.0.{n + 1}" for n, name in enumerate(demand.data_centres)}
    for name, host in balancers.items():
        world.add_balancer(host, name, list(balancers.values()))
    for index in range(demand.agents * len(demand.data_centres)):
        name = demand.data_centres[index % len(demand.data_centres)]
        host = f"10.2.0.{index + 1}"
        world.add_agent(
            host,
            data_centre=name,
            seeds=list(balancers.values()),
            spillover=demand.spillover,
        )
        upstream = world.upstream_by_host[host]
        upstream.slots, upstream.service_time = demand.slots, demand.service_time
        upstream.queue_capacity = demand.queue_capacity
    world.run(4.0)
    world.report_faults = demand.report_faults
    run = DemandRun(world, demand, world.now)
    while world.now - run.started_at < demand.seconds:
        _schedule_step(run, balancers)
        world.run(STEP)
    world.run(ANSWER_TIME)
    return run


def _schedule_step(run, balancers):
    """Schedule the requests of the next ``STEP`` seconds."""
    world = run.world
    elapsed = world.now - run.started_at
    for address in run.demand.terms_by_address:
        for data_centre, balancer in balancers.items():
            rate = run.demand.rate(address, data_centre, elapsed)
            at = world.rng.expovariate(rate) if rate > 0 else STEP
            while at < STEP:
                _schedule_request(run, at, address, data_centre, balancer)
                at += world.rng.expovariate(rate)


def _schedule_request(run, delay, address, data_centre, balancer):
    def send():
        client = run.world.make_client(address, balancer)
        run.requests.append(Request(run.world.now, address, data_centre, client))
        client.closes_when_answered = True
        client.request()

    run.world.after(delay, send)


TERMS = RouteTerms(priority=0, latency_objective=0.3, timeout=1.5)
