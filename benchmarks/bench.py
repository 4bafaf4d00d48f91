"""Measure the speed of one balancer as a ratio to a bare UDP relay in the same run."""

import asyncio
import os
import resource
import socket
import time
from random import Random

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.protocol.frame import FrameSealer
from bilberrypath.protocol.token import Route, TokenCodec
from bilberrypath.settings import (
    BalancerSettings,
    KeySettings,
    NodeSettings,
    StoreSettings,
    TraceSettings,
)
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.release import (
    DataCentre,
    Release,
    ReleaseNote,
    Service,
    apply_note,
)
from bilberrypath.transport.balancer_daemon import BalancerDaemon
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.peer_socket import PeerSocket

PACKETS = 60_000  # packets of each forwarding measurement
WINDOW = 64  # packets in flight
PAYLOAD = 1200  # bytes
ROUNDS = 5  # the median ratio is reported
FLOWS = 200_000  # flows of the memory measurement
# Flows of a forwarding measurement; few enough that most packets hit the route cache.
LIVE_FLOWS = 2_000
AGENTS = 7
HOST = "127.0.0.1"
PORT = 9443


def make_release():
    """Return a release with one service in one data centre."""
    note = ReleaseNote(
        "n1",
        added_data_centres=(DataCentre("citybowl"),),
        added_services=(Service("dispatch", PORT, ("citybowl",)),),
    )
    return apply_note(Release(), note)


def make_core(agent_port):
    """Return a balancer core with a release of one service and its agents."""
    member = Member(
        "127.0.0.1:7000", Role.BALANCER, "citybowl", "", 1, 1, Status.SERVING
    )
    codec = TokenCodec({1: bytes(16)}, 1)
    core = BalancerCore(BalancerSetup(member, ()), codec, Random(1), 0.0)
    core.handle(ev.StoreRead(0.0, 1, "n1", snapshot=make_release()), 0.0)
    for index in range(AGENTS):
        agent = Member(
            f"127.0.0.{index + 1}:{agent_port}",
            Role.AGENT,
            "citybowl",
            "dispatch",
            1,
            1,
            Status.SERVING,
        )
        core.members.merge(agent, 0.0)
    core.handle(ev.Tick(), 0.0)
    core.freshness.confirm_started(1e9)  # the release counts as fresh for the run
    return core


def make_flow_packets(core, count, port):
    """Return one short-header packet for each of ``count`` flows."""
    route = Route(HOST, port, 1, 1, 1)
    filler = bytes(PAYLOAD - 21)  # 21 bytes: the first byte and the routing token
    return [b"\x40" + core.codec.issue(route) + filler for _ in range(count)]


async def pump(packets, target, sink):
    """Send all packets to ``target`` and receive them at ``sink``; return CPU seconds.

    At most ``WINDOW`` packets are in flight.
    """
    loop = asyncio.get_running_loop()
    source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    source.setblocking(False)
    received = 0
    done = loop.create_future()
    sent = 0

    def send_some(count):
        nonlocal sent
        for packet in packets[sent : sent + count]:
            source.sendto(packet, target)
        sent += count

    def receive_some():
        nonlocal received
        batch = 0
        while batch < WINDOW:
            try:
                sink.recv(65536)
            except BlockingIOError:
                break
            batch += 1
        received += batch
        if sent < len(packets):
            send_some(min(batch, len(packets) - sent))
        if received >= len(packets) and not done.done():
            done.set_result(None)

    loop.add_reader(sink.fileno(), receive_some)
    started = time.process_time()
    send_some(WINDOW)
    await asyncio.wait_for(done, 60)
    seconds = time.process_time() - started
    loop.remove_reader(sink.fileno())
    source.close()
    return seconds


