"""Measure what the request gate adds to the cost of a packet at an agent.

    git archive f146380 --prefix=before/ | tar -x -C FOLDER
    python benchmarks/gate_cost.py FOLDER/before

Runs the cores of another version and of this one in turn, without a network, and prints
the median CPU time per packet in microseconds and the difference to the other version.
A cycle is a request, its answer and the client's acknowledgement. The gate is measured
inactive, active with a free upstream, and active with each request kept until another
one is answered.
"""

import gc
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
from bilberrypath.platform.packet_codec import ACK, SYN, PlatformPacketCodec
from bilberrypath.protocol.flow_messages import ForwardedPacket
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.route_delta import RouteTableReply
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from tests.support.flow_model import write_packet

ROUNDS = 9  # runs of each version, in turn; the median is printed
FLOWS = 400
CYCLES = 40  # per flow
PACKETS_PER_CYCLE = 3
SENDER = ("10.1.0.1", 7600)
BALANCER = "10.1.0.1:7600"
UPSTREAM = ("10.2.0.1", 8080)
ADDRESS = ("198.18.0.1", 443)
OTHER_ADDRESS = ("198.18.0.2", 443)


def make_agent(has_priorities, slots):
    """Return an agent whose upstream reports ``slots``."""
    targets = (Target("board", 1),)
    routes = (FlowRoute(ADDRESS, targets), FlowRoute(OTHER_ADDRESS, targets))
    if has_priorities:
        from bilberrypath.state.route_terms import RouteTerms

        terms = (RouteTerms(2, 0.4, 1.6), RouteTerms(1, 0.4, 1.6))
        routes = tuple(
            FlowRoute(route.address, targets, stated)
            for route, stated in zip(routes, terms, strict=True)
        )
    member = Member("10.2.0.1:7600", Role.AGENT, "a", "board", 1, 1, Status.DRAINING)
    setup = FlowAgentSetup(member, (SENDER,), UPSTREAM, 1.0, 60.0, 5000, True)
    agent = FlowAgent(setup, PlatformPacketCodec(), Random(1), 10.0)
    limits = (UpstreamLimits("board", 100_000, 0.0),)
    reply = RouteTableReply(snapshot=RouteTable(1, 1, routes, limits))
    agent.handle(fev.RoutesPulled(BALANCER, reply), 10.0)
    report = fev.UpstreamReport(
        "u1", 5000, 1, "board", UPSTREAM, "a", slots, False, 0.0
    )
    agent.handle(report, 10.0)
    return agent


def forward(datagram):
    """Return a client's datagram as a balancer forwards it."""
    return ForwardedPacket(1, "board", BALANCER, False, "", (), 0, True, datagram)


def open_flows(agent, count):
    """Return the keys of flows that the upstream has accepted."""
    flows = []
    for number in range(count):
        flow = pack_flow_key(("100.64.0.1", 20_000 + number), ADDRESS)
        syn = forward(write_packet(flow, SYN, 1))
        agent.handle_forwarded_packet(syn, SENDER, 10.0)
        accepted = write_packet(flow, SYN | ACK, 100, 2, back=True)
        agent.handle_upstream_packet(accepted, 10.0)
        flows.append(flow)
    return flows


def make_cycle(flow, cycle):
    """Return the packets of one request of a flow."""
    sequence, answered = 2 + 7 * cycle, 101 + 6 * cycle
    return (
        forward(write_packet(flow, ACK, sequence, answered, b"request")),
        write_packet(flow, ACK, answered, sequence + 7, b"answer", back=True),
        forward(write_packet(flow, ACK, sequence + 7, answered + 6)),
    )


def measure(mode):
    """Return the CPU time per packet in microseconds.

    ``mode`` is "plain" without priorities, "free" with room for each request, or
    "kept": an upstream of one slot has two requests running and one is kept always.
    """
    slots = 1 if mode == "kept" else 10 * FLOWS
    agent = make_agent(mode != "plain", slots)
    flows = open_flows(agent, FLOWS)
    lag = 2 if mode == "kept" else 0  # requests that are sent before an answer
    cycles = [make_cycle(flow, n) for n in range(CYCLES) for flow in flows]
    now = 10.0
    gc.freeze()  # the packets made above would otherwise be traversed while measuring
    started_at = time.process_time()
    for index, (request, _, _) in enumerate(cycles):
        now += 0.003
        agent.handle_forwarded_packet(request, SENDER, now)
        if index >= lag:
            _, answer, acknowledgement = cycles[index - lag]
            agent.handle_upstream_packet(answer, now)
            agent.handle_forwarded_packet(acknowledgement, SENDER, now)
    seconds = time.process_time() - started_at
    if mode == "kept":
        assert len(agent.request_scheduler.gate) == 0  # released by the last answer
    return seconds / len(cycles) / PACKETS_PER_CYCLE * 1e6


def run_version(root, modes):
    """Return the times of a version by mode, measured in a process of its own."""
    command = [sys.executable, __file__, "--measure", *modes]
    environment = {**os.environ, "PYTHONPATH": str(root)}
    output = subprocess.check_output(command, env=environment, cwd=root)
    return json.loads(output)


def main():
    """Compare the version in the folder given with this one."""
    if sys.argv[1] == "--measure":
        print(json.dumps({mode: measure(mode) for mode in sys.argv[2:]}))
        return
    times = {}
    for _ in range(ROUNDS):
        before = run_version(Path(sys.argv[1]).resolve(), ["plain"])
        after = run_version(Path(__file__).parents[1], ["plain", "free", "kept"])
        times.setdefault("before", []).append(before["plain"])
        for mode, microseconds in after.items():
            times.setdefault(mode, []).append(microseconds)
    reference = statistics.median(times["before"])
    for mode, values in times.items():
        median = statistics.median(values)
        print(
            f"{mode:8} {median:7.2f} us {median - reference:+6.2f} us "
            f"ratio {median / reference:.3f}"
        )


if __name__ == "__main__":
    main()
