"""What servers say of themselves, and what the fabric asks of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
from bilberrypath.settings_reader import parse_address
from bilberrypath.transport.http_server import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

READY_PATH = "/v1/ready"
REPORT_PREFIX = "/v1/instances/"
UPSTREAM_STATES = ("ready", "draining")
MS_PER_SECOND = 1000  # in a second


class HeartbeatDocument(msgspec.Struct, rename="camel"):
    """A server's heartbeat; ``born`` is the time of its start in milliseconds."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float
    seq: int
    born: int = 0


_decode_heartbeat = msgspec.json.Decoder(HeartbeatDocument).decode


def handle_ready_request(
    is_ready: Callable[[], bool], request: HttpRequest
) -> HttpResponse:
    """Answer the fabric's question whether packets may be sent here."""
    if request.path != READY_PATH:
        return HttpResponse(404)
    return HttpResponse(200 if is_ready() else 503, b"{}")


def handle_report_request(
    feed: Callable[[UpstreamReport | UpstreamLeft], None], request: HttpRequest
) -> HttpResponse:
    """Hand a server's report on; one that can't be read names no server."""
    if not request.path.startswith(REPORT_PREFIX):
        return HttpResponse(404)
    upstream_id = request.path.removeprefix(REPORT_PREFIX)
    if request.method == "DELETE":
        feed(UpstreamLeft(upstream_id))
        return HttpResponse(200, b"{}")
    if request.method != "PUT":
        return HttpResponse(405)
    try:
        report = _parse_report(upstream_id, request.body)
    except (ValueError, TypeError, msgspec.MsgspecError) as error:
        return HttpResponse(400, msgspec.json.encode({"error": str(error)}))
    feed(report)
    return HttpResponse(200, b"{}")


def _parse_report(upstream_id: str, body: bytes) -> UpstreamReport:
    beat = _decode_heartbeat(body)
    if beat.state not in UPSTREAM_STATES:
        raise ValueError(
            f"state {beat.state!r} is none of {', '.join(UPSTREAM_STATES)}"
        )
    if not upstream_id or beat.slots < 1 or not beat.service:
        raise ValueError("an id, a service and at least one slot are needed")
    return UpstreamReport(
        upstream_id,
        beat.born,
        beat.seq,
        beat.service,
        parse_address(beat.address),
        beat.zone,
        beat.slots,
        beat.state == "draining",
        max(0.0, beat.cold_remaining_ms / MS_PER_SECOND),
    )
