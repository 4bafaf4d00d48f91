"""Planned restarts of several processes at once, as in a deployment of a version."""

import asyncio
import contextlib
import signal

from attrs import Factory, define, field

from bilberrypath.transport.http_client import HttpCallFailed, HttpClient
from tests.support.flow_processes import READY_PORT

POLL_PERIOD = 0.5  # seconds between two questions whether a balancer is ready
MISSES = 2  # in a row, after which a balancer is out of rotation
RESTART_SHARE = 0.6  # of the processes that a round restarts
STOP_INTERVAL = (0.05, 1.0)  # seconds between two stops of a round; a range
ABSENCE = (0.1, 2.5)  # seconds from the end of a process to its start; a range
LONG_ABSENCE = (2.0, 8.0)
START_TIMEOUT = 10.0  # seconds from a start to when a process should be ready


async def is_ready(client):
    """Return whether the process at the other end of a client says that it is ready."""
    try:
        response = await client.call("GET", "/v1/ready", POLL_PERIOD)
    except HttpCallFailed:
        return False
    return response.status == 200


async def wait_until_ready(host):
    """Wait until the process of a host is ready, for ``START_TIMEOUT`` at most."""
    client = HttpClient((host, READY_PORT))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_TIMEOUT):
            while not await is_ready(client):
                await asyncio.sleep(0.1)
    client.close()


@define(eq=False)
class Rotation:
    """The balancers that the fabric uses, by their answers to its question.

    If fewer than half of them are in rotation, the fabric uses all.
    """

    deployment: object
    misses_by_host: dict = Factory(dict)

    async def poll_forever(self):
        """Ask each balancer twice a second until cancelled."""
        hosts = self.deployment.balancers
        await asyncio.gather(*(self._poll_host(host) for host in hosts))

    async def _poll_host(self, host):
        client = HttpClient((host, READY_PORT))
        try:
            while True:
                before = self.misses_by_host.get(host, 0)
                misses = 0 if await is_ready(client) else before + 1
                self.misses_by_host[host] = misses
                if (before < MISSES) != (misses < MISSES):
                    self._update()
                await asyncio.sleep(POLL_PERIOD)
        finally:
            client.close()

    def _update(self):
        every = self.deployment.balancers
        chosen = [h for h in every if self.misses_by_host.get(h, 0) < MISSES]
        is_half = len(chosen) * 2 >= len(every)
        self.deployment.fabric.balancers = chosen if is_half else every


@define(eq=False)
class PlannedRestarts:
    """Faults in which processes end by SIGTERM and start again some time later.

    Hosts in ``paused_hosts``, and processes that are not ready yet, are left out.
    """

    deployment: object
    rng: object
    paused_hosts: set
    _running: set = field(factory=set, init=False)  # faults that last
    _restarting: set = field(factory=set, init=False)  # hosts

    def list_faults(self):
        """Return the faults that do not last at present."""
        faults = {self.restart_round, self.long_absence} - self._running
        return sorted(faults, key=lambda fault: fault.__name__)

    async def restart_round(self, _duration):
        """Restart a random share of the processes, whose absences overlap."""
        self._running.add(self.restart_round)
        hosts = [*self.deployment.balancers, *self.deployment.agents]
        self.rng.shuffle(hosts)
        restarts = []
        for host in hosts:
            if self.rng.random() < RESTART_SHARE:
                absence = self.rng.uniform(*ABSENCE)
                restarts.append(asyncio.create_task(self._restart(host, absence)))
                await asyncio.sleep(self.rng.uniform(*STOP_INTERVAL))
        await asyncio.gather(*restarts)
        self._running.discard(self.restart_round)

    async def long_absence(self, _duration):
        """Restart all balancers one after the other while an agent stays away."""
        self._running.add(self.long_absence)
        agents = [h for h in self.deployment.agents if self._may_restart(h)]
        if agents:
            absence = self.rng.uniform(*LONG_ABSENCE)
            restart = asyncio.create_task(
                self._restart(self.rng.choice(agents), absence)
            )
            for balancer in self.deployment.balancers:
                await self._restart(balancer, self.rng.uniform(*ABSENCE) / 2)
            await restart
        self._running.discard(self.long_absence)

    def _may_restart(self, host):
        is_running = host in self.deployment.process_by_host
        return is_running and host not in self.paused_hosts | self._restarting

    async def _restart(self, host, absence):
        if self._may_restart(host):
            self._restarting.add(host)
            await self.deployment.end(host, signal.SIGTERM)
            await asyncio.sleep(absence)
            await self.deployment.launch(host)
            await wait_until_ready(host)
            self._restarting.discard(host)
