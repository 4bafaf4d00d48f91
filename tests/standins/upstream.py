"""A stand-in for an upstream, with slots, cold start, drain, shedding and streams.

It serves up to ``cold_slots`` concurrent requests during cold start and up to
``slots`` when warm. One request more crashes it: all running requests are lost and
it starts cold again. Streams take no slot. The ledger is a file with one JSON line per
event (traced, run, cancelled, done, overrun); tests compare it with the outcomes that
callers got.
"""

import argparse
import asyncio
import json
import time
import uuid

import grpc

from bilberrypath.generated import upstream_pb2 as pb
from bilberrypath.generated import upstream_pb2_grpc as pb_grpc
from tests.standins.remote import serve_control

ITEM_PERIOD = 0.1  # seconds between the items of a stream; default of --item-period
PART_SIZE = 64 * 1024  # bytes of a reply body in one message


class Upstream(pb_grpc.UpstreamServicer):
    """Serve ``Exchange`` and ``Status``; tests inject faults by setting attributes.

    ``draining`` and ``shedding`` refuse requests. ``blackhole`` accepts requests
    without answering them and ends streams. ``lying`` reports in ``Status`` that no
    request runs and that the upstream does not drain. ``overruns`` counts crashes
    by too many requests, ``streams`` the open streams, ``started`` all requests run.
    """

    def __init__(self, options):
        self.options = options
        self.ledger = open(options.ledger, "a", buffering=1)
        self.service_time = options.service_time
        self.draining = False
        self.shedding = False
        self.blackhole = False
        self.lying = False
        self.peak_running = 0
        self.overruns = 0
        self.streams = 0
        self.running = set()
        self.started = 0
        self.reboot()

    def reboot(self):
        """Take a new boot ID and begin a cold start."""
        self.boot_id = uuid.uuid4().hex
        self.cold_since = time.monotonic()

    @property
    def is_cold(self):
        return time.monotonic() - self.cold_since < self.options.cold_seconds

    @property
    def capacity(self):
        """Number of concurrent requests that can be served now."""
        return self.options.cold_slots if self.is_cold else self.options.slots

    def write_event(self, event, **fields):
        """Append an event to the ledger."""
        row = {"t": time.time(), "event": event, "service": self.options.service}
        print(json.dumps({**row, **fields}), file=self.ledger)

    async def Exchange(self, request_iterator, context):
        first = await anext(aiter(request_iterator))
        head = first.head
        if head.method == "GET" and head.path.startswith("/board"):
            async for part in self.stream(head, context):
                yield part
            return
        size = 0
        async for part in request_iterator:
            size += len(part.body)
        if self.draining:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "draining")
        if self.shedding:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "shed")
        metadata = dict(context.invocation_metadata())
        self.write_event("traced", traceparent=metadata.get("traceparent", ""))
        body = await self.run(head, size, context)
        yield pb.ReplyPart(head=pb.ReplyHead(status=200, boot_id=self.boot_id))
        for start in range(0, len(body), PART_SIZE):
            yield pb.ReplyPart(body=body[start : start + PART_SIZE])

    async def run(self, head, size, context):
        """Run a request and return the reply body; abort if a crash intervenes.

        During cold start a request takes 4 times the service time.
        """
        task = asyncio.current_task()
        boot_id = self.boot_id
        self.running.add(task)
        self.peak_running = max(self.peak_running, len(self.running))
        self.started += 1
        number = self.started
        self.write_event("run", key=head.key, path=head.path, method=head.method)
        if len(self.running) > self.capacity:
            self.crash_on_overload(len(self.running))
            self.running.discard(task)
            await context.abort(grpc.StatusCode.UNAVAILABLE, "fell over")
        try:
            if self.blackhole:
                await asyncio.sleep(3600)
            slowdown = 4 if self.is_cold else 1
            await asyncio.sleep(self.service_time * slowdown)
        except asyncio.CancelledError:
            self.write_event("cancelled", key=head.key)
            raise
        finally:
            self.running.discard(task)
        if boot_id != self.boot_id:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "fell over")
        self.write_event("done", key=head.key)
        if head.path.startswith("/echo"):
            return b"x" * size
        return f"{head.method} {head.path} {head.key} {size} {number}".encode()

    def crash_on_overload(self, running):
        """Record that ``running`` requests exceed the capacity, and reboot."""
        self.overruns += 1
        self.write_event(
            "overrun", running=running, bears=self.capacity, cold=self.is_cold
        )
        self.reboot()

    async def stream(self, head, context):
        """Yield the items of a board as server-sent events, one per item period.

        Items are numbered by wall-clock time, so that all upstreams number alike
        and a client can resume elsewhere after the item it received last.
        """
        self.streams += 1
        try:
            yield pb.ReplyPart(head=pb.ReplyHead(status=200, boot_id=self.boot_id))
            period = self.options.item_period
            last_sent = head.after_item or int(time.time() / period)
            while not self.blackhole:
                newest = int(time.time() / period)
                for number in range(last_sent + 1, newest + 1):
                    text = f"id: {number}\ndata: {head.path}\n\n"
                    yield pb.ReplyPart(body=text.encode())
                last_sent = max(last_sent, newest)
                await asyncio.sleep(period)
        finally:
            self.streams -= 1

    async def Status(self, request, context):
        draining = self.draining and not self.lying
        return pb.StatusReply(
            boot_id=self.boot_id,
            healthy=True,
            draining=draining,
            running=0 if self.lying else len(self.running),
        )

    def handle(self, op, fields):
        """Execute a command of the test; return the counts of requests and streams.

        "set" assigns attributes, "cold" begins a cold start with the same boot ID,
        "reboot" begins one with a new boot ID.
        """
        if op == "set":
            for name, value in fields.items():
                setattr(self, name, value)
        elif op == "cold":
            self.cold_since = time.monotonic()
        elif op == "reboot":
            self.reboot()
        return {
            "running": len(self.running),
            "peak_running": self.peak_running,
            "overruns": self.overruns,
            "streams": self.streams,
            "started": self.started,
            "cold": self.is_cold,
        }


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--cold-slots", type=int, default=1)
    parser.add_argument("--cold-seconds", type=float, default=1.0)
    parser.add_argument("--service-time", type=float, default=0.02)
    parser.add_argument("--item-period", type=float, default=ITEM_PERIOD)
    options = parser.parse_args()
    upstream = Upstream(options)
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    pb_grpc.add_UpstreamServicer_to_server(upstream, server)
    server.add_insecure_port(f"{options.host}:{options.port}")
    await server.start()
    await serve_control((options.host, options.port), upstream.handle)
    await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(main())
