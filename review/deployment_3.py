"""Stand-ins of the platform, servers and clients, for the scripts of this folder.

They follow the users' pages: PROTOCOL.md for what is spoken and DEPLOY.md for the
settings. The project's own programs run as separate processes, started as the deploy
file says, each machine at a loopback address of its own. A fault of these stand-ins
raises :class:`CannotRun`.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HEAD = struct.Struct("!H4sH4sHIIB3sII")
SYN, RST, FIN, ACK, BOUNCED = 128, 64, 16, 8, 1
MAX_DATA = 1200
WRAP = 1 << 32
SUM_KEY = b"only the two ends of a flow know this"
REGION = "western-cape"
ZONES = ("wc-a", "wc-b", "wc-c")
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "syncS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeMs": 250,
    "skewMaxMs": 12000,
    "coldFactor": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "reorderMs": 2000,
    "flowTtlS": 60,
}
COLD_X = 1.6  # by which the site files let a cold server be slower
CONTRACTS = "base drain config cost recover flows places platform".split()


class CannotRun(Exception):
    """The case could not be played; that says nothing of the rule."""


def compute_sum(src, sport, dst, dport, flags, seq, ack, data):
    """Return the keyed sum over all fields but echo, pad and BOUNCED."""
    fields = HEAD.pack(
        len(data), src, sport, dst, dport, 0, 0, flags & ~BOUNCED, b"", seq, ack
    )
    return zlib.crc32(SUM_KEY + fields + data)


class Packet:
    """One packet, read from a datagram."""

    def __init__(self, datagram):
        (
            length,
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.echo,
            self.sum,
            self.flags,
            self.pad,
            self.seq,
            self.ack,
        ) = HEAD.unpack_from(datagram)
        self.data = datagram[HEAD.size :]
        self.is_whole = length == len(self.data)
        self.datagram = datagram

    @property
    def is_genuine(self):
        expected = compute_sum(
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.flags,
            self.seq,
            self.ack,
            self.data,
        )
        return self.is_whole and self.sum == expected


def make_packet(src, sport, dst, dport, flags, seq, ack, data=b""):
    total = compute_sum(src, sport, dst, dport, flags, seq, ack, data)
    return (
        HEAD.pack(
            len(data), src, sport, dst, dport, 0, total, flags, b"\0\0\0", seq, ack
        )
        + data
    )


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def datagram_received(self, data, addr):
        self._handle(data, addr[0])


async def bind_udp(address, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Receiver(handle), local_addr=address
    )
    return transport


async def read_http(reader):
    """Return the first line, the headers by name in lower case, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return first, headers, body


