"""A stand-in for the platform's key-value service: etcd v3 protocol, in memory.

It counts calls, can answer slowly or not at all, can withhold the answer to a
write that took effect, and can be restored to an earlier state.
"""

import argparse
import asyncio
import copy

import grpc
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from tests.standins.remote import serve_control


class KeyValue(rpc_pb2_grpc.KVServicer):
    """Serve the ``Range`` and ``Txn`` calls of etcd.

    While ``away`` is set, calls get no answer. ``latency`` is the time in seconds
    before each call takes effect. ``lose_answers`` is the number of further writes
    that take effect without an answer. ``saved_rows`` is the state to restore.
    """

    def __init__(self):
        self.rows = {}
        self.revision = 1
        self.calls = {"read": 0, "write": 0}
        self.away = False
        self.latency = 0.002
        self.lose_answers = 0
        self.saved_rows = None

    async def _start_call(self, kind):
        """Count a call ("read" or "write"), then wait out the latency or outage."""
        self.calls[kind] += 1
        if self.away:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.latency)

    async def _finish_write(self):
        """Withhold the answer to a write if ``lose_answers`` is still positive."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(3600)

    async def Range(self, request, context):
        await self._start_call("read")
        return self._range(request)

    def _range(self, request):
        if request.range_end:
            rows = [
                row
                for key, row in sorted(self.rows.items())
                if request.key <= key < request.range_end
            ]
        else:
            rows = [self.rows[request.key]] if request.key in self.rows else []
        header = rpc_pb2.ResponseHeader(revision=self.revision)
        return rpc_pb2.RangeResponse(header=header, kvs=rows, count=len(rows))

    async def Txn(self, request, context):
        await self._start_call("write")
        conditions_hold = all(self._compare(compare) for compare in request.compare)
        if conditions_hold:
            self.revision += 1
        responses = [
            self._apply(operation)
            for operation in (request.success if conditions_hold else request.failure)
        ]
        await self._finish_write()
        header = rpc_pb2.ResponseHeader(revision=self.revision)
        return rpc_pb2.TxnResponse(
            header=header, succeeded=conditions_hold, responses=responses
        )

    def _compare(self, compare):
        """Return whether a condition of a transaction holds."""
        row = self.rows.get(compare.key)
        if compare.target == rpc_pb2.Compare.CREATE:
            return (row.create_revision if row else 0) == compare.create_revision
        if compare.target == rpc_pb2.Compare.VALUE:
            return row is not None and row.value == compare.value
        return (row.mod_revision if row else 0) == compare.mod_revision

    def _apply(self, operation):
        """Execute one operation of a transaction; return its response."""
        kind = operation.WhichOneof("request")
        if kind == "request_put":
            put = operation.request_put
            previous = self.rows.get(put.key)
            self.rows[put.key] = kv_pb2.KeyValue(
                key=put.key,
                value=put.value,
                create_revision=previous.create_revision if previous else self.revision,
                mod_revision=self.revision,
                version=previous.version + 1 if previous else 1,
            )
            return rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse())
        if kind == "request_delete_range":
            self.rows.pop(operation.request_delete_range.key, None)
            deleted = rpc_pb2.DeleteRangeResponse()
            return rpc_pb2.ResponseOp(response_delete_range=deleted)
        found = self._range(operation.request_range)
        return rpc_pb2.ResponseOp(response_range=found)

    def handle(self, op, fields):
        """Execute a command of the test; return the counts of calls and keys.

        "set" assigns attributes, "save" stores a copy of all rows, "set_back"
        restores that copy without changing the revision.
        """
        if op == "set":
            for name, value in fields.items():
                setattr(self, name, value)
        elif op == "save":
            self.saved_rows = copy.deepcopy(self.rows)
        elif op == "set_back":
            self.rows = copy.deepcopy(self.saved_rows)
        return {"calls": self.calls, "keys": len(self.rows)}


async def serve(host, port):
    """Serve etcd calls, and test commands by UDP on the same port number."""
    store = KeyValue()
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    rpc_pb2_grpc.add_KVServicer_to_server(store, server)
    server.add_insecure_port(f"{host}:{port}")
    await server.start()
    await serve_control((host, port), store.handle)
    return store, server


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    _, server = await serve(options.host, options.port)
    await server.wait_for_termination()


if __name__ == "__main__":
    asyncio.run(main())
