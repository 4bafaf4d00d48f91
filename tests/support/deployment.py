"""A deployment of separate processes on loopback, each with an IP of its own."""

import asyncio
import datetime
import itertools
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from attrs import Factory, define, field
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from tests.standins.remote import command
from tests.support.children import end_with_parent

ROOT = Path(__file__).parents[2]
PEER_PORT = 7000
UPSTREAM_PORT = 7100
METRICS_PORT = 7200
FABRIC_CONTROL = 7300
TOKEN_KEY = "1:000102030405060708090a0b0c0d0e0f"
PEER_KEY = "11" * 32


def make_certificate(folder):
    """Write an authority, and a certificate of it for ``localhost``."""
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca_name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test authority")])
    constraints = x509.BasicConstraints(ca=True, path_length=None)
    usage = x509.KeyUsage(
        digital_signature=True,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )
    authority = (
        _begin_certificate(ca_name, ca_name, ca_key.public_key())
        .add_extension(constraints, critical=True)
        .add_extension(usage, critical=True)
        .sign(ca_key, hashes.SHA256())
    )
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    issuer = x509.AuthorityKeyIdentifier.from_issuer_public_key(ca_key.public_key())
    certificate = (
        _begin_certificate(name, ca_name, key.public_key())
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName("localhost")]), critical=False
        )
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(
            x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False
        )
        .add_extension(issuer, critical=False)
        .sign(ca_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "authorities.pem").write_bytes(authority.public_bytes(pem))
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(pem))
    private = key.private_bytes(
        pem,
        serialization.PrivateFormat.TraditionalOpenSSL,
        serialization.NoEncryption(),
    )
    (folder / "key.pem").write_bytes(private)


def _begin_certificate(subject, issuer, public_key):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=30))
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False
        )
    )


