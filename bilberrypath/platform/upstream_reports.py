"""HTTP handlers for the reports of upstreams and the platform's readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
from bilberrypath.protocol.decoding import (
    DECODE_ERRORS,
    BoundedInteger,
)
from bilberrypath.settings_reader import parse_address
from bilberrypath.transport.http_server import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

READY_PATH = "/v1/ready"
REPORT_PREFIX = "/v1/instances/"
UPSTREAM_STATES = ("ready", "draining")
MS_PER_SECOND = 1000
MAX_SLOTS = 65536  # servers hold about 2,000 connections
MAX_COLD_START_MS = 24 * 3600 * MS_PER_SECOND
MAX_START_TIME_MS = 2**42  # in the year 2109


class HeartbeatDocument(msgspec.Struct, rename="camel"):
    """An upstream's heartbeat; ``seq`` increases with each of them.

    ``version`` is that of its software, ``slots`` the number of requests that it runs
    at once, ``born`` its start time in milliseconds since the epoch, and
    ``cold_remaining_ms`` the remaining time of its cold start. A negative one is taken
    as 0. All fields are required: a heartbeat without one is another writer's.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, Meta(le=MAX_COLD_START_MS)]
    seq: BoundedInteger
    born: Annotated[int, Meta(ge=1, le=MAX_START_TIME_MS)]


_decode_heartbeat = msgspec.json.Decoder(HeartbeatDocument).decode


def handle_ready_request(
    is_ready: Callable[[], bool], request: HttpRequest
) -> HttpResponse:
    """Answer the platform's check whether packets may be sent to this process."""
    if request.path != READY_PATH:
        return HttpResponse(404)
    return HttpResponse(200 if is_ready() else 503, b"{}")


def handle_report_request(
    handle_event: Callable[[UpstreamReport | UpstreamLeft], None],
    find_report_error: Callable[[UpstreamReport], str | None],
    request: HttpRequest,
) -> HttpResponse:
    """Pass an upstream's report, or its deregistration, to ``handle_event``.

    A malformed report is rejected with status 400 and creates no event. So is one for
    which ``find_report_error`` returns an error; its event is for the counters and the
    log.
    """
    if not request.path.startswith(REPORT_PREFIX):
        return HttpResponse(404)
    upstream_id = request.path.removeprefix(REPORT_PREFIX)
    if request.method == "DELETE":
        handle_event(UpstreamLeft(upstream_id))
        return HttpResponse(200, b"{}")
    if request.method != "PUT":
        return HttpResponse(405)
    try:
        report = _parse_report(upstream_id, request.body)
    except (ValueError, *DECODE_ERRORS) as error:
        return _reject(str(error))
    error = find_report_error(report)
    handle_event(report)
    return HttpResponse(200, b"{}") if error is None else _reject(error)


def _reject(error: str) -> HttpResponse:
    return HttpResponse(400, msgspec.json.encode({"error": error}))


def _parse_report(upstream_id: str, body: bytes) -> UpstreamReport:
    heartbeat = _decode_heartbeat(body)
    if heartbeat.state not in UPSTREAM_STATES:
        raise ValueError(
            f"state {heartbeat.state!r} is none of {', '.join(UPSTREAM_STATES)}"
        )
    if not upstream_id or not heartbeat.service:
        raise ValueError("an id in the path and a service are needed")
    return UpstreamReport(
        upstream_id,
        heartbeat.born,
        heartbeat.seq,
        heartbeat.service,
        parse_address(heartbeat.address),
        heartbeat.zone,
        heartbeat.slots,
        heartbeat.state == "draining",
        max(0.0, heartbeat.cold_remaining_ms / MS_PER_SECOND),
    )
