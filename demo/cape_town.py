"""Run Cape Town's deployment as separate processes, with failures, for a minute.

Three data centres, three balancers, and two services: dispatch on seven upstreams and
photos on three. Boards (callers that hold a stream) run while other callers send
bookings and photos. A data centre is taken out of service and brought back, and a
balancer is killed and replaced.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from tests.support.cases import CENTRES, FIRST_NOTE, change
from tests.support.deployment import Deployment
from tests.support.workload import Workload, list_incarnations

PROCESSES = 13  # 3 balancers and 10 agents
BOARDS = 60  # callers that hold a stream


def report(text):
    print(f"demo: {text}", flush=True)


async def accept(deployment, note, revision, count):
    """Accept a note; return the status once ``count`` processes have ``revision``."""
    code, output = await deployment.accept(note)
    report(output.strip())
    if code != 0:
        raise SystemExit(1)
    return await deployment.wait_in_force(revision, count)


async def start(deployment):
    deployment.service_port_by_name = {"dispatch": 9443, "photos": 9444}
    report("starting the key-value service, 3 balancers, 10 upstreams with agents")
    deployment.start_store()
    hosts = [deployment.add_balancer(centre).host for centre in CENTRES]
    deployment.start_fabric(hosts)
    for index in range(7):
        deployment.add_upstream(CENTRES[index % 3], "dispatch")
    for centre in CENTRES:
        deployment.add_upstream(centre, "photos")
    return await accept(deployment, FIRST_NOTE, 1, PROCESSES)


async def run(deployment):
    """Run the deployment and its failures; return the verdict on the workload."""
    status = await start(deployment)
    incarnations_taken_out = list_incarnations(status, "citybowl")
    workload = Workload(deployment)
    workload.start_boards("dispatch", BOARDS)
    workload.start_requests("dispatch", callers=6, pause=0.1)
    workload.start_requests(
        "photos", callers=2, pause=0.5, size=1_000_000, path="/echo"
    )
    await workload.wait_for_boards()
    report(f"{BOARDS} boards hold streams; callers send bookings and photos")
    await asyncio.sleep(5)
    report("taking data centre citybowl out of service")
    await accept(deployment, change("citybowl", "out"), 2, PROCESSES)
    await workload.wait_for_next_items()
    await asyncio.sleep(5)
    report("bringing data centre citybowl back into service")
    await accept(deployment, change("citybowl", "in"), 3, PROCESSES)
    await asyncio.sleep(5)
    node = deployment.balancers.pop(0)
    report(f"killing balancer {node.host} and starting a new one")
    node.balancer.kill()
    deployment.add_balancer("atlantic")
    deployment.set_balancers(deployment.balancers)
    await asyncio.sleep(8)
    await workload.wait_for_next_items()
    await workload.stop()
    return workload.judge(incarnations_taken_out)


async def main():
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), subnet=50)
        try:
            verdict = await run(deployment)
        finally:
            deployment.stop()
    report(
        f"flows ended with the data centre taken out: {verdict.given_up}; "
        f"requests beyond an upstream's slots: {verdict.overruns}; "
        f"wrong answers: {verdict.wrong}; "
        f"requests reported as not run that had run: {verdict.lies}"
    )
    print(f"demo: {verdict}")
    return 0 if verdict.is_clean and verdict.requests else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
