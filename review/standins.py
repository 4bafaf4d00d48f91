"""Stand-ins for the platform, servers, routers and clients of the review's scripts.

They run in the script's own process, on loopback addresses and the real clock, and
speak what PROTOCOL.md of the users' pages says. The project's balancers and agents are
separate processes, started with the commands of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HEADER = struct.Struct("!H4sH4sHIIB3sII")
SYN, ACK, FIN, RST, BOUNCED = 0x80, 0x08, 0x10, 0x40, 0x01
SUM_KEY = b"known to clients and servers only"
HEARTBEAT_MS = 770
IDLE_TIMEOUT_MS = 15000
FLOW_TTL_S = 60
RESET_WINDOW = 76800  # of a reset's number, around the client's last acknowledgement
RETRANSMIT_FIRST, RETRANSMIT_MOST = 0.2, 1.6
ROUTE = ("198.18.0.1", 8443)


class Packet:
    """The fields of one packet, with the datagram that it was read from."""

    def __init__(self, datagram):
        fields = HEADER.unpack_from(datagram)
        self.datagram = datagram
        self.source = (socket.inet_ntoa(fields[1]), fields[2])
        self.target = (socket.inet_ntoa(fields[3]), fields[4])
        self.sum, self.flags = fields[6], fields[7]
        self.seq, self.ack = fields[9], fields[10]
        self.data = datagram[HEADER.size :]
        self.is_valid = fields[0] == len(self.data)

    @property
    def is_intact(self):
        """Whether the sender wrote the packet so, by its keyed sum."""
        return self.is_valid and self.sum == compute_sum(self.datagram)


def compute_sum(datagram):
    """Return the keyed sum over all fields except echo, pad and BOUNCED."""
    covered = datagram[:14] + bytes([datagram[22] & ~BOUNCED]) + datagram[26:]
    return zlib.crc32(SUM_KEY + covered) or 1


def make_packet(source, target, flags, seq, ack, data=b""):
    """Return the datagram of a packet, with its sum."""
    fields = (
        len(data),
        socket.inet_aton(source[0]),
        source[1],
        socket.inet_aton(target[0]),
        target[1],
        0,
        0,
        flags,
        b"\0\0\0",
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
    )
    datagram = bytearray(HEADER.pack(*fields) + data)
    struct.pack_into("!I", datagram, 18, compute_sum(bytes(datagram)))
    return bytes(datagram)


class Record:
    """What was sent, answered and run, by time since the start of the script."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, event, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {words}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def datagram_received(self, data, addr):
        self._handle(data)


async def bind_udp(address, handle):
    """Return a UDP transport that passes each datagram to ``handle``."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Receiver(handle), local_addr=address
    )
    return transport


async def call_http(address, method, path, body=b"", timeout=1.0):
    """Return the status of a call on a connection of its own, None if unanswered."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status_line = await reader.readline()
            return int(status_line.split()[1]) if status_line else None
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Store:
    """The platform's store: the operator writes to it, the system reads and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def close(self):
        self._server.close()

    def put(self, key, value):
        """Write a key; the return stands for the operator's acknowledgement."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self._answer(head.split(b" ", 2)[1].decode())
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/v1/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "hasMore": len(keys) > 500,
                "currentRev": self.revision,
            }
        if parts.path == "/v1/kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["revision"] > int(query["after"])
                and item["key"].startswith(query["prefix"])
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)


class ServerFlow:
    """One flow at a server: its numbers, and the answer that is not confirmed yet."""

    def __init__(self, client, route, own_seq, client_seq):
        self.client, self.route = client, route
        self.own_seq = own_seq
        self.expected = client_seq + 1
        self.is_open = False
        self.answer = None


