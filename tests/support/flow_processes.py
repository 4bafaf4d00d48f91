"""Real daemons of the datagram service on loopback, with stand-ins around them.

The stand-ins (store, upstreams, fabric, clients) run in the test's process. Each
balancer and agent is a separate process, which is signalled by its process ID.
"""

import asyncio
import contextlib
import math
import os
import signal
import sys
import time
from collections import Counter, defaultdict, deque
from datetime import UTC, datetime
from functools import partial
from pathlib import Path

from attrs import Factory, define, field

from bilberrypath.platform.packet_codec import (
    ACK,
    BOUNCED,
    RST,
    SYN,
    PlatformPacketCodec,
)
from bilberrypath.protocol.flow_packet import pack_flow_key, unpack_endpoint
from bilberrypath.transport.http_client import HttpCallFailed, HttpClient
from tests.standins.platform_store import PlatformStore
from tests.support.children import end_with_parent
from tests.support.flow_world import write_packet

PEER_PORT, READY_PORT, PACKET_PORT, METRICS_PORT = 7720, 7721, 7722, 7723
APP_PORT, OUTBOUND_PORT, REPORT_PORT = 7724, 7725, 7726
REPORT_PERIOD = 0.5  # seconds
FLOW_LIFETIME = 20  # seconds
MAX_ARRIVALS = 2000  # of a flow that an upstream keeps
ROOT = Path(__file__).parents[2]
ADDRESS = ("198.18.0.1", 443)
SERVICE = "board"  # the first; others have a number appended

NODE_INI = """[node]
peer_address = {host}:7720
data_centre = {data_centre}
seeds = {seeds}
ready_address = {host}:7721
client_port = 7722
metrics_address = {host}:7723
"""
BALANCER_INI = """[flow_balancer]
packet_address = {host}:7722
[store]
address = {store}
"""
AGENT_INI = """[flow_agent]
service = {service}
upstream = {host}:7724
outbound = {host}:7725
report_address = {host}:7726
report_period = 500
flow_lifetime = 20
first_start = {first}
"""


def name_service(index):
    return f"{SERVICE}{index or ''}"


def make_address(index):
    """Return the address that clients of a service send to."""
    return ADDRESS[0], ADDRESS[1] + index


def make_config(version, routes=None, cold_opens_per_s=0.0, service_count=1):
    """Return the operator's configuration with a route to each service.

    If ``routes`` are given, it has those.
    """
    names = [name_service(index) for index in range(service_count)]
    if routes is None:
        addresses = [make_address(index) for index in range(service_count)]
        routes = [
            {"host": host, "prefix": f"/{port}/", "service": name}
            for (host, port), name in zip(addresses, names, strict=True)
        ]
    services = [
        {"name": name, "maxConns": 2000, "coldPerS": cold_opens_per_s} for name in names
    ]
    limits = {"idleTimeoutMs": 15000}
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def format_time(at):
    """Return a time of the monotonic clock as it is written in logs."""
    now = datetime.now(UTC).timestamp()
    return datetime.fromtimestamp(now - time.monotonic() + at, UTC).isoformat()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self._handler = handler

    def datagram_received(self, data, addr):
        self._handler(data)


