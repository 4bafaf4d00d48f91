"""A trace collector (OTLP over gRPC) that runs in the process of the test."""

import grpc
from opentelemetry.proto.collector.trace.v1 import (
    trace_service_pb2,
    trace_service_pb2_grpc,
)


class Collector(trace_service_pb2_grpc.TraceServiceServicer):
    """Store every received span in ``spans``, in the order of arrival."""

    def __init__(self):
        self.spans = []

    async def Export(self, request, context):
        for resource in request.resource_spans:
            for scope in resource.scope_spans:
                self.spans.extend(scope.spans)
        return trace_service_pb2.ExportTraceServiceResponse()

    def list_span_names(self, trace_id):
        """Return the names of the spans of a trace, whose ID is given in hex."""
        return {s.name for s in self.spans if s.trace_id.hex() == trace_id}


async def serve(address):
    """Start a collector on ``address``; return it and its gRPC server."""
    collector = Collector()
    server = grpc.aio.server()
    trace_service_pb2_grpc.add_TraceServiceServicer_to_server(collector, server)
    server.add_insecure_port(address)
    await server.start()
    return collector, server