async def call_http(address, method, path, body=b"", timeout=1.0):
    """Return the status of a call, or None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            first, _, _ = await read_http(reader)
            return int(first.split()[1])
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store, as far as this system uses it: reads and watches."""

    def __init__(self):
        self.revision = 100
        self.item_by_key = {}
        self.events = []
        self._changed = asyncio.Event()

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.item_by_key.get(key, {"created": self.revision})["created"]
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.item_by_key[key] = item
        self._add_event(item)

    def remove(self, key):
        self.revision += 1
        del self.item_by_key[key]
        self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_http(reader)
                method, target, _ = first.split()
                await asyncio.sleep(0.004)
                status, reply = await self._answer(method, target)
                body = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and parts.path == "/v1/kv-range":
            keys = sorted(
                key
                for key in self.item_by_key
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = [self.item_by_key[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "hasMore": len(keys) > 500,
                "currentRev": self.revision,
            }
        if method == "GET" and parts.path == "/v1/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class ServerFlow:
    """One flow at a server; ``first`` is the number of its SYN+ACK."""

    def __init__(self, packet):
        self.first = random.randrange(WRAP)
        self.next = (self.first + 1) % WRAP
        self.expected = (packet.seq + 1) % WRAP
        self.is_open = False
        self.has_ended = False
        self.unanswered = None  # the packet that is retransmitted, and its timer
        self.timer = None
        self.request = b""


class Server:
    """A server of a service, with its heartbeats to the agent on its machine.

    ``work_s`` is the time of a request in a slot, ``queue`` how many wait beside those
    that run. While ``cold_until`` is ahead, the server bears ``cold_per_s`` requests a
    second. With ``falls_over`` it ends as in a crash once it got more in one second
    than that times coldFactor, plus coldSlack: the brief says that cold back ends "fall
    over under full load".
    """

    def __init__(self, deployment, name, ip, zone, service, **terms):
        self.deployment = deployment
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.slots = terms.get("slots", 3)
        self.queue = terms.get("queue", 20)
        self.max_conns = terms.get("max_conns", 2000)
        self.work_s = terms.get("work_s", 0.0468)
        self.beat_s = deployment.beat_s
        self.falls_over = terms.get("falls_over", False)
        self.cold_until = 0.0
        self.starts = 0
        self.is_up = False
        self.draining = False
        self.opens = []  # (time, whether the server was cold) of each flow it took
        self.fell_over_at = []
        self.flow_by_key = {}
        self._running = self._tasks = None

    @property
    def app(self):
        return self.ip, self.deployment.port["app"]

    @property
    def is_cold(self):
        return time.monotonic() < self.cold_until

    async def start(self, service=None):
        self.service = service or self.service
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.draining = False
        self.flow_by_key = {}
        self.waiting = 0
        self._running = asyncio.Semaphore(self.slots)
        self._tasks = set()
        self._udp = await bind_udp(self.app, self._receive)
        self._tcp = await asyncio.start_server(self._serve_health, *self.app)
        self.is_up = True
        self._start_task(self._beat_forever())

    def crash(self):
        """End without a word; all flows are lost."""
        if not self.is_up:
            return
        self.is_up = False
        self._udp.close()
        self._tcp.close()
        for task in list(self._tasks):
            task.cancel()
        for flow in self.flow_by_key.values():
            self._stop_timer(flow)
        self.flow_by_key = {}

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_health(self, reader, writer):
        with contextlib.suppress(OSError, EOFError):
            await read_http(reader)
            status = 503 if self.draining else 200
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        writer.close()

    async def _beat_forever(self):
        control = self.ip, self.deployment.port["control"]
        while True:
            begun = time.monotonic()
            self.seq += 1
            beat = {
                "service": self.service,
                "address": f"{self.app[0]}:{self.app[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": max(0, round((self.cold_until - begun) * 1000)),
                "seq": self.seq,
                "born": self.born,
            }
            body = json.dumps(beat).encode()
            path = f"/v1/instances/{self.id}"
            self.last_beat = path, body
            status = await call_http(control, "PUT", path, body)
            self.deployment.note(
                "beat", self.name, status, beat["state"], beat["coldRemainingMs"]
            )
            await asyncio.sleep(max(0.05, begun + self.beat_s - time.monotonic()))

    def _send(self, key, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = key
        seq = flow.next if seq is None else seq
        datagram = make_packet(dst, dport, src, sport, flags, seq, flow.expected, data)
        self._udp.sendto(datagram, (self.ip, self.deployment.port["outbound"]))
        return datagram

    def _bounce(self, packet):
        returned = bytearray(packet.datagram)
        returned[22] |= BOUNCED
        returned[23:26] = b"\0\0\0"
        self._udp.sendto(bytes(returned), (self.ip, self.deployment.port["outbound"]))

    def _receive(self, datagram, _sender):
        if not self.is_up or len(datagram) < HEAD.size:
            return
        packet = Packet(datagram)
        key = packet.src, packet.sport, packet.dst, packet.dport
        if not packet.is_genuine or packet.flags & BOUNCED:
            self.deployment.note("forged packet at server", self.name)
            return
        flow = self.flow_by_key.get(key)
        if packet.flags & SYN:
            self._take_open(key, flow, packet)
            return
        if flow is not None and not flow.is_open:
            if (packet.ack - flow.first) % WRAP == 1:
                flow.is_open = True
                self.deployment.note_open(self, key)
            else:
                del self.flow_by_key[key]  # its client chose another server
                flow = None
        if flow is None:
            self._bounce(packet)
        elif packet.flags & RST:
            self._stop_timer(flow)
            del self.flow_by_key[key]
        else:
            self._read(key, flow, packet)

    def _take_open(self, key, flow, packet):
        if flow is None:
            if len(self.flow_by_key) >= self.max_conns:
                self._bounce(packet)
                return
            flow = self.flow_by_key[key] = ServerFlow(packet)
            self.opens.append((time.monotonic(), self.is_cold))
            self.deployment.note("open", self.name, self.is_cold)
            if self.falls_over and self._bears_too_much():
                self.fell_over_at.append(time.monotonic())
                self.deployment.note("fell over", self.name, len(self.flow_by_key))
                self.crash()
                return
        if not flow.is_open:
            self._send(key, flow, SYN | ACK, seq=flow.first)

    def _bears_too_much(self):
        if not self.is_cold:
            return False
        since = time.monotonic() - 1.0
        recent = sum(cold and at > since for at, cold in self.opens[-200:])
        return recent > self.deployment.cold_bound

    def _read(self, key, flow, packet):
        if flow.timer is not None and (packet.ack - flow.next) % WRAP < WRAP // 2:
            self._stop_timer(flow)
        if flow.has_ended and packet.data:
            self._send(key, flow, RST)
            return
        if packet.data and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % WRAP
            flow.request += packet.data
            self._take_request(key, flow)
        elif packet.data:
            self._send(key, flow, ACK)
        if packet.flags & FIN:
            end = (packet.seq + len(packet.data)) % WRAP
            if end == flow.expected and not flow.has_ended:
                flow.expected = (flow.expected + 1) % WRAP
                flow.has_ended = True
                self._send(key, flow, FIN | ACK)
                flow.next = (flow.next + 1) % WRAP
            else:
                self._send(key, flow, ACK)

    def _take_request(self, key, flow):
        head, separator, body = flow.request.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
        if len(body) < length:
            return
        request_id = re.search(rb"(?i)request-id: *(\S+)", head)[1].decode()
        flow.request = b""
        self._start_task(self._run(key, flow, request_id))

    async def _run(self, key, flow, request_id):
        deployment = self.deployment
        if self.waiting >= self.slots + self.queue:
            deployment.note("not run", request_id, self.name)
            self._answer(key, flow, request_id, 503, "Bilberrypath-Not-Executed: 1\r\n")
            return
        self.waiting += 1
        try:
            async with self._running:
                deployment.note_run(request_id, self)
                await asyncio.sleep(self.work_s * (COLD_X if self.is_cold else 1.0))
        finally:
            self.waiting -= 1
        self._answer(key, flow, request_id, 200)

    def _answer(self, key, flow, request_id, status, extra=""):
        if self.flow_by_key.get(key) is not flow:
            return
        body = os.urandom(300).hex().encode()
        signature = f"{self.id}-{zlib.crc32(request_id.encode() + body):08x}"
        head = (
            f"HTTP/1.1 {status} X\r\nBilberrypath-Server-Signature: {signature}\r\n"
            f"Bilberrypath-Request-Id: {request_id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        first = flow.next
        flow.next = (flow.next + len(data)) % WRAP
        self._transmit(key, flow, data, first, 0)

    def _transmit(self, key, flow, data, first, tries):
        if self.flow_by_key.get(key) is not flow or not self.is_up or tries > 8:
            return
        self._send(key, flow, ACK, data, first)
        delay = min(1.6, 0.2 * 2**tries)
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(
            delay, self._transmit, key, flow, data, first, tries + 1
        )

    def _stop_timer(self, flow):
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None


class ClientFlow:
    """One flow of a client, for one request after another.

    ``reset_by`` is the machine that sent the reset that the client got, and ``front``
    the one that took the flow's last packet.
    """

    def __init__(self, clients, sport, address):
        self.clients = clients
        self.key = clients.packed_ip, sport, socket.inet_aton(address[0]), address[1]
        self.next = random.randrange(WRAP)
        self.expected = 0
        self.is_open = False
        self.is_reset = False
        self.reset_by = self.front = None
        self.answer = b""
        self.changed = asyncio.Event()

    def send(self, flags, data=b"", seq=None, ack=None):
        seq = self.next if seq is None else seq
        ack = self.expected if ack is None else ack
        self.clients.send(self.key, make_packet(*self.key, flags, seq, ack, data))

    async def wait(self, is_met, timeout):
        deadline = time.monotonic() + timeout
        while not is_met():
            left = deadline - time.monotonic()
            if left <= 0:
                return False
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return True

    async def open(self):
        """Send a SYN and its copies; return whether the flow opened."""
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, ack=copy)
            if await self.wait(lambda: self.is_open or self.is_reset, pause):
                break
        if self.is_open:
            self.next = (self.next + 1) % WRAP
        return self.is_open and not self.is_reset

    async def ask(self, data, deadline):
        """Send a request and return its answer, or None."""
        self.answer = b""
        pause = 0.2
        while not self.is_reset and (left := deadline - time.monotonic()) > 0:
            self.send(ACK, data)
            if await self.wait(
                lambda: self.is_reset or self.has_answer(), min(pause, left)
            ):
                break
            pause = min(1.6, 2 * pause)
        if not self.has_answer():
            return None
        self.next = (self.next + len(data)) % WRAP
        return self.answer

    def has_answer(self):
        head, separator, body = self.answer.partition(b"\r\n\r\n")
        if not separator:
            return False
        length = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
        return len(body) >= length

    def close(self):
        self.send(FIN | ACK)
        loop = asyncio.get_running_loop()
        loop.call_later(3.0, self.clients.flow_by_key.pop, self.key, None)

    def receive(self, packet, sender):
        if packet.flags & RST:
            self.is_reset = True
            self.reset_by = sender
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.expected = (packet.seq + 1) % WRAP
        elif packet.data:
            if packet.seq == self.expected:
                self.expected = (self.expected + len(packet.data)) % WRAP
                self.answer += packet.data
            self.send(ACK)
        elif packet.flags & FIN and packet.seq == self.expected:
            self.expected = (self.expected + 1) % WRAP
            self.send(ACK, seq=(self.next + 1) % WRAP)
        self.changed.set()


class Clients:
    """The clients of one zone, behind the platform's routers there."""

    def __init__(self, deployment, zone, ip):
        self.deployment, self.zone, self.ip = deployment, zone, ip
        self.packed_ip = socket.inet_aton(ip)
        self.flow_by_key = {}
        self._next_port = 10000

    async def start(self):
        address = self.ip, self.deployment.port["datagram"]
        self._udp = await bind_udp(address, self._receive)

    def make_flow(self, address):
        self._next_port += 1
        flow = ClientFlow(self, self._next_port, address)
        self.flow_by_key[flow.key] = flow
        return flow

    def send(self, key, datagram):
        front = self.deployment.choose_front(self.zone, key)
        if key in self.flow_by_key:
            self.flow_by_key[key].front = front
        if front is not None:
            self._udp.sendto(datagram, (front, self.deployment.port["datagram"]))

    def _receive(self, datagram, sender):
        if len(datagram) < HEAD.size:
            return
        packet = Packet(datagram)
        flow = self.flow_by_key.get(
            (packet.dst, packet.dport, packet.src, packet.sport)
        )
        if flow is not None and (packet.flags & RST or packet.is_genuine):
            flow.receive(packet, sender)


class Deployment:
    """Machines, store, servers and clients of one small deployment.

    ``fronts`` are the zones of the machines of clients, ``sides`` the (zone, service)
    of the machines of servers, and ``server_terms`` those of :class:`Server`.
    ``record`` gets a line for what was sent, answered and run, with the time since the
    start of traffic.
    """

    def __init__(
        self,
        folder,
        fronts,
        sides,
        cold_per_s=0.0,
        beat_s=1.2,
        seeds=(0, 1, 2),
        **server_terms,
    ):
        self.record = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()
        self.beat_s = beat_s  # heartbeatMs of the settings
        self.cold_per_s = cold_per_s
        self.cold_bound = cold_per_s * BOUNDS["coldFactor"] + BOUNDS["coldSlack"]
        self.seed = random.randrange(1 << 30)
        self.store = Store()
        self.temporary = tempfile.TemporaryDirectory(prefix="bilberrypath-case-")
        self.process_by_ip = {}
        self.settings_by_ip = {}
        self.disturbed_at = {}  # of a machine: when it was last started or signalled
        self.ready_fronts = set()
        self.runs = Counter()
        self.service_of_run = {}
        self.sent = set()
        self._tasks = []
        net = f"127.{random.randrange(20, 250)}"
        self.front_zone_by_ip = {
            f"{net}.{1 + ZONES.index(zone)}.{number + 10}": zone
            for number, zone in enumerate(fronts)
        }
        front_ips = list(self.front_zone_by_ip)
        self.seed_ips = [front_ips[index] for index in seeds]
        self.server_terms = server_terms
        self.servers = []
        self.store_ip = f"{net}.200.1"
        self.net = net
        for zone, service in sides:
            self._make_server(zone, service)
        self.clients = [
            Clients(self, zone, f"{net}.{151 + index}.1")
            for index, zone in enumerate(ZONES)
        ]
        self.port = self._choose_ports()

    def _make_server(self, zone, service):
        number = len(self.servers)
        ip = f"{self.net}.{101 + ZONES.index(zone)}.{number + 10}"
        name = f"s{number + 1}-{zone}"
        server = Server(self, name, ip, zone, service, **self.server_terms)
        self.servers.append(server)
        return server

    async def add_server(self, zone, service):
        """Add a machine with a server and the agent beside it."""
        server = self._make_server(zone, service)
        self.note("added", server.name)
        await server.start()
        settings = self._make_settings(server.ip, zone, "side", server, False)
        self.launch(server.ip, "agent", settings)

    def _choose_ports(self):
        names = "datagram ready control app outbound store peer metrics".split()
        addresses = [
            *self.front_zone_by_ip,
            *(server.ip for server in self.servers),
            *(clients.ip for clients in self.clients),
            self.store_ip,
        ]
        for _ in range(20):
            base = random.randrange(20000, 30000)
            port = {name: base + index for index, name in enumerate(names)}
            try:
                for ip in addresses:
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        for number in port.values():
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((ip, number))
                return port
            except OSError:
                continue
        raise CannotRun("found no free ports")

    def note(self, *words):
        at = time.monotonic() - self.began
        self.record.write(f"{at:8.3f} {' '.join(map(str, words))}\n")

    def note_run(self, request_id, server):
        self.runs[request_id] += 1
        self.service_of_run[request_id] = server.service
        self.note("run", request_id, server.name, server.service)

    def note_open(self, server, key):
        self.note("flow", key[1], server.name)

    def put_config(self, version, routes, **limits):
        """Write a configuration; ``routes`` has the service by address."""
        names = sorted({server.service for server in self.servers})
        rows = [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": "non_idempotent",
                "timeoutMs": 1200,
                "targetLatencyMs": 225,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            for (host, port), service in routes.items()
        ]
        services = [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 2.0,
                "coldPerS": self.cold_per_s,
            }
            for name in names
        ]
        terms = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **limits,
        }
        config = {
            "version": version,
            "routes": rows,
            "services": services,
            "limits": terms,
        }
        self.store.put("op/config", config)
        self.note("config", version, routes)

    def _make_settings(self, ip, zone, machine_class, server=None, bootstrap=True):
        port = self.port
        listen = {
            "datagramAddr": f"{ip}:{port['datagram']}",
            "ready": f"{ip}:{port['ready']}",
            "control": f"{ip}:{port['control']}",
        }
        if server is not None:
            listen["outbound"] = f"{ip}:{port['outbound']}"
        seeds = [f"{seed}:{port['control']}" for seed in self.seed_ips]
        settings = {
            "nodeName": f"{machine_class}-{ip}",
            "machineClass": machine_class,
            "ip": ip,
            "zone": zone,
            "region": REGION,
            "zones": {name: REGION for name in ZONES},
            "listen": listen,
            "internalPorts": [port["peer"], port["metrics"]],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "heartbeatMs": round(self.beat_s * 1000),
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "hash": "steady",
            "deployMode": "agent",
            "platform": {"address": f"{self.store_ip}:{port['store']}"},
        }
        if server is not None:
            settings["service"] = server.service
            settings["app"] = f"{ip}:{port['app']}"
        return settings

    async def start(self, routes):
        """Start everything, and wait until the routers have fronts in rotation."""
        await self.store.start((self.store_ip, self.port["store"]))
        self.put_config(7, routes)
        for clients in self.clients:
            await clients.start()
        for server in self.servers:
            await server.start()
            await asyncio.sleep(self.beat_s / len(self.servers))
        for ip, zone in self.front_zone_by_ip.items():
            self.launch(ip, "balancer", self._make_settings(ip, zone, "frontend"))
        for server in self.servers:
            settings = self._make_settings(server.ip, server.zone, "side", server)
            self.launch(server.ip, "agent", settings)
        self._tasks.append(asyncio.create_task(self._check_ready_forever()))
        deadline = time.monotonic() + 12
        while len(self.ready_fronts) < len(self.front_zone_by_ip):
            if time.monotonic() > deadline:
                raise CannotRun("not all front machines became ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def launch(self, ip, role, settings=None):
        """Start the process of a machine as the deploy file says."""
        if settings is None:
            settings = {**self.settings_by_ip[ip][1], "bootstrap": False}
        self.settings_by_ip[ip] = role, settings
        self.disturbed_at[ip] = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        entry = deploy["roles"][role]
        template = (ROOT / entry["template"]).read_text()
        path = Path(self.temporary.name) / f"{ip}.ini"
        path.write_text(fill_template(template, settings))
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BILBERRYPATH_BOOT"] = str(path)
        log = open(Path(self.temporary.name) / f"{ip}.log", "ab")
        self.process_by_ip[ip] = subprocess.Popen(
            shlex.split(entry["run"]),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note("process started", role, ip)

    def restart(self, ip):
        self.launch(ip, self.settings_by_ip[ip][0])

    def signal(self, ip, number):
        self.note("process", ip, signal.Signals(number).name)
        self.disturbed_at[ip] = time.monotonic()
        self.process_by_ip[ip].send_signal(number)

    async def wait_for_end(self, ip, timeout):
        deadline = time.monotonic() + timeout
        while self.process_by_ip[ip].poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        self.note("process ended", ip, self.process_by_ip[ip].poll())

    async def _check_ready_forever(self):
        misses = Counter()
        while True:
            begun = time.monotonic()
            ips = list(self.front_zone_by_ip)
            port = self.port["ready"]
            answers = await asyncio.gather(
                *(call_http((ip, port), "GET", "/v1/ready", timeout=0.4) for ip in ips)
            )
            for ip, status in zip(ips, answers, strict=True):
                if status == 200:
                    misses[ip] = 0
                    self.ready_fronts.add(ip)
                    continue
                misses[ip] += 1
                if misses[ip] >= 2:
                    self.ready_fronts.discard(ip)
            await asyncio.sleep(max(0.0, begun + 0.5 - time.monotonic()))

    def choose_front(self, zone, key):
        """Return the front that the routers of a zone give a flow's packets to."""
        local = [ip for ip, place in self.front_zone_by_ip.items() if place == zone]
        ready = [ip for ip in local if ip in self.ready_fronts]
        if ready and 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = sorted(self.ready_fronts)
        text = repr(key).encode()
        return max(ready, key=lambda ip: zlib.crc32(text + ip.encode()), default=None)

    async def request(self, clients, address, result, deadline_s=1.2):
        """Play one non-idempotent request of a client, with at most two retries.

        It is retried only if the flow did not open, or the server says that it did not
        run the request. ``result`` counts the outcomes.
        """
        deadline = time.monotonic() + deadline_s
        for _ in range(3):
            request_id = f"{random.randrange(1 << 60):015x}"
            flow = clients.make_flow(address)
            if not await flow.open():
                result["did not open"] += 1
                clients.flow_by_key.pop(flow.key, None)
                if time.monotonic() > deadline:
                    return
                continue
            body = os.urandom(400).hex()
            data = (
                f"POST /book HTTP/1.1\r\nHost: x\r\nBilberrypath-Request-Id: "
                f"{request_id}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
            self.sent.add(request_id)
            self.note("sent", request_id, flow.key[1], clients.zone)
            answer = await flow.ask(data, deadline)
            if answer is None:
                outcome = "cut" if flow.is_reset else "no answer"
                result[f"accepted, {outcome}"] += 1
                self.note(outcome, request_id, flow.key[1])
                clients.flow_by_key.pop(flow.key, None)
                return
            flow.close()
            status = int(answer.split()[1])
            self.note("answered", request_id, status)
            result[status] += 1
            if status == 200 or b"Not-Executed" not in answer:
                return

    def is_in_touch(self, ip):
        """Return whether a machine has been calm for stableWindowMs."""
        calm_for = time.monotonic() - self.disturbed_at.get(ip, 0)
        return calm_for > BOUNDS["stableWindowMs"] / 1000

    def find_holder(self, flow):
        """Return the living server that holds an open flow, or None."""
        for server in self.servers:
            held = server.flow_by_key.get(flow.key)
            if server.is_up and held is not None and held.is_open:
                return server
        return None

    async def keep_flow(self, clients, address, until, result, on_reset):
        """Keep one long flow with a request after each pause; end it if one fails.

        ``on_reset`` is called with the flow at the first reset that its client gets.
        """
        flow = clients.make_flow(address)
        if not await flow.open():
            result["did not open"] += 1
            return
        while time.monotonic() < until:
            request_id = f"{random.randrange(1 << 60):015x}"
            data = (
                f"GET /board HTTP/1.1\r\nHost: x\r\nBilberrypath-Request-Id: "
                f"{request_id}\r\nContent-Length: 0\r\n\r\n"
            ).encode()
            self.sent.add(request_id)
            self.note("sent", request_id, flow.key[1], clients.zone)
            answer = await flow.ask(data, time.monotonic() + 1.0)
            if flow.is_reset:
                result["reset"] += 1
                on_reset(flow)
                return
            if answer is None:
                result["no answer"] += 1
                self.note("no answer", request_id, flow.key[1])
                break
            result[int(answer.split()[1])] += 1
            self.note("answered", request_id)
            pause = random.uniform(0.4, 1.6)
            if await flow.wait(lambda: flow.is_reset, pause):
                result["reset"] += 1
                on_reset(flow)
                return
        flow.close()

    async def press(self, address, per_s, seconds, result):
        """Have the clients of all zones open flows at a steady rate."""
        begun = time.monotonic()
        tasks = set()
        for number in range(int(per_s * seconds)):
            pause = begun + number / per_s - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            clients = self.clients[number % len(self.clients)]
            task = asyncio.create_task(self.request(clients, address, result))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def close(self, keep_logs_in=None):
        """End all processes that were started, by their ids."""
        for task in self._tasks:
            task.cancel()
        for process in self.process_by_ip.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server.crash()
        if keep_logs_in:
            for path in Path(self.temporary.name).iterdir():
                Path(keep_logs_in, path.name).write_bytes(path.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def fill_template(template, settings):
    """Return a template with its placeholders filled, as the platform does."""

    def find(match):
        value = settings
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        if isinstance(value, bool):
            return str(value).lower()
        return str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", find, template)


async def play_until_stopped(play):
    """Play a case for 110 s at most; SIGTERM ends it early, and its processes too."""
    task = asyncio.create_task(play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, 110)


def run_case(play):
    """Run a case; return its exit status: 1 broken, 0 held, 2 could not run."""
    try:
        return int(asyncio.run(play_until_stopped(play)))
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        return 2
