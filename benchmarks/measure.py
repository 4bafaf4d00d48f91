"""Measure what users see, for the chosen policy and for baselines in the same run.

Measures the imbalance across upstreams for three policies on a virtual clock, and, with
real processes, the share of requests answered in each second while a data centre is
taken out and brought back, for both deployments. Broken flows by kind of change are
measured by ``make prove``. Writes tables and plots to ``out/``.
"""

import asyncio
import heapq
import itertools
import tempfile
import time
from pathlib import Path
from random import Random

import matplotlib
from attrs import Factory, define, field

from bilberrypath import Answered
from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import routing
from bilberrypath.coordination.agent import (
    AgentCore,
    AgentSetup,
    OpenFlow,
)
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.coordination.heartbeat_monitor import HEARTBEAT_PERIOD
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.release import (
    DataCentre,
    Release,
    ReleaseNote,
    Service,
    apply_note,
)
from tests.support.deployment import Deployment
from tests.support.workload import Workload

matplotlib.use("Agg")
from matplotlib import pyplot

OUT = Path("out")
CODEC = TokenCodec({1: bytes(16)}, 1)
AGENTS, BALANCERS = 7, 3
FLOWS, LIFETIME, SECONDS = 700, 60.0, 300.0  # mean flows, mean lifetime, run time
WARM_UP = 120.0  # seconds before imbalance is measured
CENTRES = ("atlantic", "citybowl", "winelands")
PORT = 9443


@define
class Placer:
    """A placer of flows that runs balancer and agent cores on a virtual clock.

    If ``may_relay`` is true, an agent may relay an open to another agent; otherwise the
    agent that the balancer chose takes it. ``candidates`` is the number of agents that
    a balancer names for an open. ``connections`` is the number of flows by agent.
    """

    candidates: int
    may_relay: bool
    seed: int
    now: float = 0.0
    balancers: list = Factory(list)
    agents: dict = Factory(dict)
    connections: dict = Factory(dict)
    rng: Random = field(init=False)

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)
        note = ReleaseNote(
            "n",
            added_data_centres=tuple(DataCentre(c) for c in CENTRES),
            added_services=(Service("dispatch", PORT, CENTRES),),
        )
        release = apply_note(Release(), note)
        members = [self._add_agent(index) for index in range(AGENTS)]
        for index in range(BALANCERS):
            node_id = f"10.0.0.{index + 1}:7000"
            own_member = Member(
                node_id, Role.BALANCER, CENTRES[index], "", 1, 1, Status.SERVING
            )
            core = BalancerCore(
                BalancerSetup(own_member, ()), CODEC, Random(index), 0.0
            )
            core.handle(ev.StoreRead(0.0, 1, "n", snapshot=release), 0.0)
            for member in members:
                core.members.merge(member, 0.0)
            core.handle(ev.Tick(), 0.0)
            core.freshness.confirm_started(1e9)
            self.balancers.append(core)

    def _add_agent(self, index):
        centre = CENTRES[index % 3]
        node_id = f"10.0.1.{index + 1}:7000"
        member = Member(node_id, Role.AGENT, centre, "dispatch", 1, 1, Status.SERVING)
        core = AgentCore(AgentSetup(member, (), 3, 2000), CODEC, Random(index))
        core.registration.adopt_view(ctl.ReleaseView(1, 1, PORT, 1, True, False))
        core.registration.freshness.confirm_started(1e9)
        self.agents[member.address] = core
        self.connections[member.address] = 0
        return member

    def heartbeat(self):
        """Record each agent's load at each balancer, as heartbeats do."""
        for address, core in self.agents.items():
            self._refresh(core, address)
            for balancer in self.balancers:
                balancer.router.record_load(address, core.load, self.now)

    def open(self):
        """Open a flow and return the address of the agent that holds it."""
        connection_id = self.rng.randbytes(8)
        packet = b"\xc0\x00\x00\x00\x01\x08" + connection_id + bytes(1200)
        balancer = self.rng.choice(self.balancers)
        (effect,) = balancer.route_packet(PORT, ("10.9.9.9", 1), packet, self.now)
        frame, to = effect.frame, effect.to
        if not self.may_relay:
            self.connections[to] += 1
            return to
        while True:
            core = self.agents[to]
            self._refresh(core, to)
            event = ev.FrameReceived(("10.0.0.1", 7000), frame)
            results = core.handle(event, self.now)
            if any(isinstance(result, OpenFlow) for result in results):
                self.connections[to] += 1
                return to
            relayed = next(r for r in results if isinstance(r, fx.SendFrame))
            frame, to = relayed.frame, relayed.to

    def _refresh(self, core, address):
        core.set_load(self.connections[address], 3, 0, True)


def measure_imbalance(name, candidates, may_relay, seed=1):
    """Return the ratio of maximum to mean connections of an upstream in each second.

    Prints the mean and the maximum of this ratio over time.
    """
    before, routing.CANDIDATE_COUNT = routing.CANDIDATE_COUNT, candidates
    try:
        placer = Placer(candidates, may_relay, seed)
        ratios = run_arrivals(placer)
    finally:
        routing.CANDIDATE_COUNT = before
    worst = max(ratios)
    mean = sum(ratios) / len(ratios)
    print(f"imbalance_connections_{name}={mean:.3f}")
    print(f"imbalance_connections_worst_{name}={worst:.3f}")
    return ratios


