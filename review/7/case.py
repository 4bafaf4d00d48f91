"""Agents and frontends are stopped and started in turn beside long flows."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from platform_2 import TROUBLE, Bench, make_config, run_case

CASE = Path(__file__).resolve().parent
ROUTE = ("198.18.0.1", 443)
SERVICE = "saha"
FLOWS = 200  # long ones, at a time
FLOW_TIME = 50.0  # seconds; flowTtlS is 60
PAUSE = (0.2, 1.2)  # between an answer and the next request of a flow
DEADLINE = 2.5
WORK_TIME = 78.0  # for which processes are stopped and started
ROLL_GAP = 1.2  # seconds from one step of a roll to the next
RESTART_DELAY = 1.0  # seconds, with the start on a machine of half a core
AGENTS_AT_A_TIME, FRONTENDS_AT_A_TIME = 2, 1
REORDER_TIME = 2.0  # reorderMs
FOREIGN_COUNT = 3  # "three or more of the flow's packets"


class LongFlows:
    """Clients that keep flows open, with a request now and then."""

    def __init__(self, bench):
        self.bench = bench
        self.asked = self.answered = 0
        self.is_stopping = False
        self._numbers = itertools.count(1)

    def start(self):
        self._tasks = [
            asyncio.create_task(self._use(self.bench.clients[n % 3]))
            for n in range(FLOWS)
        ]

    async def stop(self):
        self.is_stopping = True
        await asyncio.wait(self._tasks, timeout=6.0)

    async def _use(self, client):
        while not self.is_stopping:
            flow = client.new_flow(ROUTE)
            if await flow.open():
                await self._ask(flow, time.monotonic() + FLOW_TIME)
            else:
                await asyncio.sleep(0.2)
            flow.finish()

    async def _ask(self, flow, until):
        while not self.is_stopping and not flow.ended and time.monotonic() < until:
            request_id = f"q{next(self._numbers):05}"
            answer = await flow.ask(request_id, DEADLINE)
            self.asked += 1
            self.answered += answer is not None
            if answer is None:
                self.bench.record.write(f"{request_id} was not answered {flow.ended}")
            await asyncio.sleep(random.uniform(*PAUSE))


async def roll(bench, names, at_a_time, until):
    """Send SIGTERM to processes in turn; each is started again after its end."""
    restarts = []
    names = itertools.cycle(names)
    while time.monotonic() < until:
        for name in itertools.islice(names, at_a_time):
            process = bench.processes[name]
            if process.is_running:
                restarts.append(asyncio.create_task(process.terminate()))
        await asyncio.sleep(ROLL_GAP)
    await asyncio.gather(*restarts)


def list_spans(own, foreign, ended_at):
    """Yield the packets at other servers in each span of the rule's length.

    A span begins with such a packet, and lies between the flow's first packet at its
    own server and its end there. It has three or more of them, and none at its own.
    """
    for begin in foreign:
        end = begin + REORDER_TIME
        inside = [at for at in foreign if begin <= at < end]
        is_open = own[0] < begin and end < ended_at
        if not is_open or len(inside) < FOREIGN_COUNT:
            continue
        if not any(begin <= at < end for at in own):
            yield inside


def find_broken(bench):
    """Yield a flow, its server, and the first span that breaks the rule."""
    for server in bench.servers.values():
        for key, own in server.own.items():
            foreign = sorted(
                at
                for other in bench.servers.values()
                if other is not server
                for at in other.foreign.get(key, ())
            )
            ended_at = server.ended_at.get(key, time.monotonic())
            span = next(list_spans(own, foreign, ended_at), None)
            if span is not None:
                yield key, server, span


async def main(folder):
    bench = Bench(CASE, "aabbc", [(z, SERVICE) for z in "aaabbcc"])
    say = bench.record.say
    bench.restart_delay = RESTART_DELAY
    bench.store.put("op/config", make_config(3, [ROUTE], SERVICE))
    flows = LongFlows(bench)
    try:
        await bench.start(folder)
        if not await bench.wait_until_served(ROUTE):
            say("the deployment did not start to serve")
            return 2
        flows.start()
        await asyncio.sleep(5.0)
        until = time.monotonic() + WORK_TIME
        if TROUBLE:
            say("agents and frontends are stopped and started in turn")
            await asyncio.gather(
                roll(bench, list(bench.sides), AGENTS_AT_A_TIME, until),
                roll(bench, list(bench.fronts), FRONTENDS_AT_A_TIME, until),
            )
        await asyncio.sleep(max(0.0, until + 3.0 - time.monotonic()))
        broken = list(find_broken(bench))
        await flows.stop()
        for (client, _), server, span in broken:
            begin = span[0] - bench.record.started_at
            times = ", ".join(f"{at - span[0]:.3f}" for at in span)
            say(
                f"flow of {client[0]}:{client[1]}, open at {server.name} all the "
                f"while: for {REORDER_TIME:.0f} s from {begin:.3f}, {len(span)} "
                f"packets reached other servers (at {times}) and none its own"
            )
        say(f"{flows.answered} of {flows.asked} requests were answered in time")
        say(f"internal errors logged: {bench.count_logged('internal_error')}")
        if not flows.answered:
            return 2
        say(f"FLOW is {'broken' if broken else 'kept'}: {len(broken)} flows")
        return 1 if broken else 0
    finally:
        await bench.close()


run_case(main)
