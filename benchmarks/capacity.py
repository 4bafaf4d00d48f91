"""Measure how costs grow with agents, services, balancers and releases.

The results are in docs/CAPACITY.md.
"""

import gc
import time
from functools import partial
from random import Random

from benchmarks.bench import read_resident
from benchmarks.fleet import (
    CENTRES,
    CODEC,
    HEADER_BYTES,
    Fleet,
    make_agent,
    make_balancer,
    make_first_release,
    make_next_delta,
)
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.agent import AgentCore, AgentSetup
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.coordination.rendezvous import rank_heartbeat_targets
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.frame import FrameSealer
from bilberrypath.state.members import Member, Status
from bilberrypath.state.release import apply_release_delta

AGENTS, SERVICES, BALANCERS = 79_000, 22_000, 12_000  # the design size
SIZE_SHARES = (0.25, 0.5, 1.0)  # shares of these numbers that are measured
FLEET_SIZES = (150, 300, 600, 1200)  # balancers


def show(name, value, digits=2):
    print(f"{name}={value:.{digits}f}", flush=True)


def time_each(work, items):
    """Return the mean CPU time of ``work`` for an item, in microseconds."""
    started = time.process_time()
    for item in items:
        work(item)
    return (time.process_time() - started) / len(items) * 1e6


def load_core(agents, services, balancers):
    """Return a balancer core with the member records and release of a whole system."""
    own_member = make_balancer(0)
    core = BalancerCore(BalancerSetup(own_member, ()), CODEC, Random(1), 0.0)
    release = make_first_release(services)
    core.handle(ev.StoreRead(0.0, 1, "first", snapshot=release), 0.0)
    for index in range(1, balancers):
        core.members.table.merge(make_balancer(index))
    for index in range(agents):
        core.members.table.merge(make_agent(index, services))
    core.members.balancers_epoch += 1
    core.gossiper.is_joined = True
    core.freshness.confirm_started(1e9)
    return core


def measure_memory():
    """Print a balancer core's memory by system size; return the core at full size."""
    gc.collect()
    empty = read_resident()
    for share in SIZE_SHARES:
        before = read_resident()
        core = load_core(
            int(AGENTS * share), int(SERVICES * share), int(BALANCERS * share)
        )
        gc.collect()
        growth = read_resident() - before
        members = (AGENTS + BALANCERS) * share
        show(f"memory_mb_at_{share}", growth / 1e6, 1)
        show(f"bytes_per_member_and_service_share_at_{share}", growth / members, 0)
        if share < 1.0:
            del core
            gc.collect()
    show("resident_mb_full_core", (read_resident() - empty) / 1e6, 1)
    return core


def measure_balancer(core):
    """Print the CPU times of a balancer core's operations at full size."""
    now = 1.0
    release = core.releases.release
    started = time.process_time()
    delta, _ = make_next_delta(release)
    show("make_step_ms", (time.process_time() - started) * 1e3)
    started = time.process_time()
    apply_release_delta(release, delta)
    show("follow_step_ms", (time.process_time() - started) * 1e3)
    started = time.process_time()
    core.router.apply_release(release)
    show("use_release_ms", (time.process_time() - started) * 1e3)
    agents = [make_agent(index, SERVICES) for index in range(2000)]
    changed = [
        Member(a.node_id, a.role, a.data_centre, a.service, 1000, 2, Status.DRAINING)
        for a in agents
    ]
    show("merge_change_us", time_each(lambda m: core.members.merge(m, now), changed))
    local_agents = [a for a in agents if a.data_centre == CENTRES[0]][:60]
    table = core.members.table
    show(
        "rank_homes_us",
        time_each(
            lambda a: rank_heartbeat_targets(a.node_id, a.data_centre, table),
            local_agents,
        ),
    )
    heartbeats = [
        ev.ControlReceived(
            a.address, ctl.Heartbeat(core.members.table.get(a.node_id), i, 1, 5, 1)
        )
        for i, a in enumerate(local_agents * 20)
    ]
    for heartbeat in heartbeats:
        core.handle(heartbeat, now)
    show("heartbeat_us", time_each(lambda h: core.handle(h, now), heartbeats))
    core.members.gossip_queue.__init__()  # drops the changes queued above
    probes = [
        ev.ControlReceived(
            make_balancer(i).address, ctl.Probe(i, make_gossip(core, make_balancer(i)))
        )
        for i in range(1, 2000)
    ]
    show("probe_us", time_each(lambda p: core.handle(p, now), probes))
    ticks = [1.0 + 0.2 * index for index in range(300)]
    # The ticks cover 60 s, in which the agents above send no further heartbeats.
    core.members.heartbeat_monitor.heartbeat_by_id.clear()
    show("tick_us", time_each(lambda t: core.handle(ev.Tick(), t), ticks))