class Server:
    """An application server beside one agent: flows, answers and heartbeats.

    ``opens`` lists the time and client of each SYN that it took first.
    """

    def __init__(self, net, host, zone, service, cold_s=0.0):
        self.net, self.host, self.zone, self.service = net, host, zone, service
        self.cold_s = cold_s
        self.flow_by_client = {}
        self.opens = []
        self.state = "ready"
        self._seq = 0
        self._tasks = set()
        self._transport = self._health = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        name = f"{self.host}/{self.service}/{self.born}"
        self.instance_id = "i-" + hashlib.sha256(name.encode()).hexdigest()[:8]
        app = (self.host, self.net.app_port)
        self._transport = await bind_udp(app, self._receive)
        self._health = await asyncio.start_server(self._serve_health, *app)
        self._spawn(self._send_heartbeats())
        self.net.record.write("server-start", host=self.host, service=self.service)

    def crash(self):
        """End at once, with all flows, and say nothing."""
        self._transport.close()
        self._health.close()
        for task in self._tasks:
            task.cancel()
        self.flow_by_client.clear()
        self._transport = None
        self.net.record.write("server-end", host=self.host, service=self.service)

    @property
    def is_up(self):
        return self._transport is not None

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_health(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def _send_heartbeats(self):
        address = (self.host, self.net.control_port)
        while True:
            self._seq += 1
            cold_left = self.started_at + self.cold_s - time.monotonic()
            report = {
                "service": self.service,
                "address": f"{self.host}:{self.net.app_port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "coldRemainingMs": max(0, int(cold_left * 1000)),
                "seq": self._seq,
                "born": self.born,
            }
            path = f"/v1/instances/{self.instance_id}"
            body = json.dumps(report).encode()
            status = await call_http(address, "PUT", path, body)
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.15)

    def _send(self, datagram):
        if self._transport is not None:
            self._transport.sendto(datagram, (self.host, self.net.outbound_port))

    def _receive(self, datagram):
        packet = Packet(datagram)
        if not packet.is_intact:
            self.net.record.write("forged", host=self.host)
            return
        flow = self.flow_by_client.get(packet.source)
        if packet.flags & SYN:
            self._accept(packet, flow)
        elif flow is None:
            self.net.record.write("bounced", host=self.host, client=packet.source[1])
            bounced = bytearray(datagram)
            bounced[22] |= BOUNCED
            self._send(bytes(bounced))
        elif packet.flags & FIN:
            del self.flow_by_client[packet.source]
            self._reply(flow, FIN | ACK)
        else:
            self._take_data(packet, flow)

    def _accept(self, packet, flow):
        if flow is None:
            own_seq = self.net.rng.getrandbits(32)
            flow = ServerFlow(packet.source, packet.target, own_seq, packet.seq)
            self.flow_by_client[packet.source] = flow
            self.opens.append((time.monotonic(), packet.source))
            self.net.record.write(
                "syn", host=self.host, service=self.service, client=packet.source[1]
            )
        datagram = make_packet(
            flow.route, flow.client, SYN | ACK, flow.own_seq, flow.expected
        )
        self._send(datagram)

    def _reply(self, flow, flags, data=b""):
        seq = flow.own_seq + 1
        self._send(
            make_packet(flow.route, flow.client, flags, seq, flow.expected, data)
        )
        flow.own_seq += len(data)

    def _take_data(self, packet, flow):
        if packet.ack == (flow.own_seq + 1) & 0xFFFFFFFF:
            flow.is_open = True
            flow.answer = None if not packet.data else flow.answer
        if not packet.data:
            return
        if packet.seq == flow.expected & 0xFFFFFFFF:
            flow.expected += len(packet.data)
            flow.answer = None
            self._spawn(self._run(flow, packet.data))
        elif flow.answer is not None:
            self._send(flow.answer)

    async def _run(self, flow, data):
        request_id = data.decode()
        self.net.record.write("run", host=self.host, request=request_id)
        await asyncio.sleep(self.net.work_s)
        body = f"{request_id} by {self.instance_id}".encode()
        seq = flow.own_seq + 1
        flow.answer = make_packet(
            flow.route, flow.client, ACK, seq, flow.expected, body
        )
        flow.own_seq += len(body)
        self._send(flow.answer)
        timeout = RETRANSMIT_FIRST
        for _ in range(8):
            answer = flow.answer
            await asyncio.sleep(timeout)
            if flow.answer is not answer or answer is None:
                return
            self._send(answer)
            timeout = min(RETRANSMIT_MOST, 2 * timeout)