@define
class Process:
    """A process that this deployment started."""

    name: str
    popen: subprocess.Popen
    arguments: list

    @property
    def is_running(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.is_running:
            os.kill(self.popen.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()


@define
class Node:
    """A balancer, or an agent and its upstream, with the IP they share."""

    host: str
    data_centre: str
    service: str = ""
    agent: Process | None = None
    upstream: Process | None = None
    balancer: Process | None = None

    @property
    def peer(self):
        return self.host, PEER_PORT


@define
class Deployment:
    """Start, steer and end the processes of a system.

    ``subnet`` keeps deployments that run at the same time apart.
    """

    folder: Path
    subnet: int
    seed: int = 1
    upstream_options: list = Factory(list)
    service_port_by_name: dict = Factory(dict)
    balancers: list = Factory(list)
    nodes: list = Factory(list)
    processes: list = Factory(list)
    has_store: bool = True
    warm_up: float = 1.5
    collector: str = ""
    fabric_host: str = field(init=False)
    store_host: str = field(init=False)
    _hosts: object = field(default=None)

    def __attrs_post_init__(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        make_certificate(self.folder)
        self._hosts = (f"127.{self.subnet}.1.{i}" for i in itertools.count(1))
        self.fabric_host = f"127.{self.subnet}.0.1"
        self.store_host = f"127.{self.subnet}.0.2"

    # Addresses

    def address(self, service):
        return self.fabric_host, self.service_port_by_name[service]

    @property
    def authorities(self):
        return str(self.folder / "authorities.pem")

    @property
    def store(self):
        return self.store_host, 2379

    @property
    def fabric(self):
        return self.fabric_host, FABRIC_CONTROL

    # Starting

    def start_process(self, name, arguments):
        log = open(self.folder / f"{name}.log", "ab")
        popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            preexec_fn=end_with_parent,
        )
        process = Process(name, popen, arguments)
        self.processes.append(process)
        return process

    def start_store(self):
        self.start_process(
            "key_value",
            ["-m", "tests.standins.key_value", "--host", self.store_host]
            + ["--port", "2379"],
        )
        command(self.store, "set", tries=80)

    def start_fabric(self, hosts):
        ports = [str(port) for port in self.service_port_by_name.values()]
        self.start_process(
            "fabric",
            ["-m", "tests.standins.fabric", "--host", self.fabric_host]
            + ["--ports", *ports, "--balancers", *hosts]
            + ["--control", str(FABRIC_CONTROL), "--seed", str(self.seed)],
        )
        command(self.fabric, "set", tries=80)

    def add_balancer(self, data_centre, seeds=None, store=True, host=None):
        node = Node(host or next(self._hosts), data_centre)
        if seeds is None:
            seeds = [balancer.host for balancer in self.balancers]
        path = self.write_settings(node, seeds, store, {"listen_host": node.host})
        node.balancer = self.start_process(
            f"balancer-{node.host}",
            ["-m", "bilberrypath", "balancer"] + ["--settings", str(path)],
        )
        self.balancers.append(node)
        return node

    def add_upstream(self, data_centre, service, host=None, start_agent=True):
        node = Node(host or next(self._hosts), data_centre, service)
        self.start_upstream(node)
        if start_agent:
            self.start_agent(node)
        self.nodes.append(node)
        return node

    def start_upstream(self, node):
        node.upstream = self.start_process(
            f"upstream-{node.host}",
            ["-m", "tests.standins.upstream", "--host", node.host]
            + ["--port", str(UPSTREAM_PORT), "--service", node.service]
            + ["--ledger", str(self.folder / f"ledger-{node.host}.jsonl")]
            + self.upstream_options,
        )

    def start_agent(self, node):
        seeds = [balancer.host for balancer in self.balancers]
        agent = {
            "service": node.service,
            "upstream": f"{node.host}:{UPSTREAM_PORT}",
            "certificate": self.folder / "certificate.pem",
            "private_key": self.folder / "key.pem",
            "warm_up": self.warm_up,
        }
        path = self.write_settings(node, seeds, False, None, agent)
        node.agent = self.start_process(
            f"agent-{node.host}",
            ["-m", "bilberrypath", "agent", "--settings", str(path)],
        )

    def write_settings(self, node, seeds, store, balancer=None, agent=None):
        sections = {
            "node": {
                "peer_address": f"{node.host}:{PEER_PORT}",
                "data_centre": node.data_centre,
                "seeds": " ".join(f"{host}:{PEER_PORT}" for host in seeds),
                "metrics_address": f"{node.host}:{METRICS_PORT}",
            },
            "keys": {
                "token_keys": TOKEN_KEY,
                "active_token_key": "1",
                "peer_key": PEER_KEY,
            },
        }
        if store and self.has_store:
            sections["store"] = {"address": f"{self.store_host}:2379"}
        if self.collector:
            traces = {"collector": self.collector, "sample_ratio": "1"}
            sections["traces"] = traces
        if balancer:
            sections["balancer"] = balancer
        if agent:
            sections["agent"] = agent
        return self.write_ini(f"{node.host}.ini", sections)

    def write_ini(self, name, sections):
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return path

    # Steering

    @property
    def operator_settings(self):
        balancers = " ".join(f"{b.host}:{PEER_PORT}" for b in self.balancers)
        return self.write_ini(
            "operator.ini",
            {
                "store": {"address": f"{self.store_host}:2379"},
                "keys": {"peer_key": PEER_KEY},
                "operator": {"balancers": balancers},
            },
        )

    async def operate(self, *arguments):
        """Run an operator's command; return its exit code and what it printed."""
        settings = ["--settings", str(self.operator_settings)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bilberrypath",
            "release",
            *arguments,
            *settings,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode() + err.decode()

    async def accept(self, text, *arguments):
        path = self.folder / "note.ini"
        path.write_text(text)
        return await self.operate("accept", str(path), *arguments)

    async def read_status(self):
        code, out = await self.operate("status", "--json")
        return json.loads(out) if code == 0 else {"revision": 0, "processes": []}

    async def wait_in_force(self, revision, count=None, tries=100):
        """Wait until every process has a revision in force."""
        for _ in range(tries):
            status = await self.read_status()
            held = [p["revision"] or 0 for p in status["processes"]]
            enough = count is None or len(held) >= count
            if held and enough and min(held) >= revision:
                return status
            await asyncio.sleep(0.1)
        raise TimeoutError(f"revision {revision} is not in force: {status}")

    def set_balancers(self, nodes):
        command(self.fabric, "set", balancers=[node.host for node in nodes])

    def read_ledger(self):
        rows = []
        for path in sorted(self.folder.glob("ledger-*.jsonl")):
            host = path.stem.removeprefix("ledger-")
            for line in path.read_text().splitlines():
                rows.append({"host": host, **json.loads(line)})
        return rows

    def stop(self):
        """End every process that this deployment started."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait()
