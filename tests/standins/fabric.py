"""A stand-in for the fabric, which sends each packet of a caller to any balancer.

Each caller has its own socket towards the balancers, so that they see one source
address per caller, as behind a real fabric. Packets can be dropped, duplicated,
delayed and thereby reordered, and all traffic of the callers known so far can be
dropped for good. All random choices come from a seeded generator.
"""

import argparse
import asyncio
import random
import socket

from tests.standins.remote import serve_control


class Fabric:
    """Forward packets between callers and balancers.

    ``balancers`` holds the hosts among which each packet's destination is chosen.
    ``loss`` and ``duplicate`` are probabilities per packet and direction, ``delay``
    is the longest random delay in seconds. ``blocked_direction_by_caller`` maps a
    caller to the direction in which its packets are dropped: "in" (from the
    caller), "out" (to the caller) or "both". ``sent`` counts the callers' packets
    by balancer, before loss and duplication.
    """

    def __init__(self, host, ports, balancers, seed):
        self.host = host
        self.balancers = balancers
        self.rng = random.Random(seed)
        self.loss = self.duplicate = 0.0
        self.delay = 0.0
        self.blocked_direction_by_caller = {}
        self.loop = asyncio.get_running_loop()
        self.sent = {}
        self.service_socket_by_port = {}
        self.caller_sockets = {}
        for port in ports:
            self.add_service_port(port)

    def add_service_port(self, port):
        """Accept callers' packets on ``port``, which balancers use as well."""
        service_socket = self.open_socket((self.host, port))
        self.service_socket_by_port[port] = service_socket
        self.loop.add_reader(
            service_socket, self.read_service_socket, port, service_socket
        )

    def open_socket(self, address):
        """Return a non-blocking UDP socket bound to ``address``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, 4 * 1024 * 1024)
        sock.bind(address)
        return sock

    def read_service_socket(self, port, service_socket):
        """Forward up to 64 packets from callers to random balancers."""
        for _ in range(64):
            try:
                data, caller = service_socket.recvfrom(65536)
            except OSError:
                return
            if self.blocked_direction_by_caller.get(caller) in ("in", "both"):
                continue
            caller_socket = self.caller_sockets.get((port, caller))
            if caller_socket is None:
                caller_socket = self.caller_sockets[(port, caller)] = self.open_socket(
                    (self.host, 0)
                )
                self.loop.add_reader(
                    caller_socket, self.read_caller_socket, port, caller, caller_socket
                )
            if self.balancers:
                balancer = self.rng.choice(self.balancers)
                self.sent[balancer] = self.sent.get(balancer, 0) + 1
                self.forward(caller_socket, data, (balancer, port))

    def read_caller_socket(self, port, caller, caller_socket):
        """Forward up to 64 packets from balancers to one caller."""
        for _ in range(64):
            try:
                data, _ = caller_socket.recvfrom(65536)
            except OSError:
                return
            if self.blocked_direction_by_caller.get(caller) not in ("out", "both"):
                self.forward(self.service_socket_by_port[port], data, caller)

    def forward(self, sock, data, destination):
        """Send a packet, subject to loss, duplication and delay."""
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.delay:
                packet_delay = self.rng.uniform(0, self.delay)
                self.loop.call_later(packet_delay, self.send, sock, data, destination)
            else:
                self.send(sock, data, destination)

    def send(self, sock, data, destination):
        """Send a packet; one that the kernel does not accept counts as lost."""
        try:
            sock.sendto(data, destination)
        except OSError:
            pass

    def handle(self, op, fields):
        """Execute a command of the test and return counts of sockets and packets.

        "set" assigns attributes. "silence" drops all further packets of a random
        ``share`` of the callers known so far in ``direction``; later callers are
        unaffected. "add_front" adds a service port.
        """
        if op == "set":
            for name, value in fields.items():
                setattr(self, name, value)
        elif op == "silence":
            share = fields.get("share", 1.0)
            for _, caller in self.caller_sockets:
                if self.rng.random() < share:
                    self.blocked_direction_by_caller[caller] = fields["direction"]
        elif op == "add_front" and fields["port"] not in self.service_socket_by_port:
            self.add_service_port(fields["port"])
        return {"lanes": len(self.caller_sockets), "sent": self.sent}


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--balancers", nargs="+", required=True)
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    fabric = Fabric(options.host, options.ports, options.balancers, options.seed)
    await serve_control((options.host, options.control), fabric.handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