def run_arrivals(placer):
    """Open flows at random times; return the imbalance in each second after warm-up."""
    order = itertools.count()
    heap = []

    def schedule(at, action, *arguments):
        heapq.heappush(heap, (at, next(order), action, arguments))

    def arrive():
        holder = placer.open()
        lifetime = placer.rng.expovariate(1 / LIFETIME)
        schedule(placer.now + lifetime, end, holder)
        schedule(placer.now + placer.rng.expovariate(FLOWS / LIFETIME), arrive)

    def end(holder):
        placer.connections[holder] -= 1

    def send_heartbeats():
        placer.heartbeat()
        schedule(placer.now + HEARTBEAT_PERIOD, send_heartbeats)

    ratios = []

    def sample():
        counts = list(placer.connections.values())
        if placer.now >= WARM_UP:
            ratios.append(max(counts) * len(counts) / sum(counts))
        schedule(placer.now + 1.0, sample)

    schedule(0.0, send_heartbeats)
    schedule(0.001, arrive)
    schedule(0.002, sample)
    while heap[0][0] < SECONDS:
        placer.now, _, action, arguments = heapq.heappop(heap)
        action(*arguments)
    return ratios


def plot_imbalance(series):
    for name, ratios in series.items():
        pyplot.plot(ratios, label=name)
    pyplot.axhline(1.15, color="grey", linestyle=":", label="target")
    pyplot.xlabel("seconds")
    pyplot.ylabel("maximum over mean connections")
    pyplot.legend()
    pyplot.savefig(OUT / "imbalance.png")
    pyplot.close()


async def measure_departure(name, subnet):
    """Take a data centre out and bring it back; return a row for each second."""
    folder = tempfile.mkdtemp()
    deployment = Deployment(Path(folder), subnet)
    deployment.service_port_by_name = {"main": 9443, "photo": 9444}
    try:
        deployment.start_store()
        hosts = [deployment.add_balancer(centre).host for centre in CENTRES]
        deployment.start_fabric(hosts)
        for index in range(7):
            deployment.add_upstream(CENTRES[index % 3], "main")
        for centre in CENTRES:
            deployment.add_upstream(centre, "photo")
        await deployment.accept(
            "[added]\n"
            + "".join(f"data centre {centre} = in\n" for centre in CENTRES)
            + f"service main = port 9443, data centres {' '.join(CENTRES)}\n"
            + f"service photo = port 9444, data centres {' '.join(CENTRES)}\n"
        )
        await deployment.wait_in_force(1, 13)
        return await observe_departure(name, deployment)
    finally:
        deployment.stop()


async def observe_departure(name, deployment):
    """Send requests while a data centre is taken out; print and return what they got.

    Each row is a second, its requests, the share answered, and the longest wait in
    seconds.
    """
    workload = Workload(deployment)
    workload.start_requests("main", callers=20, pause=0.1)
    await asyncio.sleep(6)
    workload.sent.clear()
    started = time.monotonic()
    await asyncio.sleep(5)
    await deployment.accept("[changed]\ndata centre citybowl = out\n")
    out_at = time.monotonic() - started
    await asyncio.sleep(10)
    await deployment.accept("[changed]\ndata centre citybowl = in\n")
    back_at = time.monotonic() - started
    await asyncio.sleep(10)
    await workload.stop()
    verdict = workload.judge()
    by_second = {}
    for sent in workload.sent:
        second = int(sent.started_at - started)
        by_second.setdefault(second, []).append(sent)
    rows = [
        (
            second,
            len(sent),
            sum(isinstance(s.outcome, Answered) for s in sent) / len(sent),
            max(s.seconds for s in sent),
        )
        for second, sent in sorted(by_second.items())
    ]
    # The first 3 s after the data centre was taken out do not count.
    while_out = [
        s for s in workload.sent if out_at + 3 < s.started_at - started < back_at
    ]
    share = sum(isinstance(s.outcome, Answered) for s in while_out) / len(while_out)
    print(f"{name}_answered_share_while_out={share:.4f}")
    print(
        f"{name}_answered_share_whole_run={verdict.answered / len(workload.sent):.4f}"
    )
    print(f"{name}_least_answered_share_in_a_second={min(r[2] for r in rows):.3f}")
    print(f"{name}_worst_wait_s={max(r[3] for r in rows):.2f}")
    empty = sum(
        not any(isinstance(s.outcome, Answered) for s in sent)
        for sent in by_second.values()
    )
    print(f"{name}_seconds_without_service={empty}")
    print(f"{name}_doubled={verdict.doubled}")
    write_table(name, rows)
    return rows


def write_table(name, rows):
    lines = ["second requests answered_share worst_wait_s"]
    lines += [f"{s} {count} {share:.3f} {wait:.3f}" for s, count, share, wait in rows]
    (OUT / f"departure-{name}.txt").write_text("\n".join(lines) + "\n")
    pyplot.plot([r[0] for r in rows], [r[2] for r in rows], label="answered share")
    pyplot.plot([r[0] for r in rows], [r[3] for r in rows], label="worst wait, s")
    pyplot.xlabel("seconds")
    pyplot.legend()
    pyplot.savefig(OUT / f"departure-{name}.png")
    pyplot.close()


def main():
    OUT.mkdir(exist_ok=True)
    plot_imbalance(
        {
            "chosen": measure_imbalance("chosen", routing.CANDIDATE_COUNT, True),
            "two candidates": measure_imbalance("two_candidates", 2, True),
            "plain hash": measure_imbalance("plain_hash", 1, False),
        }
    )
    for index, name in enumerate(("cape_town", "aegean")):
        asyncio.run(measure_departure(name, 52 + index))


if __name__ == "__main__":
    main()