class ClientFlow:
    """A client's end of one flow."""

    def __init__(self, client, address):
        self.client, self.address = client, address
        self.seq = client.net.rng.getrandbits(31)
        self.ack = 0
        self.is_open = self.is_reset = False
        self.was_reset_open = False
        self.answers = []
        self._changed = asyncio.Event()

    async def open(self):
        """Send the SYN and its copies; return whether a server accepted it."""
        for copies, wait in enumerate((0.2, 0.4, 0.8)):
            packet = make_packet(self.address, ROUTE, SYN, self.seq, copies)
            self.client.send(self.address, packet)
            if await self._wait(lambda: self.is_open or self.is_reset, wait):
                break
        return self.is_open and not self.is_reset

    async def request(self, request_id, deadline_s=2.5):
        """Send a request until it is answered; return whether it was."""
        data = request_id.encode()
        expected = len(self.answers) + 1
        packet = make_packet(self.address, ROUTE, ACK, self.seq, self.ack, data)
        self.seq += len(data)
        end = time.monotonic() + deadline_s
        timeout = RETRANSMIT_FIRST
        while time.monotonic() < end and not self.is_reset:
            self.client.send(self.address, packet)
            wait = min(timeout, end - time.monotonic())
            if await self._wait(
                lambda: len(self.answers) >= expected or self.is_reset, wait
            ):
                break
            timeout = min(RETRANSMIT_MOST, 2 * timeout)
        is_answered = len(self.answers) >= expected
        if is_answered:
            self.client.send(
                self.address,
                make_packet(self.address, ROUTE, ACK, self.seq, self.ack),
            )
        return is_answered

    def close(self):
        packet = make_packet(self.address, ROUTE, FIN | ACK, self.seq, self.ack)
        self.client.send(self.address, packet)

    def receive(self, packet):
        if packet.flags & RST:
            self._handle_reset(packet)
        elif not packet.is_intact:
            self.client.net.record.write("forged", client=self.address[1])
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.seq += 1
                self.ack = packet.seq + 1
        elif packet.data and packet.seq == self.ack & 0xFFFFFFFF:
            self.ack += len(packet.data)
            self.answers.append(packet.data.decode())
        elif packet.data:
            ack = make_packet(self.address, ROUTE, ACK, self.seq, self.ack)
            self.client.send(self.address, ack)
        self._changed.set()

    def _handle_reset(self, packet):
        is_own = packet.sum == 0 and not packet.data
        near = abs(packet.seq - (self.ack & 0xFFFFFFFF)) <= RESET_WINDOW
        if is_own and (near or not self.is_open):
            self.was_reset_open = self.is_open
            self.is_reset = True
            self.client.net.record.write(
                "reset", client=self.address[1], was_open=self.is_open
            )

    async def _wait(self, is_met, timeout):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not is_met():
                    self._changed.clear()
                    await self._changed.wait()
        return is_met()


class Client:
    """A client machine in a zone, behind the router of that zone."""

    def __init__(self, net, host, zone):
        self.net, self.host, self.zone = net, host, zone
        self.flow_by_port = {}
        self._port = 40000

    async def start(self):
        address = (self.host, self.net.packet_port)
        self._transport = await bind_udp(address, self._receive)

    def close(self):
        self._transport.close()

    def make_flow(self):
        self._port += 1
        flow = ClientFlow(self, (self.host, self._port))
        self.flow_by_port[self._port] = flow
        return flow

    def send(self, address, datagram):
        node = self.net.choose_node(self.zone, address)
        if node is not None:
            self._transport.sendto(datagram, (node, self.net.packet_port))

    def _receive(self, datagram):
        packet = Packet(datagram)
        flow = self.flow_by_port.get(packet.target[1])
        if flow is not None and packet.is_valid:
            flow.receive(packet)


