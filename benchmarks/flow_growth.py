"""Count the messages of the datagram service at several sizes, in the model.

    python -m benchmarks.flow_growth [--sizes 30 100 300]

A third of the processes are balancers. Printed are messages between processes by type,
for one process and second while requests are served, for one lost flow after a loss of
power, and for one flow after the restart of all processes beside living upstreams. The
model has no sockets, so that a change of growth is seen without the users' bench.
"""

import argparse
from collections import Counter

from tests.support import flow_world
from tests.support.flow_world import FlowWorld, count_foreign, make_world, open_flows

FLOWS_PER_AGENT = 5
REQUESTS_PER_AGENT = 5  # per second
SERVE_SECONDS = 3.0
WAVE_SECONDS = 0.2  # within which all clients send after a restart


class CountingWorld(FlowWorld):
    """A world that counts the messages between processes by type."""

    def _send(self, host, effect):
        self.counts["message", type(effect.message).__name__] += 1
        super()._send(host, effect)


def take_message_counts(world):
    """Return the messages by type since the last call."""
    counts = Counter(
        {
            name: count
            for (event, name), count in world.counts.items()
            if event == "message"
        }
    )
    for name in counts:
        del world.counts["message", name]
    return counts


def print_counts(title, counts, divisor):
    """Print counts over a divisor, the most frequent type first."""
    cells = [f"{name} {count / divisor:.2f}" for name, count in counts.most_common(6)]
    print(f"  {title}: {', '.join(cells)}")


def serve_requests(world, agents):
    """Send requests evenly for ``SERVE_SECONDS``."""
    count = int(REQUESTS_PER_AGENT * agents * SERVE_SECONDS)
    for _ in range(count):
        world.make_client().request()
        world.run(SERVE_SECONDS / count)


def restart_all(world, lose_power):
    """Restart all processes, and with ``lose_power`` the upstreams too."""
    hosts = list(world.node_by_host)
    balancers = [host for host in hosts if host not in world.upstream_by_host]
    for host in hosts:
        world.kill(host)
    world.run(0.5)
    for index, host in enumerate(balancers):
        world.add_balancer(host, "abc"[index % 3], balancers[:3])
    for host, upstream in world.upstream_by_host.items():
        world.add_agent(
            host, "board", upstream.data_centre, balancers[:3], tracks_all_flows=False
        )
        if lose_power:
            upstream.restart()
            upstream.report()
    world.run(0.4)


def measure_restart(agents, balancers, lose_power):
    """Print messages a flow after a restart, and how many flows were settled."""
    world = make_world(agents, balancers)
    clients = open_flows(world, FLOWS_PER_AGENT * agents)
    restart_all(world, lose_power)
    take_message_counts(world)
    for client in clients:
        world.after(world.rng.uniform(0, WAVE_SECONDS), client.send_request)
    world.run(2.0)
    settled = sum(bool(client.resets or client.answers) for client in clients)
    title = "lost power" if lose_power else "restart beside living upstreams"
    print_counts(f"{title}, a flow", take_message_counts(world), len(clients))
    print(
        f"    {settled / len(clients):.3f} of the flows reset or answered within 2 s, "
        f"{count_foreign(world) / len(clients):.1f} packets a flow at other upstreams"
    )


def measure(processes):
    """Print all counts for a number of processes."""
    balancers = processes // 3
    agents = processes - balancers
    print(f"{processes} processes, {agents} agents of one service")
    world = make_world(agents, balancers)
    world.run(3.0)
    take_message_counts(world)
    serve_requests(world, agents)
    counts = take_message_counts(world)
    print_counts("serving, a process and second", counts, processes * SERVE_SECONDS)
    measure_restart(agents, balancers, lose_power=True)
    measure_restart(agents, balancers, lose_power=False)


def main():
    """Print the counts for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[30, 100, 300])
    options = parser.parse_args()
    flow_world.FlowWorld = CountingWorld
    for size in options.sizes:
        measure(size)


if __name__ == "__main__":
    main()