def make_gossip(core, sender):
    """Return a gossip payload from a sender whose member table equals the core's."""
    digest = core.members.table.digest()
    data_centre_liveness = {name: 1000 for name in CENTRES}
    return ctl.GossipPayload(sender, 1, digest, data_centre_liveness, ())


def measure_codec():
    """Print sizes of messages, and the CPU time to encode and decode each."""
    sealer = FrameSealer(bytes(32))
    agent = make_agent(7, SERVICES)
    view = ctl.ReleaseView(100, 7, 9000, 3, True, False)
    targets = tuple(make_balancer(i).node_id for i in range(3))
    heartbeat = ctl.Heartbeat(agent, 1000, 100, 50, 3)
    ack = ctl.HeartbeatAck(1000, view, agent, targets)
    delta, _ = make_next_delta(make_first_release(10))
    gossip = ctl.GossipPayload(
        make_balancer(3), 100, 1 << 63, {c: 10_000 for c in CENTRES}, (agent,)
    )
    for name, message in (
        ("heartbeat", heartbeat),
        ("heartbeat_ack", ack),
        ("probe", ctl.Probe(1000, gossip)),
        ("release_push", ctl.ReleasePush(delta, gossip)),
    ):
        body = ctl.encode_control_message(message)
        show(f"{name}_bytes", HEADER_BYTES + len(body), 0)
        sealed = sealer.seal_control(body)
        cost = time_each(
            lambda _, m=message: sealer.seal_control(ctl.encode_control_message(m)),
            range(5000),
        ) + time_each(
            lambda _, s=sealed: ctl.decode_control_message(sealer.open_control(s)),
            range(5000),
        )
        show(f"{name}_code_and_decode_us", cost)


def measure_ranking():
    """Print the CPU time to route an open, by number of agents of the service."""
    for count in (1, 4, 40, 400):
        core = load_core(0, 1, 2)
        for index in range(count):
            core.members.merge(make_agent(index, 1), 0.0)
        core.handle(ev.Tick(), 0.0)
        keys = [Random(i).randbytes(8) for i in range(2000)]
        rank = partial(rank_open, core)
        show(f"rank_us_at_{count}", time_each(rank, keys))


def rank_open(core, key):
    core.router.route_open(1024, key, core.members.table, 0.0)


def measure_agent():
    """Print the CPU use of an idle agent core and the rate of its heartbeats."""
    member = make_agent(0, 10)
    seeds = (make_balancer(0).address,)
    core = AgentCore(AgentSetup(member, seeds, 3, 2000), CODEC, Random(1))
    targets = tuple(make_balancer(i).node_id for i in range(3))
    view = ctl.ReleaseView(1, 1, 9000, 1, True, False)
    now, cpu_seconds, messages = 0.0, 0.0, 0
    for _ in range(5000):
        now += ev.TICK_PERIOD
        started = time.process_time()
        effects = core.handle(ev.Tick(), now)
        for effect in effects:
            heartbeat = effect.message
            ack = ctl.HeartbeatAck(heartbeat.sequence, view, heartbeat.member, targets)
            core.handle(ev.ControlReceived(effect.to, ack), now)
        cpu_seconds += time.process_time() - started
        messages += len(effects)
    show("agent_core_percent_of_a_core", cpu_seconds / now * 100, 3)
    show("agent_heartbeats_per_second", messages / now)


