"""Measure costs of the datagram service for docs/CAPACITY.md.

    python -m benchmarks.flow_capacity

Drives the decision cores without a network. Times depend on the machine; sizes are
exact.
"""

import time
import tracemalloc
from random import Random

from msgspec.structs import replace

from bilberrypath.coordination import events as ev
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.platform.packet_codec import ACK, SYN, PlatformPacketCodec
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from tests.support.flow_world import make_world, write_packet

CODEC = PlatformPacketCodec()
REPEATS = 20_000
MICROSECONDS_PER_SECOND = 1e6


def make_flow(number):
    """Return the key of the flow from client ``number``."""
    host = f"100.{64 + (number >> 20)}.{number >> 12 & 255}.{number >> 4 & 255}"
    return pack_flow_key((host, 40000 + (number & 15)), ("198.18.0.1", 443))


def time_each(action, items):
    """Return the mean CPU time of ``action`` for an item, in microseconds."""
    started_at = time.process_time()
    for item in items:
        action(item)
    return (time.process_time() - started_at) / len(items) * MICROSECONDS_PER_SECOND


def measure_memory(count, fill):
    """Return the bytes for each of the ``count`` entries that ``fill`` makes."""
    tracemalloc.start()
    kept = fill(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / count


def fill_cache(count):
    cache = FlowLocationCache()
    for number in range(count):
        cache.record(make_flow(number), "10.0.0.1:7720", 0.0)
    return cache


def fill_flows(count):
    flows = HeldFlows()
    for number in range(count):
        packet = CODEC.parse_client_packet(write_packet(make_flow(number), SYN, 1))
        flows.add(packet, is_confirmed=True, now=0.0)
    return flows


def measure_packets():
    """Print the CPU time of a packet in a balancer and an agent, without the kernel."""
    world = make_world(agents=4, balancers=1)
    client = world.make_client()
    client.open()
    world.run(0.1)
    balancer = world.node_by_host["10.1.0.1"]
    datagram = write_packet(client.flow, ACK, 2, 101, b"x" * 1200)
    holder = balancer.location_cache.find(client.flow, world.now)
    agent = world.node_by_host[holder.partition(":")[0]]
    forwarded = balancer.handle_client_packet(datagram, world.now)[0].message
    body = msg.encode_flow_message(forwarded)
    items = range(REPEATS)
    now = world.now
    sender = ("10.1.0.1", 7600)
    rows = {
        "balancer, packet of a known flow": lambda _: msg.encode_flow_message(
            balancer.handle_client_packet(datagram, now)[0].message
        ),
        "agent, packet of its own flow": lambda _: agent.handle_forwarded_packet(
            msg.decode_flow_message(body), sender, now
        ),
        "agent, lookup of a flow": lambda _: agent.locator.answer_query(
            msg.FlowQuery(client.flow), now
        ),
    }
    for name, action in rows.items():
        print(f"{name}: {time_each(action, items):.1f} us")
    print(f"bytes added to a packet between processes: {len(body) - len(datagram)}")


def measure_opens():
    """Print the CPU time of an open in a balancer for several numbers of agents."""
    for count in (4, 40, 400):
        own_member = Member(
            "10.1.0.1:7600", Role.BALANCER, "a", "", 1, 1, Status.SERVING
        )
        balancer = FlowBalancer(own_member, (), CODEC, Random(1), 0.0)
        route = FlowRoute(("198.18.0.1", 443), (Target("board", 1),))
        balancer.routes.adopt_if_newer(RouteTable(1, 1, (route,)))
        for number in range(count):
            node_id = f"10.2.{number >> 8}.{number & 255}:7600"
            member = Member(node_id, Role.AGENT, "a", "board", 1, 1, Status.SERVING)
            balancer.members.merge(member, 0.0)
        balancer.handle(ev.Tick(), 0.1)
        opens = [write_packet(make_flow(n), SYN, 1) for n in range(2000)]
        cost = time_each(lambda d, b=balancer: b.handle_client_packet(d, 0.1), opens)
        print(f"balancer, open among {count} agents: {cost:.1f} us")


def measure_sizes():
    """Print the sizes of state and messages."""
    for count in (10_000, 30_000):
        print(
            f"{count} flows: {measure_memory(count, fill_cache):.0f} bytes a location "
            f"in a balancer, {measure_memory(count, fill_flows):.0f} bytes a flow "
            "in an agent"
        )
    member = Member("10.1.200.10:7720", Role.AGENT, "dc-a", "s", 1 << 40, 3, 0)
    messages = {
        "heartbeat": msg.FlowHeartbeat(member, 9999, 1 << 30, 1 << 63),
        "heartbeat ack": msg.FlowHeartbeatAck(
            9999, 1 << 30, member, ("10.1.200.10:7720",) * 3, None
        ),
        "load report": msg.LoadReport(1 << 30, "service", True, 0.333, 3),
        "flow query": msg.FlowQuery(make_flow(1)),
        "flow query reply": msg.FlowQueryReply(make_flow(1), "10.1.200.10:7720", False),
        "flow location": msg.FlowLocation(make_flow(1), "10.1.200.10:7720"),
    }
    for name, message in messages.items():
        print(f"{name}: {len(msg.encode_flow_message(message))} bytes")
    measure_routes()


def measure_routes():
    """Print sizes and CPU times of a route table and a delta at the design size."""
    table = RouteTable(
        1 << 30,
        1 << 20,
        tuple(
            FlowRoute((f"198.18.{n >> 8}.{n & 255}", 443), (Target(f"service-{n}", 1),))
            for n in range(22_000)
        ),
        tuple(UpstreamLimits(f"service-{n}", 2000, 0.0) for n in range(22_000)),
    )
    started_at = time.process_time()
    body = msg.encode_flow_message(table)
    seconds = time.process_time() - started_at
    print(
        f"table of 22,000 routes: {len(body)} bytes, {seconds * 1000:.0f} ms to encode"
    )
    route = FlowRoute(table.routes[0].address, (Target("service-1", 1),))
    changed = replace(table, revision=2 << 30, routes=(route, *table.routes[1:]))
    receiver, sender = RouteTracker(), RouteTracker()
    receiver.adopt_if_newer(table)
    sender.adopt_if_newer(table)
    started_at = time.process_time()
    sender.adopt_if_newer(changed)
    make_seconds = time.process_time() - started_at
    reply = sender.make_reply(receiver.base_digest)
    receiver.handle_reply(reply)
    apply_seconds = time.process_time() - started_at - make_seconds
    print(
        f"one changed route of 22,000: {len(msg.encode_flow_message(reply))} bytes, "
        f"{make_seconds * 1000:.0f} ms to make the delta, "
        f"{apply_seconds * 1000:.0f} ms to apply it"
    )


def main():
    """Print all measurements."""
    measure_packets()
    measure_opens()
    measure_sizes()


if __name__ == "__main__":
    main()
