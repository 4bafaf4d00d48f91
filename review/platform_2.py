"""Stand-ins of the second review: platform, store, routers, servers and clients.

They speak what the users' pages say, on loopback addresses. The system's own programs
run as separate processes, started with the commands of ``deploy/system.toml`` and with
settings files made from the templates that it names.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HEAD = struct.Struct("!H4sH4sHIIB3sII")
SYN, ACK, FIN, RST, BOUNCED = 128, 8, 16, 64, 1
KEY = os.urandom(16)
FIRST_RETRY, LAST_RETRY, SERVER_RETRIES = 0.2, 1.6, 8
SYN_COPIES, SYN_DEADLINE = (0.2, 0.6), 1.4
RESET_WINDOW = 76_800

HEARTBEAT_MS = 1200  # of both users' sites, as the next figures
FLOW_TTL_S = 60
GRACE_S = 6
RESTART_DELAY = 0.5  # seconds after which a process that ended is started again
READY_PERIOD = 0.5
MISSES = 2
STORE_DELAY = 0.004


def pack(src, dst, flags, seq, ack, data=b""):
    """Return a packet with a valid sum; ``src`` and ``dst`` are (IP, port)."""
    ends = (
        socket.inet_aton(src[0]),
        src[1],
        socket.inet_aton(dst[0]),
        dst[1],
    )
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    total = _sum(ends, flags, seq, ack, data)
    return HEAD.pack(len(data), *ends, 0, total, flags, b"\0\0\0", seq, ack) + data


def _sum(ends, flags, seq, ack, data):
    plain = HEAD.pack(
        len(data), *ends, 0, 0, flags & ~BOUNCED, b"\0\0\0", seq & 0xFFFFFFFF, ack
    )
    return zlib.crc32(plain + data, zlib.crc32(KEY))


class Packet:
    """A parsed packet; ``is_sound`` states whether its sum is that of its sender."""

    def __init__(self, datagram):
        fields = HEAD.unpack_from(datagram)
        self.datagram = datagram
        ends = fields[1:5]
        self.src = (socket.inet_ntoa(fields[1]), fields[2])
        self.dst = (socket.inet_ntoa(fields[3]), fields[4])
        self.sum, self.flags = fields[6], fields[7]
        self.seq, self.ack = fields[9], fields[10]
        self.data = datagram[HEAD.size :]
        self.is_sound = len(self.data) == fields[0] and self.sum == _sum(
            ends, self.flags, self.seq, self.ack, self.data
        )

    def has(self, flag):
        return bool(self.flags & flag)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data)

    def error_received(self, exc):
        pass


async def open_udp(address, handle):
    """Return a UDP transport that passes each datagram to ``handle``."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    sock.bind(address)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(handle), sock=sock
    )
    return transport


