"""The fabric: hands each packet of a caller to any balancer.

Each caller gets a socket of its own towards the balancers, so that they see
one address for one caller, as behind a real fabric. Seeded; it can drop,
duplicate, delay and reorder, and go silent for the callers known at a moment.
"""

import argparse
import asyncio
import random
import socket

from tests.standins.remote import serve_control


class Fabric:
    def __init__(self, host, ports, balancers, seed):
        self.host = host
        self.balancers = balancers
        self.rng = random.Random(seed)
        self.loss = self.duplicate = 0.0
        self.delay = 0.0
        self.silent = {}
        self.loop = asyncio.get_running_loop()
        self.sent = {}
        self.fronts = {}
        self.lanes = {}
        for port in ports:
            self.add_front(port)

    def add_front(self, port):
        front = self.open((self.host, port))
        self.fronts[port] = front
        self.loop.add_reader(front, self.read_front, port, front)

    def open(self, address):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, 4 * 1024 * 1024)
        sock.bind(address)
        return sock

    def read_front(self, port, front):
        for _ in range(64):
            try:
                data, caller = front.recvfrom(65536)
            except OSError:
                return
            if self.silent.get(caller) in ("in", "both"):
                continue
            lane = self.lanes.get((port, caller))
            if lane is None:
                lane = self.lanes[(port, caller)] = self.open((self.host, 0))
                self.loop.add_reader(lane, self.read_lane, port, caller, lane)
            if self.balancers:
                to = self.rng.choice(self.balancers)
                self.sent[to] = self.sent.get(to, 0) + 1
                self.carry(lane, data, (to, port))

    def read_lane(self, port, caller, lane):
        for _ in range(64):
            try:
                data, _ = lane.recvfrom(65536)
            except OSError:
                return
            if self.silent.get(caller) not in ("out", "both"):
                self.carry(self.fronts[port], data, caller)

    def carry(self, sock, data, to):
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.delay:
                late = self.rng.uniform(0, self.delay)
                self.loop.call_later(late, self.send, sock, data, to)
            else:
                self.send(sock, data, to)

    def send(self, sock, data, to):
        try:
            sock.sendto(data, to)
        except OSError:
            pass

    def handle(self, op, fields):
        if op == "set":
            for name, value in fields.items():
                setattr(self, name, value)
        elif op == "silence":
            share = fields.get("share", 1.0)
            for _, caller in self.lanes:
                if self.rng.random() < share:
                    self.silent[caller] = fields["direction"]
        elif op == "add_front" and fields["port"] not in self.fronts:
            self.add_front(fields["port"])
        return {"lanes": len(self.lanes), "sent": self.sent}


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
