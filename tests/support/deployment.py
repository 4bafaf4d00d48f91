"""A deployment of separate processes on loopback; each node has its own IP address."""

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
FABRIC_CONTROL_PORT = 7300
TOKEN_KEY = "1:000102030405060708090a0b0c0d0e0f"
PEER_KEY = "11" * 32


def make_certificate(folder):
    """Write a certificate authority, and a certificate and key for ``localhost``.

    The files are ``authorities.pem``, ``certificate.pem`` and ``key.pem``.
    """
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca_name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test authority")])
    ca_constraints = x509.BasicConstraints(ca=True, path_length=None)
    ca_usage = x509.KeyUsage(
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
    ca_certificate = (
        _begin_certificate(ca_name, ca_name, ca_key.public_key())
        .add_extension(ca_constraints, critical=True)
        .add_extension(ca_usage, critical=True)
        .sign(ca_key, hashes.SHA256())
    )
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    authority_key_id = x509.AuthorityKeyIdentifier.from_issuer_public_key(
        ca_key.public_key()
    )
    certificate = (
        _begin_certificate(subject, ca_name, key.public_key())
        .add_extension(
            x509.SubjectAlternativeName([x509.DNSName("localhost")]), critical=False
        )
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(
            x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False
        )
        .add_extension(authority_key_id, critical=False)
        .sign(ca_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "authorities.pem").write_bytes(ca_certificate.public_bytes(pem))
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(pem))
    private_key = key.private_bytes(
        pem,
        serialization.PrivateFormat.TraditionalOpenSSL,
        serialization.NoEncryption(),
    )
    (folder / "key.pem").write_bytes(private_key)


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
    """A process of a deployment, with its name and command-line arguments."""

    name: str
    popen: subprocess.Popen
    arguments: list

    @property
    def is_running(self):
        return self.popen.poll() is None

    def signal(self, signal_number):
        if self.is_running:
            os.kill(self.popen.pid, signal_number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()


@define
class Node:
    """A host with its own IP address: a balancer, or an agent and its upstream."""

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
    """Start, control and stop the processes of a whole system.

    ``folder`` receives settings, certificates, logs and ledgers. ``subnet`` is the
    second octet of all addresses; deployments that run at the same time need
    different ones. ``seed`` is the fabric's random seed. ``upstream_options`` are
    further command-line options of each upstream that is started afterwards.
    ``service_port_by_name`` must be set before the fabric is started. ``nodes``
    lists the agents with their upstreams. Without ``has_store`` no balancer is
    configured to use the store. ``warm_up`` (seconds) is the agents' setting of that
    name. ``collector`` is the address of a trace collector, or empty.
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
        return self.fabric_host, FABRIC_CONTROL_PORT

    # Starting processes

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
        """Start the key-value store and wait until it answers commands."""
        self.start_process(
            "key_value",
            ["-m", "tests.standins.key_value", "--host", self.store_host]
            + ["--port", "2379"],
        )
        command(self.store, "set", tries=80)

    def start_fabric(self, hosts):
        """Start the fabric in front of some balancers and wait until it answers."""
        ports = [str(port) for port in self.service_port_by_name.values()]
        self.start_process(
            "fabric",
            ["-m", "tests.standins.fabric", "--host", self.fabric_host]
            + ["--ports", *ports, "--balancers", *hosts]
            + ["--control", str(FABRIC_CONTROL_PORT), "--seed", str(self.seed)],
        )
        command(self.fabric, "set", tries=80)

    def add_balancer(self, data_centre, seeds=None, store=True, host=None):
        """Start a balancer on a new host, or on ``host``, and return its node.

        Its seeds are all balancers so far, unless others are given.
        """
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
        """Start an upstream and its agent on a new host, and return their node."""
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
        agent_section = {
            "service": node.service,
            "upstream": f"{node.host}:{UPSTREAM_PORT}",
            "certificate": self.folder / "certificate.pem",
            "private_key": self.folder / "key.pem",
            "warm_up": self.warm_up,
        }
        path = self.write_settings(node, seeds, False, None, agent_section)
        node.agent = self.start_process(
            f"agent-{node.host}",
            ["-m", "bilberrypath", "agent", "--settings", str(path)],
        )

    def write_settings(
        self, node, seeds, store, balancer_section=None, agent_section=None
    ):
        """Write the settings file of a node's process and return its path."""
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
        if balancer_section:
            sections["balancer"] = balancer_section
        if agent_section:
            sections["agent"] = agent_section
        return self.write_ini(f"{node.host}.ini", sections)

    def write_ini(self, name, sections):
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return path

    # Control

    @property
    def operator_settings(self):
        balancers = " ".join(
            f"{balancer.host}:{PEER_PORT}" for balancer in self.balancers
        )
        return self.write_ini(
            "operator.ini",
            {
                "store": {"address": f"{self.store_host}:2379"},
                "keys": {"peer_key": PEER_KEY},
                "operator": {"balancers": balancers},
            },
        )

    async def operate(self, *arguments):
        """Run an operator command; return its exit code and its whole output."""
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
        stdout_bytes, stderr_bytes = await process.communicate()
        return process.returncode, stdout_bytes.decode() + stderr_bytes.decode()

    async def accept(self, text, *arguments):
        """Accept a release note given as text; return as :meth:`operate` does."""
        path = self.folder / "note.ini"
        path.write_text(text)
        return await self.operate("accept", str(path), *arguments)

    async def read_status(self):
        """Return the status report, or one without processes if the command fails."""
        code, output = await self.operate("status", "--json")
        return json.loads(output) if code == 0 else {"revision": 0, "processes": []}

    async def wait_in_force(self, revision, count=None, attempts=100):
        """Wait until every listed process has a revision, or a later one, in force.

        At least ``count`` processes must be listed. Return the status report.
        """
        for _ in range(attempts):
            status = await self.read_status()
            revisions = [p["revision"] or 0 for p in status["processes"]]
            all_listed = count is None or len(revisions) >= count
            if revisions and all_listed and min(revisions) >= revision:
                return status
            await asyncio.sleep(0.1)
        raise TimeoutError(
            f"revision {revision} is not in force in all processes: {status}"
        )

    def set_balancers(self, nodes):
        """Set the balancers to which the fabric sends callers' packets."""
        command(self.fabric, "set", balancers=[node.host for node in nodes])

    def read_ledger(self):
        """Return the rows of all upstreams' ledgers, each with its ``host``."""
        rows = []
        for path in sorted(self.folder.glob("ledger-*.jsonl")):
            host = path.stem.removeprefix("ledger-")
            for line in path.read_text().splitlines():
                rows.append({"host": host, **json.loads(line)})
        return rows

    def stop(self):
        """Kill every process that this deployment started, also the suspended ones."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait()