class Net:
    """A small deployment: the store, routers, clients, servers and processes."""

    def __init__(self, record_path, seed=1):
        self.rng = random.Random(seed)
        self.work_s = 0.03
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = f"127.{self.rng.randrange(20, 120)}"
        self.store = Store()
        self.process_by_host = {}
        self.zone_by_host = {}
        self.balancers = []
        self.servers = []
        self.clients = []
        self._misses = {}
        self.ready_nodes = set()
        self._tasks = []
        ports = _find_free_ports(8)
        (
            self.peer_port,
            self.metrics_port,
            self.packet_port,
            self.ready_port,
            self.control_port,
            self.outbound_port,
            self.app_port,
            _,
        ) = ports

    async def start(self, balancer_zones, servers, client_zones, config):
        """Start all, with ``servers`` as zone and service; wait until it is served."""
        host, port = await self.store.start(f"{self.prefix}.8.1")
        self.store_address = f"{host}:{port}"
        self.store.put("op/config", config)
        for index, zone in enumerate(balancer_zones):
            host = f"{self.prefix}.0.{index + 1}"
            self.balancers.append(host)
            self.zone_by_host[host] = zone
        for index, zone in enumerate(client_zones):
            client = Client(self, f"{self.prefix}.9.{index + 1}", zone)
            await client.start()
            self.clients.append(client)
        for index, (zone, service) in enumerate(servers):
            host = f"{self.prefix}.1.{index + 1}"
            self.zone_by_host[host] = zone
            server = Server(self, host, zone, service)
            self.servers.append(server)
            await server.start()
        for host in [*self.balancers, *(server.host for server in self.servers)]:
            self.launch(host, is_first=True)
        self._tasks.append(asyncio.create_task(self._check_ready()))
        async with asyncio.timeout(20):
            while len(self.ready_nodes) < len(self.balancers):
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    def launch(self, host, is_first=False):
        """Start the balancer or agent of a machine, by the command of the deploy file.

        The settings follow the templates ``deploy/balancer.ini`` and ``agent.ini``.
        """
        role = "balancer" if host in self.balancers else "agent"
        path = self.folder / f"{host}.ini"
        path.write_text(self._make_settings(host, role, is_first))
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BILBERRYPATH_BOOT"] = str(path)
        command = ["python3", "-S", "-P", "-m", "bilberrypath.platform", role]
        self.process_by_host[host] = _start_process(
            command, env, self.folder / f"{host}.log"
        )
        self.record.write("process-start", role=role, host=host)

    def _make_settings(self, host, role, is_first):
        seeds = ",".join(f"{b}:{self.control_port}" for b in self.balancers[:3])
        lines = [
            "[node]",
            f"peer_address = {host}:{self.peer_port}",
            f"data_centre = {self.zone_by_host[host]}",
            f"seeds = {seeds}",
            f"ready_address = {host}:{self.ready_port}",
            f"client_port = {host}:{self.packet_port}",
            f"metrics_address = {host}:{self.metrics_port}",
        ]
        if role == "balancer":
            lines += [
                "[flow_balancer]",
                f"packet_address = {host}:{self.packet_port}",
                "[store]",
                f"address = {self.store_address}",
            ]
        else:
            service = next(s.service for s in reversed(self.servers) if s.host == host)
            lines += [
                "[flow_agent]",
                f"service = {service}",
                f"upstream = {host}:{self.app_port}",
                f"outbound = {host}:{self.outbound_port}",
                f"report_address = {host}:{self.control_port}",
                f"report_period = {HEARTBEAT_MS}",
                f"flow_lifetime = {FLOW_TTL_S}",
                f"first_start = {str(is_first).lower()}",
            ]
        return "\n".join(lines) + "\n"

    async def end(self, host, signal_number):
        """Signal the process of a machine, and wait for its end."""
        process = self.process_by_host.pop(host)
        self.record.write("signal", host=host, number=int(signal_number))
        process.send_signal(signal_number)
        await asyncio.to_thread(process.wait)
        self.record.write("process-end", host=host)

    async def restart(self, host, signal_number, pause_s=0.1):
        """End the process of a machine and start it again after a short delay."""
        await self.end(host, signal_number)
        await asyncio.sleep(pause_s)
        self.launch(host)

    def choose_node(self, zone, address):
        """Return the balancer that the zone's router sends a packet to."""
        nodes = [b for b in self.balancers if self.zone_by_host[b] == zone]
        rotation = [b for b in nodes if b in self.ready_nodes]
        if 2 * len(rotation) < len(nodes):
            rotation = nodes
        if not rotation:
            rotation = [b for b in self.balancers if b in self.ready_nodes]
        key = f"{address}{ROUTE}"
        return max(
            rotation,
            key=lambda host: hashlib.sha256(f"{key}{host}".encode()).digest(),
            default=None,
        )

    async def _check_ready(self):
        while True:
            await asyncio.gather(*(self._check_one(b) for b in list(self.balancers)))
            await asyncio.sleep(0.5)

    async def _check_one(self, host):
        status = await call_http((host, self.ready_port), "GET", "/v1/ready", b"", 0.4)
        if status == 200:
            self._misses[host] = 0
            self.ready_nodes.add(host)
            return
        self._misses[host] = self._misses.get(host, 0) + 1
        if self._misses[host] >= 2 and host in self.ready_nodes:
            self.ready_nodes.discard(host)
            self.record.write("out-of-rotation", host=host)

    def close(self):
        """End all processes that this deployment started, and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        for process in self.process_by_host.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            if server.is_up:
                server.crash()
        for client in self.clients:
            client.close()
        self.store.close()
        self._record_own_resets()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _record_own_resets(self):
        """Copy what the processes log about their resets, to tell their reasons."""
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text().splitlines():
                if '"flow_reset"' in line or '"internal_error"' in line:
                    self.record.write("log", line=line)


def _start_process(command, env, log_path):
    with open(log_path, "ab") as log:
        return subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)


def _find_free_ports(count):
    """Return ports that are free for TCP and UDP on all loopback addresses."""
    ports = []
    start = random.randrange(20000, 30000)
    for port in range(start, 32000):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


def make_config(version, routes, services):
    """Return a configuration; ``routes`` has the targets of the one address by weight.

    ``services`` maps the name of each service to its ``coldPerS``.
    """
    route = {
        "name": "r-1",
        "host": ROUTE[0],
        "prefix": f"/{ROUTE[1]}/",
        "type": "idempotent",
        "timeoutMs": 2500,
        "targetLatencyMs": 169,
        "priority": 2,
        "maxAttempts": 2,
    }
    if len(routes) == 1:
        route["service"] = next(iter(routes))
    else:
        route["split"] = [
            {"service": name, "weight": weight} for name, weight in routes.items()
        ]
    return {
        "version": version,
        "routes": [route],
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 2.0,
                "coldPerS": cold_per_s,
            }
            for name, cold_per_s in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": IDLE_TIMEOUT_MS,
        },
    }


def run_case(main, folder):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    net = None

    async def run():
        nonlocal net
        net = Net(Path(folder) / "record.txt", int(os.environ.get("SEED", "1")))
        try:
            async with asyncio.timeout(100):
                return await main(net, has_trouble)
        finally:
            net.close()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
