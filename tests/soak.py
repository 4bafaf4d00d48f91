"""A randomized soak of the datagram service: real processes, faults from outside.

    python -m tests.soak --seeds 10 --seconds 20

Faults come in series and overlap. While they run, and after they have ended,
what clients and upstreams saw is held against the promises. A seed that failed
once is kept in ``tests/processes/test_flow_soak.py`` with its cause.
"""

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from attrs import Factory, define

from bilberrypath.protocol.flow_packet import format_flow
from bilberrypath.state.route_delta import NO_TABLE_DIGEST, RouteTableReply
from bilberrypath.state.routes import RouteTable
from bilberrypath.transport.bulk_calls import CallFailed, RoutesRequest, call_bulk
from tests.standins.tcp_proxy import TcpProxy
from tests.support.flow_processes import PEER_PORT, FlowDeployment, make_config

DRAIN_LIMIT = 3.0  # seconds from an acknowledged drain to the last open
OUT_LIMIT = 5.0  # seconds from the operator's change to the last open
FOREIGN_LIMIT = 2  # packets of a flow at one other upstream
QUIET = 4.0  # seconds without faults before the last checks
FAULT_GAP = (0.3, 1.5)  # seconds between the starts of two faults
FAULT_TIME = (0.5, 3.0)  # seconds that a fault lasts


@define(eq=False)
class Board:
    """A client's long flow and what the soak knows of it."""

    client: object
    holder: str
    starts: int
    lost: bool = False


