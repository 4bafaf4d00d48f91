"""Spans, one for each hop, in one trace from caller to upstream.

A balancer can't read requests, so the trace of a flow is named by what every
hop sees: the connection id that the caller chose for the open. Requests on the
flow belong to that trace unless they bring a trace of their own.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from opentelemetry import trace
from opentelemetry.propagate import extract, inject
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags

if TYPE_CHECKING:
    from opentelemetry.context import Context
    from opentelemetry.trace import Span, Tracer

    from bilberrypath.settings import TraceSettings

TRACE_ID_BYTES = 16  # bytes
SPAN_ID_BYTES = 8  # bytes
_ID_SPACE = 1 << 64


def make_tracer(settings: TraceSettings, process: str) -> Tracer:
    """Return a tracer that exports by OTLP, or one that records nothing."""
    if not settings.collector:
        return trace.NoOpTracer()
    from opentelemetry.exporter.otlp.proto.grpc.trace_exporter import OTLPSpanExporter

    sampler = ParentBased(TraceIdRatioBased(settings.sample_ratio))
    resource = Resource.create({"service.name": process})
    provider = TracerProvider(sampler=sampler, resource=resource)
    exporter = OTLPSpanExporter(endpoint=settings.collector, insecure=True)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider.get_tracer("bilberrypath")


def make_open_context(connection_id: bytes, sample_ratio: float) -> Context:
    """Return the context of the flow that an open's connection id names.

    Every hop derives the same trace, and keeps it or not alike.
    """
    length = TRACE_ID_BYTES + SPAN_ID_BYTES
    digest = hashlib.blake2s(connection_id, digest_size=length).digest()
    trace_id = int.from_bytes(digest[:TRACE_ID_BYTES], "big")
    span_id = int.from_bytes(digest[TRACE_ID_BYTES:], "big")
    kept = trace_id % _ID_SPACE < sample_ratio * _ID_SPACE
    flags = TraceFlags(TraceFlags.SAMPLED if kept else TraceFlags.DEFAULT)
    parent = SpanContext(trace_id, span_id, is_remote=True, trace_flags=flags)
    return trace.set_span_in_context(NonRecordingSpan(parent))


def choose_context(traceparent: str, flow_context: Context) -> Context:
    """Return the context of a request: its own trace, or that of its flow."""
    return extract({"traceparent": traceparent}) if traceparent else flow_context


def format_traceparent(context: Context) -> str:
    """Return the header that carries a context on."""
    carrier: dict[str, str] = {}
    inject(carrier, context)
    return carrier.get("traceparent", "")


def format_span_traceparent(span: Span) -> str:
    """Return the header that makes a span the parent of the next hop's."""
    return format_traceparent(trace.set_span_in_context(span))