def open_sink():
    """Return a UDP socket with a receive buffer for more than a window of packets."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.setblocking(False)
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    sink.bind((HOST, 0))
    return sink


async def measure_relay(packets, sink):
    """Return the CPU seconds of a relay that only copies packets.

    They include those of the sender and the sink, as in :func:`measure_balancer`.
    """
    egress = None

    def forward(data, _sender):
        egress.send(data, sink.getsockname())

    egress = DatagramSocket((HOST, 0), lambda data, sender: None)
    ingress = DatagramSocket((HOST, 0), forward)
    ingress.start_reading()
    seconds = await pump(packets, ingress.address, sink)
    ingress.close()
    egress.close()
    return seconds


def make_settings():
    """Return settings for a daemon whose packet path is called without running it."""
    keys = KeySettings({1: bytes(16)}, 1, bytes(32))
    node = NodeSettings(
        (HOST, 7000), "citybowl", (), None, keys, StoreSettings(), TraceSettings()
    )
    return BalancerSettings(node, HOST)


async def measure_balancer(packets, sink, core):
    """Return the CPU seconds of the balancer's packet path."""
    daemon = BalancerDaemon(make_settings())
    daemon.core = core
    daemon._peer_socket = PeerSocket(
        (HOST, 0), daemon._sealer, daemon._handle, lambda event, reason: None
    )
    ingress = DatagramSocket(
        (HOST, 0), lambda data, caller: daemon._handle_packet(PORT, data, caller)
    )
    ingress.start_reading()
    seconds = await pump(packets, ingress.address, sink)
    ingress.close()
    daemon._peer_socket.close()
    return seconds


async def measure_baseline(packets, sink):
    """Return the CPU seconds of the sender and the sink alone."""
    return await pump(packets, sink.getsockname(), sink)


async def measure_forwarding(name, flows):
    """Print the ratio of relay to balancer CPU time for packets of ``flows`` flows.

    The time of the sender and the sink alone is subtracted from both.
    """
    sink = open_sink()
    core = make_core(sink.getsockname()[1])
    packets = make_flow_packets(core, flows, sink.getsockname()[1])
    packets = packets * (PACKETS // flows)
    ratios = []
    for _ in range(ROUNDS):
        core.forwarder.clear_route_cache()
        baseline = await measure_baseline(packets, sink)
        relay = await measure_relay(packets, sink) - baseline
        balancer = await measure_balancer(packets, sink, core) - baseline
        ratios.append(relay / balancer)
        print(
            f"trial relay_us={relay / PACKETS * 1e6:.2f} "
            f"balancer_us={balancer / PACKETS * 1e6:.2f}"
        )
    ratios.sort()
    print(f"{name}={ratios[len(ratios) // 2]:.3f}")


def measure_opens():
    """Print how many opens a balancer routes and seals per second of CPU time."""
    core = make_core(7000)
    sealer = FrameSealer(bytes(32))
    rng = Random(2)
    # Initial packets of QUIC version 1, each with a connection ID of 8 bytes.
    packets = [
        b"\xc0\x00\x00\x00\x01\x08" + rng.randbytes(8) + bytes(1200)
        for _ in range(20_000)
    ]
    caller = (HOST, 5000)
    started = time.process_time()
    for packet in packets:
        for effect in core.route_packet(PORT, caller, packet, 1.0):
            if isinstance(effect, fx.SendFrame):
                sealer.seal_packet(effect.frame)
    seconds = time.process_time() - started
    print(f"opens_per_second={len(packets) / seconds:.0f}")


def measure_flow_memory():
    """Print how much a balancer's memory grows when ``FLOWS`` flows pass through."""
    core = make_core(7000)
    caller = (HOST, 5000)
    route = Route(HOST, 7000, 1, 1, 1)
    filler = bytes(60)
    before = read_resident()
    for _ in range(FLOWS):
        packet = b"\x40" + core.codec.issue(route) + filler
        core.route_packet(PORT, caller, packet, 1.0)
    growth = read_resident() - before
    print(f"bytes_per_flow={growth / FLOWS:.1f}")
    print(f"resident_mb={read_resident() / 1e6:.1f}")


def read_resident():
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def main():
    measure_opens()
    measure_flow_memory()
    asyncio.run(measure_forwarding("forward_ratio", LIVE_FLOWS))
    asyncio.run(measure_forwarding("forward_ratio_first_packets", PACKETS))
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"peak_resident_mb={peak / 1024:.0f}")


if __name__ == "__main__":
    main()