@define(eq=False)
class Soak:
    """One seed: a deployment, its clients, its faults and its findings."""

    seed: int
    deployment: FlowDeployment
    proxy: TcpProxy
    rng: Random
    findings: list = Factory(list)
    boards: list = Factory(list)
    faults: list = Factory(list)
    served: int = 0
    asked: int = 0
    out_since: dict = Factory(dict)
    revision_by_process: dict = Factory(dict)
    _version: int = 1
    _paused: set = Factory(set)
    _ending: bool = False

    async def run(self, seconds):
        """Run faults and clients for a while, then check the whole."""
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._keep_boards(),
                self._book_forever(),
                self._watch_revisions(),
                self._inject(time.monotonic() + seconds),
            )
        ]
        await tasks[-1]
        await asyncio.sleep(QUIET)
        self._ending = True
        for task in tasks[:-1]:
            await task
        await self._check_the_end()

    # Clients

    async def _keep_boards(self):
        """Open boards, and ask on each now and then."""
        while not self._ending:
            if len(self.boards) < 30:
                await self._open_board()
            board = self.rng.choice(self.boards) if self.boards else None
            if board is not None:
                await self._ask_board(board)
            await asyncio.sleep(0.02)

    async def _open_board(self):
        client = self.deployment.fabric.make_client()
        if not await client.open():
            return
        holder = self.deployment.find_holder(client.flow)
        if holder is not None:
            starts = self.deployment.upstream_by_host[holder].starts
            self.boards.append(Board(client, holder, starts))

    async def _ask_board(self, board):
        word = f"{self.rng.random()}".encode()
        await board.client.ask(word, tries=2)
        self._check_answers(board.client)
        if board.client.resets:
            self._judge_reset(board)
            self.boards.remove(board)

    def _check_answers(self, client):
        """Hold every answer against what was asked on the same flow."""
        foreign = set(client.answers) - client.asked
        if foreign:
            flow = format_flow(client.flow)
            self._find("mixed", f"{flow} got answers {foreign} that it did not ask for")

    def _judge_reset(self, board):
        upstream = self.deployment.upstream_by_host[board.holder]
        lives = upstream.is_up and not upstream.is_silent
        if lives and upstream.starts == board.starts:
            flow = format_flow(board.client.flow)
            self._find("flow", f"{flow} of {board.holder} was reset while it lives")

    async def _book_forever(self):
        """Open a flow for each request, as bookings do."""
        while not self._ending:
            client = self.deployment.fabric.make_client()
            self.asked += 1
            word = f"booking {self.asked}".encode()
            if await client.open() and await client.ask(word, tries=3):
                self.served += 1
            self._check_answers(client)
            await asyncio.sleep(0.03)

    # Watching

    async def _watch_revisions(self):
        while not self._ending:
            for host, process in list(self.deployment.process_by_host.items()):
                await self._look_at(host, process.pid)
            await asyncio.sleep(0.2)

    async def _look_at(self, host, pid):
        try:
            request = RoutesRequest(NO_TABLE_DIGEST)
            reply = await call_bulk((host, PEER_PORT), request, RouteTableReply)
        except CallFailed:
            return
        process = self.deployment.process_by_host.get(host)
        if process is None or process.pid != pid:
            return
        before = self.revision_by_process.get(pid, 0)
        table = reply.snapshot or RouteTable()
        if table.revision < before:
            self._find("config", f"{host} fell from {before} to {table.revision}")
        self.revision_by_process[pid] = max(before, table.revision)

    # Faults

    async def _inject(self, until):
        acts = [
            self._restart,
            self._restart,
            self._pause,
            self._crash_upstream,
            self._silence_upstream,
            self._drain_upstream,
            self._trouble_store,
            self._trouble_link,
            self._lose_packets,
            self._change_config,
            self._take_out,
        ]
        running = []
        while time.monotonic() < until:
            act = self.rng.choice(acts)
            running.append(asyncio.create_task(self._do(act)))
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP))
        await asyncio.gather(*running)

    async def _do(self, act):
        self.faults.append(act.__name__.strip("_"))
        await act(self.rng.uniform(*FAULT_TIME))

    async def _restart(self, duration):
        hosts = sorted(set(self.deployment.process_by_host) - self._paused)
        if len(hosts) < 3:
            return
        host = self.rng.choice(hosts)
        number = self.rng.choice([signal.SIGKILL, signal.SIGTERM])
        fabric = self.deployment.fabric
        others = [name for name in fabric.balancers if name != host]
        if host in fabric.balancers and not others:
            return
        fabric.balancers = others if host in fabric.balancers else fabric.balancers
        await self.deployment.end(host, number)
        await asyncio.sleep(duration / 4)
        await self.deployment.launch(host)
        if host in self.deployment.balancers:
            await asyncio.sleep(1.0)
            fabric.balancers = sorted({*fabric.balancers, host})

    async def _pause(self, duration):
        hosts = sorted(set(self.deployment.process_by_host) - self._paused)
        host = self.rng.choice(hosts)
        self._paused.add(host)
        process = self.deployment.process_by_host[host]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        self._paused.discard(host)

    def _choose_upstream(self):
        up = [u for u in self.deployment.upstream_by_host.values() if u.is_up]
        calm = [u for u in up if not u.draining and not u.is_silent]
        return self.rng.choice(calm) if len(calm) > 1 else None

    async def _crash_upstream(self, duration):
        upstream = self._choose_upstream()
        if upstream is not None:
            upstream.stop()
            await asyncio.sleep(duration)
            await upstream.start()

    async def _silence_upstream(self, duration):
        upstream = self._choose_upstream()
        if upstream is not None:
            upstream.is_silent = True
            await asyncio.sleep(duration)
            upstream.stop()
            await upstream.start()

    async def _drain_upstream(self, duration):
        upstream = self._choose_upstream()
        if upstream is None:
            return
        upstream.draining = True
        await asyncio.sleep(DRAIN_LIMIT + duration)
        acked_at = upstream.acked_draining_at
        if acked_at is not None and upstream.draining:
            late = [at for at, _ in upstream.opens if at > acked_at + DRAIN_LIMIT]
            if late:
                self._find("drain", f"{upstream.host} got {len(late)} opens too late")
        upstream.stop()
        await upstream.start()

    async def _trouble_store(self, duration):
        self.deployment.store.mode = self.rng.choice(
            ["busy", "many", "silent", "reset", "garbage"]
        )
        await asyncio.sleep(duration)
        self.deployment.store.mode = ""
        if self.rng.random() < 0.5:
            self.deployment.store.compact()

    async def _trouble_link(self, duration):
        self.proxy.mode = self.rng.choice(["delay", "one_way", "silent", "reset"])
        if self.proxy.mode == "reset":
            self.proxy.reset_connections()
        await asyncio.sleep(duration)
        self.proxy.mode = ""
        self.proxy.reset_connections()

    async def _lose_packets(self, duration):
        self.deployment.fabric.loss = 0.1
        await asyncio.sleep(duration)
        self.deployment.fabric.loss = 0.0

    async def _change_config(self, duration):
        self._version += self.rng.randint(1, 3)
        self.deployment.store.put("op/config", make_config(self._version))

    async def _take_out(self, duration):
        if self.out_since:
            return
        data_centre = self.rng.choice("abc")
        key = f"op/evacuate/{data_centre}"
        self.out_since[data_centre] = time.monotonic()
        self.deployment.store.put(key, {})
        await asyncio.sleep(OUT_LIMIT + duration)
        calm = not self.deployment.store.mode and not self.proxy.mode
        since = self.out_since.pop(data_centre)
        for upstream in self.deployment.upstream_by_host.values():
            if upstream.data_centre != data_centre or not calm:
                continue
            late = [at for at, _ in upstream.opens if at > since + OUT_LIMIT]
            if late and self._heard_of(key):
                self._find("out", f"{upstream.host} got {len(late)} opens while out")
        self.deployment.store.remove(key)

    def _heard_of(self, key):
        """Return whether all processes had time to hear of a change."""
        revision = self.deployment.store.items[key]["revision"]
        pids = [p.pid for p in self.deployment.process_by_host.values()]
        return all(self.revision_by_process.get(pid, 0) >= revision for pid in pids)

    # The end

    async def _check_the_end(self):
        await self.deployment.wait_until_served()
        clients = [self.deployment.fabric.make_client() for _ in range(20)]
        opened = [await client.open() for client in clients]
        answered = [await client.ask(b"end") for client in clients]
        if not all(opened) or not all(answered):
            self._find("end", f"{opened.count(True)} of 20 opens served at the end")
        for board in self.boards:
            await self._check_board(board)
        for host, upstream in self.deployment.upstream_by_host.items():
            most = max(upstream.foreign.values(), default=0)
            if most > FOREIGN_LIMIT * 4:
                self._find("flow", f"{host} got {most} packets of a flow not its own")
        for path in self.deployment.folder.glob("*.log"):
            if "internal_error" in path.read_text():
                self._find("error", f"{path} tells of an internal error")

    async def _check_board(self, board):
        upstream = self.deployment.upstream_by_host[board.holder]
        if not upstream.is_up or upstream.starts != board.starts:
            return
        if not await board.client.ask(b"end"):
            flow = format_flow(board.client.flow)
            self._find("flow", f"{flow} of {board.holder} is silent at the end")
        if board.client.resets:
            self._judge_reset(board)

    def _find(self, promise, text):
        self.findings.append(f"{promise}: {text} (after {' '.join(self.faults[-6:])})")