async def call_http(address, method, path, body=b"", timeout=1.0):
    """Return the status and body of one request on a connection of its own, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            data = await reader.read()
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), body
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, and when."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():9.3f}  {text}", flush=True)


class Store:
    """The platform's metadata store: range reads and watches of the operator's keys.

    ``era`` is sent with each answer. A subclass may change :meth:`answer`.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 7
        self.item_by_key = {}
        self.history = []
        self.era = 1
        self._changed = asyncio.Event()
        self._connections = set()

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self):
        self._server.close()

    def put(self, key, value):
        """Write a key as the operator; return when the write was acknowledged."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.item_by_key[key] = item
        self.history.append(item)
        self._wake()
        return time.monotonic()

    def remove(self, key):
        """Remove a key as the operator; return when that was acknowledged."""
        self.revision += 1
        del self.item_by_key[key]
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self._wake()
        return time.monotonic()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.decode().split("\r\n")[0].split(" ")
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                status, body = await self.answer(method, parts.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} S\r\nStore-Era: {self.era}\r\nContent-Type: "
                    f"application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def answer(self, method, path, query):
        await asyncio.sleep(STORE_DELAY)
        if method != "GET":
            return 404, {}
        if path == "/v1/kv-range":
            return 200, self._read(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        return 404, {}

    def _read(self, query):
        after = query.get("after", "")
        keys = sorted(
            k for k in self.item_by_key if k.startswith(query["prefix"]) and k > after
        )
        items = [self.item_by_key[k] for k in keys[:500]]
        more = len(keys) > 500
        return {"items": items, "hasMore": more, "currentRev": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after > self.revision:
                return 410, {"currentRev": self.revision}
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Process:
    """One of the system's programs on its machine, as the platform keeps it running."""

    def __init__(self, bench, name, role, settings):
        self.bench, self.name, self.role, self.settings = bench, name, role, settings
        self.process = None
        self.is_wanted = False
        self.exits = []  # (time, exit code, whether the platform asked for it)
        self._asked = False
        self._keeper = None

    def start(self):
        self.is_wanted = True
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self):
        while self.is_wanted:
            await self._launch()
            code = await self.process.wait()
            self.exits.append((time.monotonic(), code, self._asked))
            self.bench.record.write(f"{self.name} ended with {code}")
            if self._asked:
                await self._asked_end.wait()
            self._asked = False
            await asyncio.sleep(self.bench.restart_delay)

    async def _launch(self):
        path = self.bench.folder / f"{self.name}.ini"
        path.write_text(self.bench.render(self.role, self.settings))
        words = self.bench.role_by_name[self.role]["run"].split()
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BILBERRYPATH_BOOT"] = str(path)
        log = open(self.bench.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.launched_at = time.monotonic()
        self.bench.record.write(f"{self.name} started")

    @property
    def is_running(self):
        """Whether the process runs and was not asked to end."""
        has_process = self.process is not None and self.process.returncode is None
        return has_process and not self._asked

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self, dark_for=0.0):
        """Kill the process; it is started again after ``dark_for`` and the delay."""
        self._asked, self._asked_end = True, asyncio.Event()
        self.bench.record.write(f"{self.name} is sent SIGKILL")
        self.signal(signal.SIGKILL)
        await asyncio.sleep(dark_for)
        self._asked_end.set()

    async def terminate(self):
        """Send SIGTERM, SIGKILL after the grace; the process is started again."""
        self._asked, self._asked_end = True, asyncio.Event()
        self.bench.record.write(f"{self.name} is sent SIGTERM")
        process = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
        self._asked_end.set()

    async def stop(self):
        """End the process for good."""
        self.is_wanted = False
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Server:
    """A server beside an agent: it accepts flows, runs requests and sends heartbeats.

    ``runs`` has (time, request id) of each request whose run began.
    """

    def __init__(self, bench, name, host, zone, service, work=0.04, slots=3):
        self.bench, self.name, self.host = bench, name, host
        self.zone, self.service = zone, service
        self.work, self.slots = work, slots
        self.runs = []
        self.opens = []  # (time, flow) of accepted opening packets
        self.state = "ready"
        self.starts = 0
        self.is_up = False
        self.acked_at = {}  # when each state was first acknowledged
        self.own, self.foreign = {}, {}  # times of packets that are no opens, by flow
        self.ended_at = {}  # by flow
        self._flows = {}
        self._tasks = set()

    async def start(self):
        self.starts += 1
        self.is_up = True
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self._flows.clear()
        self._running = asyncio.Semaphore(self.slots)
        address = (self.host, self.bench.port["app"])
        self._udp = await open_udp(address, self._receive)
        self._health = await asyncio.start_server(self._serve_health, *address)
        self._beating = asyncio.create_task(self._beat_forever())
        self.bench.record.write(f"server {self.name} ({self.service}) started")

    def crash(self):
        """End at once; flows and requests are lost."""
        self.is_up = False
        self._beating.cancel()
        self._udp.close()
        self._health.close()
        for task in list(self._tasks):
            task.cancel()
        self._flows.clear()
        self.bench.record.write(f"server {self.name} ended")

    async def leave(self, drain_time):
        """Report that it is draining, serve on, deregister, and end."""
        self.state = "draining"
        while not await self.beat():
            await asyncio.sleep(0.2)
        self.bench.record.write(f"server {self.name} is draining")
        await asyncio.sleep(drain_time)
        await call_http(self.control, "DELETE", f"/v1/instances/{self.id}")
        self.crash()

    def close(self):
        if self.is_up:
            self.crash()

    @property
    def control(self):
        return self.host, self.bench.port["control"]

    async def _serve_health(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.seq += 1
        state = self.state
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.bench.port['app']}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        path = f"/v1/instances/{self.id}"
        reply = await call_http(self.control, "PUT", path, json.dumps(body).encode())
        is_acked = reply is not None and 200 <= reply[0] < 300
        if is_acked:
            self.acked_at.setdefault(state, time.monotonic())
        return is_acked

    async def _beat_forever(self):
        while True:
            is_acked = await self.beat()
            wait = HEARTBEAT_MS / 1000 if is_acked else 0.05
            await asyncio.sleep(wait * random.uniform(0.95, 1.05))

    def _send(self, datagram):
        if self.is_up:
            self._udp.sendto(datagram, (self.host, self.bench.port["outbound"]))

    def _receive(self, datagram):
        packet = Packet(datagram)
        if not packet.is_sound:
            self.bench.record.write(f"server {self.name}: packet with a wrong sum")
            self.bench.unsound += 1
            return
        key = (packet.src, packet.dst)
        flow = self._flows.get(key)
        if packet.has(SYN):
            self._accept(packet, key, flow)
        elif flow is None or not flow.takes(packet):
            if flow is not None:
                del self._flows[key]
            self.foreign.setdefault(key, []).append(time.monotonic())
            self._bounce(packet)
        else:
            self.own.setdefault(key, []).append(time.monotonic())
            flow.receive(packet)

    def _accept(self, packet, key, flow):
        if flow is None:
            self.ended_at.pop(key, None)
            flow = self._flows[key] = ServerFlow(self, packet)
            self.opens.append((time.monotonic(), key))
        flow.send_syn_ack()

    def _bounce(self, packet):
        datagram = bytearray(packet.datagram)
        datagram[22] |= BOUNCED
        datagram[23:26] = b"\0\0\0"
        self._send(bytes(datagram))

    def holds(self, key):
        """Return whether a flow is open here."""
        flow = self._flows.get(key)
        return flow is not None and flow.is_open and not flow.is_ended

    def run(self, flow, request):
        task = asyncio.create_task(self._run(flow, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, flow, request):
        match = re.search(rb"Bilberrypath-Request-Id: (\S+)", request)
        request_id = match[1].decode()
        async with self._running:
            self.runs.append((time.monotonic(), request_id))
            self.bench.record.write(f"server {self.name} runs {request_id}")
            await asyncio.sleep(self.work)
        body = f"{request_id} by {self.name}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nBilberrypath-Server-Signature: {self.service}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        flow.send_data(head.encode() + body)
        if self.state == "draining":
            flow.close()


class ServerFlow:
    """A server's end of a flow; each request and each answer fits one packet."""

    def __init__(self, server, syn):
        self.server = server
        self.client, self.route = syn.src, syn.dst
        self.seq = self.first_seq = random.getrandbits(32)
        self.next_in = (syn.seq + 1) & 0xFFFFFFFF
        self.is_open = False
        self._unacked = None
        self._tries = 0

    @property
    def is_ended(self):
        return (self.client, self.route) in self.server.ended_at

    def _end(self):
        self.server.ended_at[(self.client, self.route)] = time.monotonic()

    def send_syn_ack(self):
        self._send(SYN | ACK, self.first_seq)

    def takes(self, packet):
        """Return whether a packet is of this flow: its client chose this server."""
        if not self.is_open and packet.ack != (self.first_seq + 1) & 0xFFFFFFFF:
            return False
        if not self.is_open:
            self.is_open = True
            self.seq = (self.first_seq + 1) & 0xFFFFFFFF
        return True

    def receive(self, packet):
        if packet.has(RST):
            self._end()
            self._unacked = None
            return
        if self._unacked is not None and packet.ack == self._unacked[1]:
            self._unacked = None
        if packet.data and packet.seq == self.next_in and not self.is_ended:
            self.next_in = (self.next_in + len(packet.data)) & 0xFFFFFFFF
            self._send(ACK, self.seq)
            self.server.run(self, packet.data)
        elif packet.data and self.is_ended:
            self._send(RST, self.seq)
        elif packet.data:
            self._send(ACK, self.seq)
        if packet.has(FIN):
            if not self.is_ended:
                self._end()
                self.next_in = (self.next_in + 1) & 0xFFFFFFFF
                self._send(FIN | ACK, self.seq)
                self.seq = (self.seq + 1) & 0xFFFFFFFF
            else:
                self._send(ACK, self.seq)

    def send_data(self, data):
        seq = self.seq
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        self._unacked = (seq, self.seq, data)
        self._tries = 0
        self._send_unacked(FIRST_RETRY)

    def close(self):
        """Send a FIN after the last answer."""
        if not self.is_ended:
            self._end()
            self._send(FIN | ACK, self.seq)
            self.seq = (self.seq + 1) & 0xFFFFFFFF

    def _send_unacked(self, wait):
        if self._unacked is None or not self.server.is_up:
            return
        self._send(ACK, self._unacked[0], self._unacked[2])
        self._tries += 1
        if self._tries <= SERVER_RETRIES:
            loop = asyncio.get_running_loop()
            loop.call_later(wait, self._send_unacked, min(LAST_RETRY, 2 * wait))

    def _send(self, flags, seq, data=b""):
        packet = pack(self.route, self.client, flags, seq, self.next_in, data)
        self.server._send(packet)


class Router:
    """The platform's routers: they ask for readiness and forward clients' packets."""

    def __init__(self, bench):
        self.bench = bench
        self.misses = {}
        self._tasks = []

    def start(self):
        for name, (host, _) in self.bench.fronts.items():
            self.misses[name] = MISSES
            self._tasks.append(asyncio.create_task(self._poll(name, host)))

    def close(self):
        for task in self._tasks:
            task.cancel()

    async def _poll(self, name, host):
        while True:
            at = time.monotonic()
            address = (host, self.bench.port["ready"])
            reply = await call_http(address, "GET", "/v1/ready", timeout=READY_PERIOD)
            is_ready = reply is not None and reply[0] == 200
            self.misses[name] = 0 if is_ready else self.misses[name] + 1
            await asyncio.sleep(max(0.0, at + READY_PERIOD - time.monotonic()))

    def choose(self, zone, key):
        """Return the host that a client's packet goes to, or None."""
        ready = [n for n, misses in self.misses.items() if misses < MISSES]
        here = [n for n, (_, z) in self.bench.fronts.items() if z == zone]
        chosen = [n for n in here if n in ready]
        if not chosen:
            chosen = ready
        elif 2 * len(chosen) < len(here):
            chosen = here
        if not chosen:
            return None
        if self.bench.hash == "mod":
            best = sorted(chosen)[zlib.crc32(key.encode()) % len(chosen)]
        else:
            best = max(chosen, key=lambda n: zlib.crc32(f"{n}{key}".encode()))
        return self.bench.fronts[best][0]


class Client:
    """A client of one zone; each of its flows has a port of its own."""

    def __init__(self, bench, host, zone):
        self.bench, self.host, self.zone = bench, host, zone
        self._ports = itertools.count(20000)
        self.flow_by_port = {}

    async def start(self):
        address = (self.host, self.bench.port["datagram"])
        self._udp = await open_udp(address, self._receive)

    def close(self):
        self._udp.close()

    def send(self, datagram, key):
        host = self.bench.router.choose(self.zone, key)
        if host is not None:
            self._udp.sendto(datagram, (host, self.bench.port["datagram"]))

    def _receive(self, datagram):
        packet = Packet(datagram)
        flow = self.flow_by_port.get(packet.dst[1])
        if flow is not None and packet.src == flow.route:
            flow.receive(packet)

    def new_flow(self, route):
        port = next(self._ports)
        flow = self.flow_by_port[port] = ClientFlow(self, port, route)
        return flow


class ClientFlow:
    """A client's end of a flow.

    ``ended`` says why it ended: "reset by the system", "reset by its server" or "".
    """

    def __init__(self, client, port, route):
        self.client, self.bench = client, client.bench
        self.end, self.route = (client.host, port), route
        self.key = (self.end, self.route)
        self.seq = self.acked = random.getrandbits(32)
        self.next_in = 0
        self.is_open = False
        self.ended = ""
        self._answer = None
        self._changed = asyncio.Event()

    def _send(self, flags, seq, ack, data=b""):
        self.client.send(
            pack(self.end, self.route, flags, seq, ack, data), str(self.key)
        )

    async def open(self):
        """Send the SYN and its copies; return whether the flow was accepted."""
        started_at = time.monotonic()
        times = [0.0, *SYN_COPIES, SYN_DEADLINE]
        for count, until in enumerate(times[1:]):
            self._send(SYN, self.seq, count)
            await self._wait(
                lambda: self.is_open or self.ended,
                started_at + until - time.monotonic(),
            )
            if self.is_open or self.ended:
                break
        return self.is_open and not self.ended

    async def ask(self, request_id, deadline):
        """Send a request; return its answer's body, or None.

        A flow whose request is not answered before the deadline is given up.
        """
        data = (
            f"POST /{request_id} HTTP/1.1\r\nHost: x\r\n"
            f"Bilberrypath-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        self._answer = None
        until = time.monotonic() + deadline
        seq, wait = self.seq, FIRST_RETRY
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        while time.monotonic() < until and self._answer is None and not self.ended:
            if self.acked != self.seq:
                self._send(ACK, seq, self.next_in, data)
            at = min(wait, until - time.monotonic())
            await self._wait(lambda: self._answer is not None or self.ended, at)
            wait = min(LAST_RETRY, 2 * wait)
        if self._answer is None:
            self.ended = self.ended or "given up"
        return self._answer

    def finish(self):
        """Close the flow."""
        if self.is_open and not self.ended:
            self._send(FIN | ACK, self.seq, self.next_in)
            self.ended = "closed"
        loop = asyncio.get_running_loop()
        port = self.end[1]
        loop.call_later(3.0, self.client.flow_by_port.pop, port, None)

    async def _wait(self, is_met, timeout):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout)):
                while not is_met():
                    self._changed.clear()
                    await self._changed.wait()

    def receive(self, packet):
        if self.ended in ("closed", "given up"):
            return
        if packet.has(RST):
            self._receive_reset(packet)
        elif not packet.is_sound:
            self.bench.record.write(f"client {self.end}: packet with a wrong sum")
            self.bench.unsound += 1
        elif packet.has(SYN):
            if not self.is_open:
                self.is_open = True
                self.next_in = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = self.acked = (self.seq + 1) & 0xFFFFFFFF
                self._send(ACK, self.seq, self.next_in)
        elif self.is_open:
            self._receive_data(packet)
        self._changed.set()

    def _receive_reset(self, packet):
        is_system = packet.sum == 0 and not packet.data
        distance = (packet.seq - self.next_in) & 0xFFFFFFFF
        is_near = min(distance, (1 << 32) - distance) <= RESET_WINDOW
        if is_system and self.is_open and not is_near:
            return
        if is_system or packet.is_sound:
            sender = "the system" if is_system else "its server"
            self.ended = f"reset by {sender}"
            self.reset_at = time.monotonic()

    def _receive_data(self, packet):
        self.acked = packet.ack
        if packet.data and packet.seq == self.next_in:
            self.next_in = (self.next_in + len(packet.data)) & 0xFFFFFFFF
            self._answer = packet.data.partition(b"\r\n\r\n")[2]
        if packet.data:
            self._send(ACK, self.seq, self.next_in)
        if packet.has(FIN):
            self.ended = "closed by its server"


