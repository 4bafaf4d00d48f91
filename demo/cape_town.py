"""Run Cape Town's deployment as separate processes, with failures, in a minute.

Three data centres, three balancers, dispatch on seven upstreams and photos on
three. Boards stream, bookings and photos flow; a data centre is taken out and
brought back, and a balancer is killed and replaced.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from tests.support.cases import CENTRES, FIRST_NOTE, change
from tests.support.deployment import Deployment
from tests.support.workload import Workload, list_incarnations

PROCESSES = 13
BOARDS = 60


def say(text):
    print(f"demo: {text}", flush=True)


async def accept(deployment, note, revision, count):
    code, said = await deployment.accept(note)
    say(said.strip())
    if code != 0:
        raise SystemExit(1)
    return await deployment.wait_in_force(revision, count)


async def start(deployment):
    deployment.service_port_by_name = {"dispatch": 9443, "photos": 9444}
    say("starting the key-value service, 3 balancers, 10 upstreams with agents")
    deployment.start_store()
    hosts = [deployment.add_balancer(centre).host for centre in CENTRES]
    deployment.start_fabric(hosts)
    for index in range(7):
        deployment.add_upstream(CENTRES[index % 3], "dispatch")
    for centre in CENTRES:
        deployment.add_upstream(centre, "photos")
    return await accept(deployment, FIRST_NOTE, 1, PROCESSES)


async def run(deployment):
    status = await start(deployment)
    left = list_incarnations(status, "citybowl")
    work = Workload(deployment)
    work.start_boards("dispatch", BOARDS)
    work.start_requests("dispatch", callers=6, pause=0.1)
    work.start_requests("photos", callers=2, pause=0.5, size=1_000_000, path="/echo")
    await work.wait_for_boards()
    say(f"{BOARDS} boards stream, bookings and photos flow")
    await asyncio.sleep(5)
    say("taking data centre citybowl out")
    await accept(deployment, change("citybowl", "out"), 2, PROCESSES)
    await work.wait_for_next_items()
    await asyncio.sleep(5)
    say("bringing data centre citybowl back")
    await accept(deployment, change("citybowl", "in"), 3, PROCESSES)
    await asyncio.sleep(5)
    victim = deployment.balancers.pop(0)
    say(f"killing balancer {victim.host} and starting another")
    victim.balancer.kill()
    deployment.add_balancer("atlantic")
    deployment.set_balancers(deployment.balancers)
    await asyncio.sleep(8)
    await work.wait_for_next_items()
    await work.stop()
    return work.judge(left)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), subnet=50)
        try:
            verdict = await run(deployment)
        finally:
            deployment.stop()
    say(
        f"given up with the data centre that left: {verdict.given_up} flows; "
        f"overruns of an upstream: {verdict.overruns}; "
        f"wrong answers: {verdict.wrong}; untrue refusals: {verdict.lies}"
    )
    print(f"demo: {verdict}")
    return 0 if verdict.is_clean and verdict.requests else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