async def run_seed(seed, seconds, folder, network=72, balancers=2, agents=3):
    """Return the soak of one seed, run to its end."""
    rng = Random(seed)
    deployment = FlowDeployment(network, folder, rng, balancers, agents)
    try:
        proxy = TcpProxy(("127.0.0.1", 0))
        host, port = await proxy.start()
        deployment.store_address = f"{host}:{port}"
        await _start_behind(deployment, proxy)
        soak = Soak(seed, deployment, proxy, rng)
        await soak.run(seconds)
        proxy.close()
        return soak
    finally:
        await deployment.close()


async def _start_behind(deployment, proxy):
    """Start a deployment whose store is reached through a proxy."""
    starting = asyncio.create_task(deployment.start())
    while not hasattr(deployment, "store") or deployment.store._server is None:
        await asyncio.sleep(0.01)
    proxy.target = deployment.store._server.sockets[0].getsockname()
    await starting


def main():
    """Run fresh or given seeds; exit with 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--balancers", type=int, default=2)
    parser.add_argument("--agents", type=int, default=3)
    parser.add_argument("--network", type=int, default=72)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = asyncio.run(
            run_seed(
                seed,
                options.seconds,
                folder,
                options.network,
                options.balancers,
                options.agents,
            )
        )
        failed += bool(soak.findings)
        print(
            f"seed {seed}: faults {len(soak.faults)}, served {soak.served} of "
            f"{soak.asked}, boards {len(soak.boards)}, findings {len(soak.findings)}"
            + (f", logs in {folder}" if soak.findings else ""),
            flush=True,
        )
        for finding in soak.findings:
            print(f"  {finding}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