def measure_spread():
    """Print traffic and the time for a release to spread, by number of balancers."""
    for count in FLEET_SIZES:
        fleet = Fleet(count)
        fleet.run(5.0)
        fleet.messages = fleet.bytes_sent = fleet.store_reads = 0
        fleet.pulled_bytes = 0
        fleet.run(10.0)
        node_seconds = count * 10.0
        show(
            f"idle_messages_per_node_per_second_at_{count}",
            fleet.messages / node_seconds,
        )
        sent = fleet.bytes_sent + fleet.pulled_bytes
        show(f"idle_bytes_per_node_per_second_at_{count}", sent / node_seconds, 0)
        show(f"store_reads_per_second_at_{count}", fleet.store_reads / 10.0, 1)
        bytes_before = fleet.bytes_sent
        show(f"release_everywhere_s_at_{count}", fleet.time_release(20.0))
        fleet.run(2.0)
        release_bytes = fleet.bytes_sent - bytes_before
        show(f"release_bytes_per_node_at_{count}", release_bytes / count, 0)
        fleet.loss = 0.1
        show(
            f"release_everywhere_s_10_percent_loss_at_{count}", fleet.time_release(20.0)
        )
    measure_partition(FLEET_SIZES[1])
    measure_mass_join(FLEET_SIZES[1])


def measure_partition(count):
    """Print how a release spreads while two data centres are partitioned, and after.

    The last value is the smallest share of members that any balancer may give work to
    after the partition has ended.
    """
    fleet = Fleet(count, loss=0.1)
    fleet.run(3.0)
    fleet.partitioned_centres = frozenset(CENTRES[:2])
    fleet.run(60.0)
    accepted_at = fleet.now
    fleet.accept()
    fleet.run(10.0)
    show("release_outside_cut_s", max(fleet.adopted_at.values()) - accepted_at)
    behind = fleet.count_behind()
    fleet.partitioned_centres = frozenset()
    started = fleet.now
    while fleet.count_behind() and fleet.now - started < 30:
        fleet.run(0.05)
    show("behind_in_cut_region", behind, 0)
    show("catch_up_after_cut_s", fleet.now - started)
    fleet.run(20.0)
    least = min(
        sum(m.may_take_work for m in core.members.table)
        for core in fleet.cores.values()
    )
    show("least_members_in_use_after_cut_share", least / count, 3)


def measure_mass_join(count):
    """Print the cost when all 2,000 agents of one data centre join at once."""
    fleet = Fleet(count)
    fleet.run(3.0)
    agents = [make_agent(i * len(CENTRES), 100) for i in range(2000)]
    fleet.bytes_sent = fleet.pulled_bytes = 0
    started = fleet.now
    known = 0.0
    while fleet.now - started < 180.0:
        for agent in agents:
            fleet.send_heartbeat(agent)
        fleet.run(1.0)
        tables = [len(c.members.table) for c in fleet.cores.values()]
        known = min(tables) - count
        if known >= len(agents):
            break
    seconds = fleet.now - started
    show("mass_join_agents_known_everywhere", known, 0)
    show("mass_join_s", seconds, 1)
    # HeartbeatAcks to the agents are not traffic between balancers: 139 bytes a second
    # from each of the 3 heartbeat targets of an agent.
    ack_bytes = 139 * 3 * len(agents) * seconds
    sent = fleet.bytes_sent + fleet.pulled_bytes - ack_bytes
    show("mass_join_bytes_per_node_per_second", sent / count / seconds, 0)


def main():
    core = measure_memory()
    measure_balancer(core)
    del core
    gc.collect()
    measure_codec()
    measure_ranking()
    measure_agent()
    measure_spread()


if __name__ == "__main__":
    main()
