"""A randomized soak of the datagram service: real processes under injected faults.

    python -m tests.soak --seeds 10 --seconds 20

Faults follow each other and overlap; with ``--only-rounds``, these are only planned
restarts of several processes. While they last and afterwards, the soak checks what
clients and upstreams received against the guarantees of the service. ``events.txt``
beside the logs has the times of the faults. A seed that failed once is kept in
``tests/processes/test_flow_soak.py`` with its cause.
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

from attrs import Factory, define, field

from bilberrypath.protocol.flow_packet import format_flow
from tests.standins.tcp_proxy import TcpProxy
from tests.support.flow_processes import FLOW_LIFETIME, FlowDeployment, format_time
from tests.support.foreign_packets import find_violations
from tests.support.long_flows import LongFlows
from tests.support.planned_restarts import PlannedRestarts, Rotation
from tests.support.revision_watch import RevisionWatch

DRAIN_LIMIT = 3.0  # seconds from an acknowledged drain to the last open
OUT_LIMIT = 5.0  # seconds from the operator's change to the last open
FOREIGN_LIMIT = 2  # packets of a flow that one upstream without the flow receives
CHANGES_LOST = 6  # by a restore; of one key, so that revisions are given out again
SETTLE_TIME = 4.0  # seconds without faults before the final checks
FAULT_INTERVAL = (0.3, 1.5)  # seconds between the starts of two faults; a range
FAULT_DURATION = (0.5, 3.0)  # seconds that a fault lasts; a range


@define(eq=False)
class Soak:
    """The run of one seed: a deployment, its clients, faults and findings."""

    seed: int
    deployment: FlowDeployment
    proxy: TcpProxy
    rng: Random
    findings: list = Factory(list)  # violated guarantees, as text
    faults: list = Factory(list)  # names of the injected faults, in order
    served: int = 0  # requests on flows of their own that were answered
    request_count: int = 0  # requests on flows of their own
    out_since: dict = Factory(dict)  # when each data centre was taken out of service
    with_restores: bool = False  # whether the store is restored from older copies
    with_rounds: bool = False  # whether processes are restarted in planned rounds
    only_rounds: bool = False  # whether there are no other faults than these rounds
    lag: float = 0.0  # the longest time in seconds that this process ran late
    _config_version: int = 1
    _paused_hosts: set = Factory(set)
    _is_stopping: bool = False
    long_flows: LongFlows = field(init=False)
    _revisions: RevisionWatch = field(init=False)

    def __attrs_post_init__(self):
        self._revisions = RevisionWatch(self.deployment, self._record)
        self.long_flows = LongFlows(self.deployment, self.rng, self._record)
        self.with_rounds = self.with_rounds or self.only_rounds

    async def run(self, seconds):
        """Run clients and faults for some seconds, then check the final state."""
        flows = self.long_flows
        tasks = [
            asyncio.create_task(work)
            for work in (
                flows.use_all() if self.with_rounds else flows.use_in_turn(),
                self._use_short_flows(),
                self._watch_revisions(),
                self._measure_lag(),
                self._inject_faults(time.monotonic() + seconds),
            )
        ]
        polling = asyncio.create_task(self._poll_rotation())
        await tasks[-1]
        await asyncio.sleep(SETTLE_TIME)
        self._is_stopping = flows.is_stopping = True
        for task in tasks[:-1]:
            await task
        await self._check_final_state()
        polling.cancel()

    async def _poll_rotation(self):
        if self.with_rounds:
            await Rotation(self.deployment).poll_forever()

    # Clients

    async def _use_short_flows(self):
        """Open a flow for each request, as clients do for bookings."""
        while not self._is_stopping:
            client = self.deployment.make_client()
            self.request_count += 1
            request = f"booking {self.request_count}".encode()
            if await client.open() and await client.send_request(request, tries=3):
                self.served += 1
            self.long_flows.check_answers(client)
            await asyncio.sleep(0.03)

    async def _watch_revisions(self):
        while not self._is_stopping:
            await self._revisions.check_all()
            await asyncio.sleep(0.2)

    async def _measure_lag(self):
        """Measure how late this process itself runs, which delays what it receives."""
        while not self._is_stopping:
            due = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.lag = max(self.lag, time.monotonic() - due)

    # Faults

    async def _inject_faults(self, until):
        """Start random faults, restarts twice as often; wait for the last to end."""
        faults = [
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
        rounds = PlannedRestarts(self.deployment, self.rng, self._paused_hosts)
        if self.only_rounds:
            faults.clear()
        if self.with_restores:
            faults.append(self._restore_store)
            running.append(asyncio.create_task(self._run_fault(self._restore_store)))
        while time.monotonic() < until:
            choices = faults + (rounds.list_faults() if self.with_rounds else [])
            if choices:
                fault = self.rng.choice(choices)
                running.append(asyncio.create_task(self._run_fault(fault)))
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL))
        await asyncio.gather(*running)

    async def _run_fault(self, fault):
        self.faults.append(fault.__name__.strip("_"))
        self.deployment.write_event(self.faults[-1])
        await fault(self.rng.uniform(*FAULT_DURATION))

    async def _restart(self, duration):
        """Restart a process; a balancer gets no packets until 1 s after its start."""
        hosts = sorted(set(self.deployment.process_by_host) - self._paused_hosts)
        if len(hosts) < 3:
            return
        host = self.rng.choice(hosts)
        signal_number = self.rng.choice([signal.SIGKILL, signal.SIGTERM])
        fabric = self.deployment.fabric
        others = [name for name in fabric.balancers if name != host]
        if host in fabric.balancers and not others:
            return
        fabric.balancers = others if host in fabric.balancers else fabric.balancers
        await self.deployment.end(host, signal_number)
        await asyncio.sleep(duration / 4)
        await self.deployment.launch(host)
        if host in self.deployment.balancers:
            await asyncio.sleep(1.0)
            fabric.balancers = sorted({*fabric.balancers, host})

    async def _pause(self, duration):
        hosts = sorted(set(self.deployment.process_by_host) - self._paused_hosts)
        if not hosts:
            return
        host = self.rng.choice(hosts)
        self._paused_hosts.add(host)
        self.deployment.write_event(f"{host} is paused")
        process = self.deployment.process_by_host[host]
        process.send_signal(signal.SIGSTOP)
        self.deployment.begin_disruption(host)
        await asyncio.sleep(duration)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        self.deployment.end_disruptions(host)
        self.deployment.write_event(f"{host} is resumed")
        self._paused_hosts.discard(host)

    def _choose_upstream(self):
        """Return an upstream without a fault, or None if fewer than two are left."""
        up = [u for u in self.deployment.upstream_by_host.values() if u.is_up]
        serving = [u for u in up if not u.draining and not u.is_silent]
        return self.rng.choice(serving) if len(serving) > 1 else None

    async def _crash_upstream(self, duration):
        upstream = self._choose_upstream()
        if upstream is not None:
            upstream.stop()
            await asyncio.sleep(duration)
            await upstream.start()

    async def _silence_upstream(self, duration):
        upstream = self._choose_upstream()
        if upstream is not None:
            upstream.fall_silent()
            await asyncio.sleep(duration)
            upstream.stop()
            await upstream.start()

    async def _drain_upstream(self, duration):
        """Drain an upstream; check that no opens arrive after ``DRAIN_LIMIT``."""
        upstream = self._choose_upstream()
        if upstream is None:
            return
        upstream.draining = True
        await asyncio.sleep(DRAIN_LIMIT + duration)
        acked_at = upstream.acked_draining_at
        if acked_at is not None and upstream.draining:
            late = [at for at, _ in upstream.opens if at > acked_at + DRAIN_LIMIT]
            if late:
                self._record("drain", f"{upstream.host} got {len(late)} opens too late")
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

    async def _restore_store(self, duration):
        """Bring the store back from a copy; the operator makes the changes again."""
        store, copy = self.deployment.store, self.deployment.store.copy()
        for _ in range(CHANGES_LOST):
            await self._change_config(duration)
        await asyncio.sleep(duration)
        store.mode = "reset"
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        store.restore(copy, writes_again=True)
        store.mode = ""

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
        self._config_version += self.rng.randint(1, 3)
        self.deployment.put_config(self._config_version)

    async def _take_out(self, duration):
        """Take a data centre out; check its opens if all processes have the change."""
        if self.out_since:
            return
        data_centre = self.rng.choice("abc")
        key = f"op/evacuate/{data_centre}"
        self.out_since[data_centre] = time.monotonic()
        self.deployment.store.put(key, {})
        await asyncio.sleep(OUT_LIMIT + duration)
        store_works = not self.deployment.store.mode and not self.proxy.mode
        since = self.out_since.pop(data_centre)
        for upstream in self.deployment.upstream_by_host.values():
            if upstream.data_centre != data_centre or not store_works:
                continue
            late = [at for at, _ in upstream.opens if at > since + OUT_LIMIT]
            if late and self._revisions.has_reached_all(key):
                self._record("out", f"{upstream.host} got {len(late)} opens while out")
        self.deployment.store.remove(key)

    # Final checks

    async def _check_final_state(self):
        await self.deployment.wait_until_served()
        await self._revisions.check_all_have(self._config_version)
        clients = [self.deployment.make_client() for _ in range(20)]
        opened = [await client.open() for client in clients]
        answered = [await client.send_request(b"end") for client in clients]
        if not all(opened) or not all(answered):
            self._record("end", f"{opened.count(True)} of 20 opens served at the end")
        await self.long_flows.check_all_served()
        for host, upstream in self.deployment.upstream_by_host.items():
            count = max(upstream.foreign.values(), default=0)
            if count > FOREIGN_LIMIT * 4:
                self._record("flow", f"{host} got {count} packets of a foreign flow")
        for flow, host, gap in find_violations(self.deployment, FLOW_LIFETIME):
            self._record(
                "flow",
                f"{len(gap.foreign)} packets of {format_flow(flow)} came elsewhere and "
                f"none to {host} for {gap.end - gap.start:.2f} s from "
                f"{format_time(gap.start)}",
            )
        for path in self.deployment.folder.glob("*.log"):
            if "internal_error" in path.read_text():
                self._record("error", f"{path} contains an internal error")

    def _record(self, kind, text):
        at = format_time(time.monotonic())
        faults = " ".join(self.faults[-6:])
        self.findings.append(f"{kind}: {text} (found at {at}, after {faults})")


async def run_seed(
    seed, seconds, folder, network=72, balancers=2, agents=3, services=1, **options
):
    """Run the soak of one seed; ``options`` are those of :class:`Soak`."""
    rng = Random(seed)
    deployment = FlowDeployment(network, folder, rng, balancers, agents, services)
    try:
        proxy = TcpProxy(("127.0.0.1", 0))
        host, port = await proxy.start()
        deployment.store_address = f"{host}:{port}"
        await _start_with_store_proxy(deployment, proxy)
        soak = Soak(seed, deployment, proxy, rng, **options)
        await soak.run(seconds)
        proxy.close()
        return soak
    finally:
        await deployment.close()


async def _start_with_store_proxy(deployment, proxy):
    """Start a deployment whose processes reach the store through a proxy."""
    starting = asyncio.create_task(deployment.start())
    while not hasattr(deployment, "store") or deployment.store._server is None:
        await asyncio.sleep(0.01)
    proxy.target = deployment.store._server.sockets[0].getsockname()
    await starting


def main():
    """Run new or given seeds; exit with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--balancers", type=int, default=2)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--services", type=int, default=2)
    parser.add_argument("--only-rounds", action="store_true")
    parser.add_argument("--network", type=int, default=72)
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = asyncio.run(
            run_seed(
                seed,
                args.seconds,
                folder,
                args.network,
                args.balancers,
                args.agents,
                args.services,
                with_restores=not args.only_rounds,
                with_rounds=True,
                only_rounds=args.only_rounds,
            )
        )
        failed += bool(soak.findings)
        print(
            f"seed {seed}: faults {len(soak.faults)}, served {soak.served} of "
            f"{soak.request_count}, boards {len(soak.long_flows.flows)}, "
            f"restores {soak.deployment.store.epoch - 1}, lag {soak.lag:.2f} s, "
            f"findings {len(soak.findings)}"
            + (f", logs in {folder}" if soak.findings else ""),
            flush=True,
        )
        for finding in soak.findings:
            print(f"  {finding}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
