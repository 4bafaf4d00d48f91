"""The platform's key-value service, by the etcd v3 protocol, in memory.

It counts calls, can be slow or away, can lose answers after a write took
effect, and can be set back to an older state.
"""

import argparse
import asyncio
import copy

import grpc
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from tests.standins.remote import serve_control


class KeyValue(rpc_pb2_grpc.KVServicer):
    def __init__(self):
        self.rows = {}
        self.revision = 1
        self.calls = {"read": 0, "write": 0}
        self.away = False
        self.latency = 0.002
        self.lose_answers = 0
        self.saved = None

    async def _begin(self, kind):
        self.calls[kind] += 1
        if self.away:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.latency)

    async def _end_write(self):
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(3600)

    async def Range(self, request, context):
        await self._begin("read")
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
        await self._begin("write")
        holds = all(self._compare(compare) for compare in request.compare)
        if holds:
            self.revision += 1
        responses = [
            self._apply(operation)
            for operation in (request.success if holds else request.failure)
        ]
        await self._end_write()
        header = rpc_pb2.ResponseHeader(revision=self.revision)
        return rpc_pb2.TxnResponse(header=header, succeeded=holds, responses=responses)

    def _compare(self, compare):
        row = self.rows.get(compare.key)
        if compare.target == rpc_pb2.Compare.CREATE:
            return (row.create_revision if row else 0) == compare.create_revision
        if compare.target == rpc_pb2.Compare.VALUE:
            return row is not None and row.value == compare.value
        return (row.mod_revision if row else 0) == compare.mod_revision

    def _apply(self, operation):
        kind = operation.WhichOneof("request")
        if kind == "request_put":
            put = operation.request_put
            before = self.rows.get(put.key)
            self.rows[put.key] = kv_pb2.KeyValue(
                key=put.key,
                value=put.value,
                create_revision=before.create_revision if before else self.revision,
                mod_revision=self.revision,
                version=before.version + 1 if before else 1,
            )
            return rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse())
        if kind == "request_delete_range":
            self.rows.pop(operation.request_delete_range.key, None)
            deleted = rpc_pb2.DeleteRangeResponse()
            return rpc_pb2.ResponseOp(response_delete_range=deleted)
        found = self._range(operation.request_range)
        return rpc_pb2.ResponseOp(response_range=found)

    def handle(self, op, fields):
        if op == "set":
            for name, value in fields.items():
                setattr(self, name, value)
        elif op == "save":
            self.saved = copy.deepcopy(self.rows)
        elif op == "set_back":
            self.rows = copy.deepcopy(self.saved)
        return {"calls": self.calls, "keys": len(self.rows)}


async def serve(host, port):
    """Serve at an address, with steering on the same port by UDP."""
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