async def bind_udp(address, handler):
    """Return a UDP transport that passes each datagram to ``handler``."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(handler), local_addr=address
    )
    return transport


make_arrivals = partial(deque, maxlen=MAX_ARRIVALS)


@define(eq=False)
class StandInUpstream:
    """A server that follows the platform's protocol: flows, answers and reports.

    ``service_time`` is the time from a request to its answer in seconds.
    ``is_silent`` stops it from answering and reporting. ``starts`` counts its
    starts, ``started_at`` is in milliseconds, and ``sequence`` counts the reports of
    one start. ``flows`` holds its flows, ``opened`` those whose client confirmed that
    it accepted this upstream's SYN-ACK, ``opens`` lists (time, flow) of accepted
    opens, and ``foreign`` counts by flow the packets of flows that it does not hold.
    ``held_arrivals`` and ``foreign_arrivals`` have by flow the times when packets came
    that are no opens, and ``ends`` the times when it stopped or fell silent.
    ``acked_draining_at`` is when the agent first acknowledged that it is draining.
    """

    host: str
    data_centre: str
    service: str = SERVICE
    service_time: float = 0.02
    draining: bool = False
    is_silent: bool = False
    starts: int = 0
    started_at: int = 0
    sequence: int = 0
    flows: set = Factory(set)
    opened: set = Factory(set)
    opens: list = Factory(list)
    foreign: Counter = Factory(Counter)
    held_arrivals: dict = Factory(partial(defaultdict, make_arrivals))
    foreign_arrivals: dict = Factory(partial(defaultdict, make_arrivals))
    ends: list = Factory(list)
    acked_draining_at: float | None = None
    _transport: asyncio.DatagramTransport | None = None
    _health_server: asyncio.Server | None = None
    _reporting: asyncio.Task | None = None
    _codec: PlatformPacketCodec = Factory(PlatformPacketCodec)
    _starting: asyncio.Lock = Factory(asyncio.Lock)

    async def start(self):
        """Start without flows; do nothing if the upstream is already up."""
        async with self._starting:
            if not self.is_up:
                await self._start()

    async def _start(self):
        await asyncio.sleep(0.02)  # lets the event loop close the previous socket
        self.starts += 1
        self.started_at = time.time_ns() // 1_000_000
        self.sequence = 0
        self.flows.clear()
        self.opened.clear()
        self.draining = False
        self.acked_draining_at = None
        self.is_silent = False
        self._transport = await bind_udp((self.host, APP_PORT), self._receive)
        self._health_server = await asyncio.start_server(
            lambda reader, writer: writer.close(), self.host, APP_PORT
        )
        self._reporting = asyncio.create_task(self._report_forever())

    def stop(self):
        """Stop as in a crash: close the port, stop reporting and drop all flows."""
        if self._transport is not None:
            self.ends.append(time.monotonic())
            self._transport.close()
            self._transport = None
            self._health_server.close()
            self._reporting.cancel()
        self.flows.clear()
        self.opened.clear()

    def fall_silent(self):
        """Stop answering and reporting until the next start."""
        self.ends.append(time.monotonic())
        self.is_silent = True

    @property
    def is_up(self):
        return self._transport is not None

    @property
    def first_sequence(self):
        """Return the sequence number of its SYN-ACKs, which no other upstream has."""
        return 100 + int(self.host.rpartition(".")[2])

    def _receive(self, datagram):
        packet = self._codec.parse_client_packet(datagram)
        if packet is None:
            return
        if not packet.is_syn:
            self._record_arrival(packet)
        if self.is_silent:
            return
        if packet.is_syn:
            if packet.flow not in self.flows:
                self.flows.add(packet.flow)
                self.opens.append((time.monotonic(), packet.flow))
            self._send(
                write_packet(packet.flow, SYN | ACK, self.first_sequence, 1, back=True)
            )
        elif not self._has_opened(packet):
            self.foreign[packet.flow] += 1
            returned = bytearray(datagram)
            returned[22] |= BOUNCED  # the flags
            self._send(bytes(returned))
        elif packet.data_length:
            starts = self.starts
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.service_time, self._answer, packet.flow, datagram, starts
            )

    def _record_arrival(self, packet):
        if self.is_silent:
            is_held = packet.flow in self.flows
        else:
            is_held = self._has_opened(packet)
        if not is_held:
            self.foreign_arrivals[packet.flow].append(time.monotonic())
        elif not self.is_silent:
            self.held_arrivals[packet.flow].append(time.monotonic())

    def _has_opened(self, packet):
        """Return whether a flow is open here; forget one whose client chose another."""
        if packet.flow in self.flows and packet.flow not in self.opened:
            if packet.acknowledged == self.first_sequence + 1:
                self.opened.add(packet.flow)
            else:
                self.flows.discard(packet.flow)
        return packet.flow in self.flows

    def _answer(self, flow, datagram, starts):
        if self.is_up and starts == self.starts and not self.is_silent:
            data = datagram[34:]  # without the header
            sequence = self.first_sequence + 1
            self._send(write_packet(flow, ACK, sequence, 2, data, back=True))

    def _send(self, datagram):
        if self._transport is not None:
            self._transport.sendto(datagram, (self.host, OUTBOUND_PORT))

    async def _report_forever(self):
        client = HttpClient((self.host, REPORT_PORT))
        try:
            while True:
                if not self.is_silent:
                    await self._report(client)
                await asyncio.sleep(REPORT_PERIOD)
        finally:
            client.close()

    async def _report(self, client):
        self.sequence += 1
        is_draining = self.draining
        state = "draining" if is_draining else "ready"
        body = (
            f'{{"service":"{self.service}","address":"{self.host}:{APP_PORT}",'
            f'"zone":"{self.data_centre}","version":"v1","slots":3,"state":"{state}",'
            f'"coldRemainingMs":0,"seq":{self.sequence},"born":{self.started_at}}}'
        )
        path = f"/v1/instances/u-{self.host}-{self.starts}"
        try:
            response = await client.call("PUT", path, 1.0, body.encode())
        except HttpCallFailed:
            return
        if response.status == 200 and is_draining and self.acked_draining_at is None:
            self.acked_draining_at = time.monotonic()


@define(eq=False)
class StandInClient:
    """One flow of a client that sends copies and retransmits as the protocol defines.

    ``acknowledged`` is the sequence number after that of the first SYN-ACK, whose
    upstream it goes on with. ``answers`` lists the payloads of received answers, and
    ``sent_requests`` holds those of the requests sent. ``resets`` counts received
    resets.
    """

    fabric: "Fabric"
    flow: bytes
    opened: bool = False
    acknowledged: int = 0
    answers: list = Factory(list)
    sent_requests: set = Factory(set)
    resets: int = 0
    _changed: asyncio.Event = Factory(asyncio.Event)

    async def open(self, copies=(0.0, 0.2, 0.4)):
        """Send the open and its copies; return whether it was accepted."""
        for delay in copies:
            if await self._wait(lambda: self.opened or self.resets, delay):
                break
            self.fabric.send(write_packet(self.flow, SYN, 1))
        await self._wait(lambda: self.opened or self.resets, 0.8)
        return self.opened and not self.resets

    async def send_request(self, data=b"request", tries=6):
        """Send a request up to ``tries`` times; return whether it was answered."""
        self.sent_requests.add(data)
        answered_before = len(self.answers)
        timeout = 0.2
        for _ in range(tries):
            self.fabric.send(write_packet(self.flow, ACK, 2, self.acknowledged, data))
            if await self._wait(
                lambda: data in self.answers[answered_before:] or self.resets, timeout
            ):
                break
            timeout = min(1.6, timeout * 2)
        return data in self.answers[answered_before:]

    def handle_packet(self, packet):
        if packet.is_syn_ack and not self.opened:
            self.opened = True
            self.acknowledged = packet.sequence + 1
        self.resets += packet.is_rst
        if packet.data_length:
            self.answers.append(packet.datagram[34:])
        self._changed.set()

    async def _wait(self, is_met, timeout):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not is_met():
                    self._changed.clear()
                    await self._changed.wait()
        return is_met()


@define(eq=False)
class Fabric:
    """Send each packet of a client to a random one of ``balancers``.

    ``loss`` is the probability that a packet is dropped instead.
    """

    host: str
    rng: object
    balancers: list = Factory(list)
    client_by_flow: dict = Factory(dict)
    loss: float = 0.0
    _port: int = 20000
    _transport: asyncio.DatagramTransport | None = None
    _codec: PlatformPacketCodec = Factory(PlatformPacketCodec)

    async def start(self):
        self._transport = await bind_udp((self.host, PACKET_PORT), self._receive)

    def close(self):
        self._transport.close()

    def make_client(self, address=ADDRESS):
        self._port += 1
        flow = pack_flow_key((self.host, self._port), address)
        client = self.client_by_flow[flow] = StandInClient(self, flow)
        return client

    def send(self, datagram):
        if self.balancers and self.rng.random() >= self.loss:
            host = self.rng.choice(self.balancers)
            self._transport.sendto(datagram, (host, PACKET_PORT))

    def _receive(self, datagram):
        packet = self._codec.parse_upstream_packet(datagram)
        client = None if packet is None else self.client_by_flow.get(packet.flow)
        if client is not None:
            client.handle_packet(packet)


@define(eq=False)
class FlowDeployment:
    """Balancers and agents as processes, in one network of loopback addresses.

    ``network`` is the second octet of the addresses; deployments that run at the
    same time need different ones. ``store_address``, if set before the start, is
    given to the balancers in place of the store's own address. ``disruptions_by_host``
    has the [start, end] of times when a process was suspended, or away after a kill.
    """

    network: int
    folder: Path
    rng: object
    balancer_count: int = 2
    agent_count: int = 3
    service_count: int = 1
    store: PlatformStore = field(init=False)
    fabric: Fabric = field(init=False)
    upstream_by_host: dict = Factory(dict)
    process_by_host: dict = Factory(dict)
    data_centre_by_host: dict = Factory(dict)
    disruptions_by_host: dict = Factory(partial(defaultdict, list))
    store_address: str = ""
    _made_count: int = 0  # clients made

    @property
    def balancers(self):
        return [f"127.{self.network}.0.{n + 1}" for n in range(self.balancer_count)]

    @property
    def agents(self):
        return [f"127.{self.network}.1.{n + 1}" for n in range(self.agent_count)]

    async def start(self):
        """Start stand-ins and processes, and wait until all upstreams accept opens."""
        self.store = PlatformStore()
        host, port = await self.store.start()
        self.store_address = self.store_address or f"{host}:{port}"
        self.put_config(1)
        self.fabric = Fabric(f"127.{self.network}.9.1", self.rng)
        await self.fabric.start()
        for index, host in enumerate([*self.balancers, *self.agents]):
            self.data_centre_by_host[host] = "abc"[index % 3]
        for index, host in enumerate(self.agents):
            service = name_service(index % self.service_count)
            upstream = StandInUpstream(host, self.data_centre_by_host[host], service)
            self.upstream_by_host[host] = upstream
            await upstream.start()
        for host in [*self.balancers, *self.agents]:
            await self.launch(host, is_first_start=True)
        self.fabric.balancers = self.balancers
        await self.wait_until_served()

    def put_config(self, version):
        """Write a configuration with a route to each service."""
        config = make_config(version, service_count=self.service_count)
        self.store.put("op/config", config)

    def make_client(self):
        """Return a client with a flow to the services in turn."""
        self._made_count += 1
        return self.fabric.make_client(
            make_address(self._made_count % self.service_count)
        )

    def write_event(self, text):
        """Append a line to a file beside the logs, with the time as in these."""
        with open(self.folder / "events.txt", "a") as events:
            events.write(f"{format_time(time.monotonic())} {text}\n")

    async def launch(self, host, is_first_start=False):
        """Start the balancer or agent process of a host."""
        self.write_event(f"{host} is started")
        self.end_disruptions(host)
        role = "balancer" if host in self.balancers else "agent"
        upstream = self.upstream_by_host.get(host)
        values = {
            "host": host,
            "data_centre": self.data_centre_by_host[host],
            "seeds": ",".join(self.balancers[:3]),
            "store": self.store_address,
            "service": SERVICE if role == "balancer" else upstream.service,
            "first": str(is_first_start).lower(),
        }
        role_ini = BALANCER_INI if role == "balancer" else AGENT_INI
        path = self.folder / f"{host}.ini"
        path.write_text((NODE_INI + role_ini).format(**values))
        log = open(self.folder / f"{host}.log", "ab")
        self.process_by_host[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bilberrypath.platform",
            role,
            cwd=ROOT,
            env={**os.environ, "BILBERRYPATH_BOOT": str(path)},
            stdout=log,
            stderr=log,
            preexec_fn=end_with_parent,
        )
        log.close()

    async def end(self, host, signal_number=signal.SIGKILL):
        """Signal the process of a host, wait for its end, and return its exit code."""
        process = self.process_by_host.pop(host)
        if signal_number == signal.SIGKILL:
            self.begin_disruption(host)
        self.write_event(f"{host} is sent {signal.Signals(signal_number).name}")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        exit_code = await process.wait()
        self.write_event(f"{host} ended with {exit_code}")
        return exit_code

    def begin_disruption(self, host):
        self.disruptions_by_host[host].append([time.monotonic(), math.inf])

    def end_disruptions(self, host):
        for disruption in self.disruptions_by_host[host]:
            disruption[1] = min(disruption[1], time.monotonic())

    def signal(self, host, signal_number):
        """Send a signal to the process of a host."""
        self.process_by_host[host].send_signal(signal_number)

    async def wait_until_served(self, timeout=20.0):
        """Open flows until every upstream that is up has accepted one."""
        async with asyncio.timeout(timeout):
            serving = set()
            up_hosts = {h for h, u in self.upstream_by_host.items() if u.is_up}
            while serving != up_hosts:
                client = self.make_client()
                await client.open(copies=(0.0,))
                serving = {h for h in up_hosts if self.upstream_by_host[h].opens}

    async def close(self):
        """Kill all processes, also suspended ones, and close the stand-ins."""
        for host in list(self.process_by_host):
            with contextlib.suppress(ProcessLookupError):
                self.process_by_host[host].send_signal(signal.SIGCONT)
            await self.end(host)
        for upstream in self.upstream_by_host.values():
            upstream.stop()
        self.fabric.close()
        self.store.close()

    def find_holder(self, flow):
        """Return the host whose upstream the client of a flow went on with, or None.

        Another upstream may have accepted a copy of the open, and have the flow too.
        """
        accepted_sequence = self.fabric.client_by_flow[flow].acknowledged - 1
        for host, upstream in self.upstream_by_host.items():
            if flow in upstream.flows and upstream.first_sequence == accepted_sequence:
                return host
        return None


__all__ = ["RST", "FlowDeployment", "StandInUpstream", "make_config", "unpack_endpoint"]