def make_config(version, routes, service, cold_per_s=0):
    """Return the operator's configuration: routes to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{host}-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "service": service,
                "type": "non_idempotent",
                "timeoutMs": 1200,
                "targetLatencyMs": 200,
                "priority": 1,
            }
            for host, port in routes
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 2000,
                "coldStartS": 2,
                "coldPerS": cold_per_s,
            }
        ],
        "limits": {"idleTimeoutMs": 12000},
    }


class Bench:
    """A small deployment: machines by zone, the platform around them, its clients.

    ``fronts`` has (host, zone) by name, ``agents`` likewise.
    """

    def __init__(self, folder, front_zones, side, zones="abc", hash="steady"):
        self.hash = hash
        self.restart_delay = RESTART_DELAY
        self.case = Path(folder)
        self.record = Record(folder)
        self.zones = [f"zone-{letter}" for letter in zones]
        self.network = random.randrange(80, 250)
        names = ["datagram", "ready", "control", "outbound", "app", "store", "peer"]
        self.port = dict(zip(names, self._find_ports(len(names) + 1), strict=False))
        self.fronts, self.sides = {}, {}
        for number, zone in enumerate(front_zones, 1):
            host = f"127.{self.network}.1.{number}"
            self.fronts[f"frontend-{zone}-{number}"] = (host, f"zone-{zone}")
        for number, (zone, service) in enumerate(side, 1):
            host = f"127.{self.network}.2.{number}"
            self.sides[f"side-{zone}-{number}"] = (host, f"zone-{zone}", service)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role_by_name = tomllib.load(file)["roles"]
        self.unsound = 0
        self.store = Store(self.record)
        self.router = Router(self)
        self.processes, self.servers, self.clients = {}, {}, []
        self.is_first_start = True
        self.outcomes = []  # of requests: see Traffic

    def _find_ports(self, count):
        """Return successive ports that are free, the last two for the peers."""
        for _ in range(50):
            first = random.randrange(10000, 30000)
            with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        stack.enter_context(sock)
                        sock.bind(("0.0.0.0", port))
                return list(range(first, first + count))
        raise RuntimeError("found no free ports")

    def render(self, role, values):
        """Return the settings of a role, from its template in the deploy file."""
        text = (ROOT / self.role_by_name[role]["template"]).read_text()

        def insert(match):
            value = values
            for name in match[1].split("."):
                value = value[int(name)] if name.isdigit() else value[name]
            if isinstance(value, bool):
                return str(value).lower()
            return ",".join(value) if isinstance(value, list) else str(value)

        return re.sub(r"\{\{([\w.]+)\}\}", insert, text)

    def make_settings(self, host, zone, service=None):
        port = self.port
        values = {
            "ip": host,
            "zone": zone,
            "listen": {
                "datagramAddr": f"{host}:{port['datagram']}",
                "ready": f"{host}:{port['ready']}",
                "control": f"{host}:{port['control']}",
                "outbound": f"{host}:{port['outbound']}",
            },
            "internalPorts": [port["peer"], port["peer"] + 1],
            "seeds": self.seeds,
            "bootstrap": self.is_first_start,
            "bounds": {"flowTtlS": FLOW_TTL_S},
            "heartbeatMs": HEARTBEAT_MS,
            "platform": {"address": f"{self.store_host}:{port['store']}"},
        }
        if service is not None:
            values |= {"service": service, "app": f"{host}:{port['app']}"}
        return values

    @property
    def store_host(self):
        return f"127.{self.network}.8.1"

    @property
    def seeds(self):
        hosts = [host for host, _ in self.fronts.values()][:3]
        return [f"{host}:{self.port['control']}" for host in hosts]

    async def start(self, folder, client_zones="abc"):
        """Start the platform, the machines and the clients."""
        self.folder = Path(folder)
        await self.store.start((self.store_host, self.port["store"]))
        for name, (host, zone, service) in self.sides.items():
            server = self.servers[name] = Server(self, name, host, zone, service)
            self.add_process(name, "agent", self.make_settings(host, zone, service))
            await server.start()
        for name, (host, zone) in self.fronts.items():
            self.add_process(name, "balancer", self.make_settings(host, zone))
        self.router.start()
        for number, letter in enumerate(client_zones, 1):
            host = f"127.{self.network}.9.{number}"
            client = Client(self, host, f"zone-{letter}")
            await client.start()
            self.clients.append(client)
        self.is_first_start = False

    def add_process(self, name, role, settings):
        process = self.processes[name] = Process(self, name, role, settings)
        process.start()
        settings = dict(settings)
        settings["bootstrap"] = False  # from the second start on
        asyncio.get_running_loop().call_later(
            0.5, setattr, process, "settings", settings
        )

    async def add_side(self, letter, service):
        """Add a machine with an agent and a server; return its name."""
        number = len(self.sides) + 1
        name, host = f"side-{letter}-{number}", f"127.{self.network}.2.{number}"
        self.sides[name] = (host, f"zone-{letter}", service)
        server = self.servers[name] = Server(
            self, name, host, f"zone-{letter}", service
        )
        settings = self.make_settings(host, f"zone-{letter}", service)
        self.add_process(name, "agent", settings)
        await server.start()
        return name

    async def remove_side(self, name, drain_time):
        """Have a server leave; then stop its agent and remove the machine."""
        await self.servers[name].leave(drain_time)
        process = self.processes[name]
        process.is_wanted = False
        await process.terminate()

    async def wait_until_served(self, route, timeout=20.0):
        """Wait until a request of each client is served."""
        until = time.monotonic() + timeout
        for client in self.clients:
            while True:
                flow = client.new_flow(route)
                is_served = await flow.open() and await flow.ask("warm-up", 1.0)
                flow.finish()
                if is_served:
                    break
                if time.monotonic() > until:
                    return False
        return True

    async def close(self):
        for process in self.processes.values():
            await process.stop()
        for server in self.servers.values():
            server.close()
        self.router.close()
        for client in self.clients:
            client.close()
        self.store.close()

    def count_logged(self, text):
        """Return how many log lines of the processes contain a text, by process."""
        counts = {}
        for path in sorted(self.folder.glob("*.log")):
            count = path.read_text(errors="replace").count(text)
            if count:
                counts[path.stem] = count
        return counts


class Traffic:
    """Requests of all clients at a steady rate, each on a flow of its own.

    ``outcomes`` has (time sent, request id, "served" or how it ended).
    """

    def __init__(self, bench, route, per_s, deadline=1.2):
        self.bench, self.route = bench, route
        self.per_s, self.deadline = per_s, deadline
        self.outcomes = []
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._sender = None

    def start(self):
        self._sender = asyncio.create_task(self._send_forever())

    async def stop(self):
        self._sender.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)

    async def _send_forever(self):
        at = time.monotonic()
        while True:
            at += 1 / self.per_s
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self):
        number = next(self._numbers)
        client = self.bench.clients[number % len(self.bench.clients)]
        request_id = f"q{number:05}"
        sent_at = time.monotonic()
        flow = client.new_flow(self.route)
        if not await flow.open():
            result = flow.ended or "not accepted"
        else:
            answer = await flow.ask(request_id, self.deadline)
            is_own = answer is not None and answer.startswith(request_id.encode())
            result = "served" if is_own else flow.ended or "no answer"
        flow.finish()
        self.outcomes.append((sent_at, request_id, result))
        self.bench.record.write(f"{request_id} from {client.zone}: {result}")

    def count(self, begin, end):
        """Return how many requests were sent in a span, and how many were served."""
        sent = [o for o in self.outcomes if begin <= o[0] < end]
        return len(sent), sum(o[2] == "served" for o in sent)


def run_case(main):
    """Run a case in a temporary folder of its own; exit with its status."""
    import tempfile

    if not (ROOT / "target" / "deps" / "bilberrypath").is_dir():
        print("target/deps has no package; run the build of deploy/system.toml first")
        sys.exit(2)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        folder = os.environ.get("REVIEW_LOGS", folder)  # an empty folder to keep logs
        try:
            status = asyncio.run(main(folder))
        except Exception as error:  # the case itself failed
            print(f"the case could not run: {type(error).__name__}: {error}")
            status = 2
    sys.exit(status)
