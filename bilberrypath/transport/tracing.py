"""OpenTelemetry spans, one for each hop, in one trace from caller to upstream.

A balancer cannot read requests, so the trace ID of a flow is derived from what every
hop sees: the connection ID that the caller chose for the open. Requests on the flow
belong to that trace unless they carry a trace context of their own.
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

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
_SAMPLING_RANGE = 1 << 64  # sampling compares the low 64 bits of the trace ID


def make_tracer(settings: TraceSettings, process: str) -> Tracer:
    """Return a tracer that exports spans over OTLP.

    Without a collector in the settings, the tracer records nothing. ``process`` is the
    service name in the exported spans.
    """
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
    """Return the trace context of a flow, derived from the open's connection ID.

    Every hop derives the same trace ID and makes the same sampling decision.
    """
    length = TRACE_ID_BYTES + SPAN_ID_BYTES
    digest = hashlib.blake2s(connection_id, digest_size=length).digest()
    trace_id = int.from_bytes(digest[:TRACE_ID_BYTES], "big")
    span_id = int.from_bytes(digest[TRACE_ID_BYTES:], "big")
    is_sampled = trace_id % _SAMPLING_RANGE < sample_ratio * _SAMPLING_RANGE
    flags = TraceFlags(TraceFlags.SAMPLED if is_sampled else TraceFlags.DEFAULT)
    parent = SpanContext(trace_id, span_id, is_remote=True, trace_flags=flags)
    return trace.set_span_in_context(NonRecordingSpan(parent))


def choose_context(traceparent: str, flow_context: Context) -> Context:
    """Return the context in a request's ``traceparent``, or its flow's if empty."""
    return extract({"traceparent": traceparent}) if traceparent else flow_context


def format_traceparent(context: Context) -> str:
    """Return the ``traceparent`` header of a context; empty without a valid span."""
    carrier: dict[str, str] = {}
    inject(carrier, context)
    return carrier.get("traceparent", "")


def format_span_traceparent(span: Span) -> str:
    """Return the ``traceparent`` header that makes a span the next hop's parent."""
    return format_traceparent(trace.set_span_in_context(span))
