"""Compare the cost of an agent's decisions with those of an earlier commit.

    python -m benchmarks.load_cost [--base f146380] [--rounds 7]

Both trees are measured in turns by processes of their own, so that other load on the
machine affects both alike. The least of all rounds is printed: the time per packet of a
held flow (a request and its answer) and per open, and the memory of 2,000 held flows.
"""

import argparse
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

ROOT = Path(__file__).parents[1]
REQUESTS = 4000
OPENS = 1500
FLOWS = 2000
AGENTS = 30
MICROSECONDS_PER_SECOND = 1e6


def make_busy_world():
    """Return a world whose agents have recent reports of each other."""
    from bilberrypath.coordination import events as ev
    from bilberrypath.protocol import flow_messages as msg
    from tests.support.flow_world import make_world

    world = make_world(agents=AGENTS, balancers=2)
    agent = world.node_by_host["10.2.0.1"]
    for number in range(2, AGENTS + 1):
        speed = {}
        if "service_time" in msg.LoadReport.__struct_fields__:
            speed = {"service_time": 0.024 if number % 3 else 0.057, "confidence": 100}
        report = msg.LoadReport(1, "board", True, 0.5, 3, **speed)
        event = ev.ControlReceived((f"10.2.0.{number}", 7600), report)
        agent.handle(event, world.now)
    agent.handle(ev.Tick(), world.now)
    return world, agent


def make_forwarded(packet):
    """Return a client's packet as a balancer forwards it."""
    from bilberrypath.protocol import flow_messages as msg

    balancer = "10.1.0.1:7600"
    return msg.ForwardedPacket(1, "board", balancer, True, "", (), 0, True, packet)


def measure():
    """Return microseconds per packet and per open, and kB of memory."""
    from bilberrypath.platform.packet_codec import ACK, SYN, PlatformPacketCodec
    from bilberrypath.protocol.flow_packet import pack_flow_key
    from tests.support.flow_world import ADDRESS, write_packet

    world, agent = make_busy_world()
    sender = ("10.1.0.1", 7600)
    codec = PlatformPacketCodec()
    flow = pack_flow_key(("100.64.9.1", 5000), ADDRESS)
    syn = codec.parse_client_packet(write_packet(flow, SYN, 1))
    agent.flows.add(syn, is_confirmed=True, now=world.now)
    request = make_forwarded(write_packet(flow, ACK, 2, 102, b"request"))
    answer = write_packet(flow, ACK, 101, 2, b"answer", back=True)
    now = world.now
    started_at = time.process_time()
    for number in range(REQUESTS):
        at = now + number * 1e-6
        agent.handle_forwarded_packet(request, sender, at)
        agent.handle_upstream_packet(answer, at + 5e-7)
    packet_time = (time.process_time() - started_at) / (2 * REQUESTS)

    world, agent = make_busy_world()
    opens = []
    for number in range(OPENS):
        flow = pack_flow_key(("100.64.8.1", 2000 + number), ADDRESS)
        opens.append(make_forwarded(write_packet(flow, SYN, 1)))
    now = world.now
    started_at = time.process_time()
    for forwarded in opens:
        agent.handle_forwarded_packet(forwarded, sender, now)
    open_time = (time.process_time() - started_at) / OPENS
    memory = measure_memory(codec)
    return (
        packet_time * MICROSECONDS_PER_SECOND,
        open_time * MICROSECONDS_PER_SECOND,
        memory,
    )


def measure_memory(codec):
    """Return the kB of 2,000 held flows that have each sent a request."""
    from bilberrypath.coordination.held_flows import HeldFlows
    from bilberrypath.platform.packet_codec import ACK, SYN
    from bilberrypath.protocol.flow_packet import pack_flow_key
    from tests.support.flow_world import ADDRESS, write_packet

    flows = [pack_flow_key(("100.64.7.1", 2000 + n), ADDRESS) for n in range(FLOWS)]
    tracemalloc.start()
    held_flows = HeldFlows()
    for number, flow in enumerate(flows):
        packet = codec.parse_client_packet(write_packet(flow, SYN, 1))
        held = held_flows.add(packet, is_confirmed=True, now=number * 1e-3)
        packet = codec.parse_client_packet(write_packet(flow, ACK, 2, 0, b"request"))
        held_flows.record_client_packet(held, packet, number * 1e-3)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1000


def measure_tree(tree):
    """Return the result of :func:`measure` with the code of a tree."""
    command = [sys.executable, str(Path(__file__).resolve()), "--measure"]
    environment = {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"}
    output = subprocess.run(
        command, cwd=tree, env=environment, capture_output=True, check=True, text=True
    ).stdout
    return [float(value) for value in output.split()]


def compare(base, rounds):
    """Measure both trees in turns and print the least values and their ratios."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", base, "bilberrypath", "tests"],
            cwd=ROOT,
            capture_output=True,
            check=True,
        ).stdout
        subprocess.run(["tar", "-x", "-C", folder], input=archive, check=True)
        results = {"base": [], "now": []}
        for _ in range(rounds):
            results["base"].append(measure_tree(folder))
            results["now"].append(measure_tree(ROOT))
    names = ("us a packet", "us an open", f"kB for {FLOWS} flows")
    for index, name in enumerate(names):
        before, after = (min(row[index] for row in rows) for rows in results.values())
        print(
            f"{name}: {before:.2f} before, {after:.2f} now, "
            f"{after - before:+.2f}, ratio {after / before:.3f}"
        )


def main():
    """Print the costs of this tree over those of an earlier commit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base", default="f146380")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--measure", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.measure:
        print(*measure())
    else:
        compare(options.base, options.rounds)


if __name__ == "__main__":
    main()
