"""Encode and decode requests and outcomes in HTTP/3, for callers and agents."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.protocol.decoding import MAX_INTEGER
from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

    Headers = list[tuple[bytes, bytes]]

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"bilberrypath-deadline-ms"
IDEMPOTENT_HEADER = b"bilberrypath-idempotent"
OUTCOME_HEADER = b"bilberrypath-outcome"
AGENT_HEADER = b"bilberrypath-agent"
INCARNATION_HEADER = b"bilberrypath-incarnation"
AGE_HEADER = b"bilberrypath-age-ms"
LAST_ITEM_HEADER = b"last-event-id"
STREAM_MEDIA_TYPE = b"text/event-stream"
PROBLEM_MEDIA_TYPE = b"application/problem+json"
OUTCOME_PATH = "/.well-known/bilberrypath/outcome"
NOT_RUN_PROBLEM_URN = "urn:bilberrypath:not-run"
UNKNOWN_PROBLEM_URN = "urn:bilberrypath:unknown"
SAFE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
# Reasons sent to the caller when a flow is closed. When an agent has ended, all
# requests that it received are answered, and the answers are confirmed.
DATA_CENTRE_OUT_REASON = "data centre out of service"
AGENT_ENDED_REASON = "agent ended"
DEFAULT_DEADLINE: Seconds = 10.0
MAX_DEADLINE: Seconds = 120.0
MAX_INTEGER_LENGTH = len(str(-MAX_INTEGER))  # bytes of a header
_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.DEADLINE_PASSED: 504,
}


@frozen
class RequestHead:
    """The contents of a request's headers.

    ``key`` is the idempotency key. ``deadline`` counts from the arrival of the request.
    ``idempotent`` states whether the request may be run more than once.
    ``after_item`` is the last item of a stream that the caller has received.
    ``incarnation`` and ``age`` belong to an outcome query: the incarnation of the agent
    that the request was sent to, and the time since it was first sent.
    """

    method: str
    path: str
    key: str = ""
    deadline: Seconds = DEFAULT_DEADLINE
    idempotent: bool = True
    is_stream: bool = False
    after_item: int = 0
    incarnation: int = 0
    age: Seconds = 0.0
    traceparent: str = ""


@frozen
class BadRequest:
    """The error, described by ``reason``, in headers of an invalid request."""

    reason: str


def decode_request_head(headers: Headers) -> RequestHead | BadRequest:
    """Return the contents of a request's headers, or why they are invalid."""
    value_by_name = dict(headers)
    try:
        method = value_by_name[b":method"].decode("ascii")
        path = value_by_name[b":path"].decode("ascii")
        deadline = _parse_integer(value_by_name, DEADLINE_HEADER, -1) / 1000
        after_item = _parse_integer(value_by_name, LAST_ITEM_HEADER)
        incarnation = _parse_integer(value_by_name, INCARNATION_HEADER)
        age = _parse_integer(value_by_name, AGE_HEADER) / 1000
        key = value_by_name.get(IDEMPOTENCY_KEY_HEADER, b"").decode("ascii")
    except (KeyError, ValueError) as error:
        return BadRequest(f"header {error}")
    flag = value_by_name.get(IDEMPOTENT_HEADER)
    return RequestHead(
        method=method,
        path=path,
        key=key,
        deadline=min(deadline, MAX_DEADLINE) if deadline >= 0 else DEFAULT_DEADLINE,
        idempotent=method in SAFE_METHODS if flag is None else flag == b"?1",
        is_stream=STREAM_MEDIA_TYPE in value_by_name.get(b"accept", b""),
        after_item=max(0, after_item),
        incarnation=incarnation,
        age=age,
        traceparent=value_by_name.get(b"traceparent", b"").decode("ascii", "replace"),
    )


def _parse_integer(
    value_by_name: dict[bytes, bytes], name: bytes, default: int = 0
) -> int:
    """Return the whole number in a header; raises ValueError if it is out of range."""
    value = value_by_name.get(name)
    if value is None:
        return default
    if len(value) > MAX_INTEGER_LENGTH or not -MAX_INTEGER <= int(value) <= MAX_INTEGER:
        raise ValueError(
            f"{name.decode()} is {value[:MAX_INTEGER_LENGTH]!r}, expected a whole "
            f"number of at most {MAX_INTEGER}"
        )
    return int(value)


def encode_request_head(head: RequestHead, authority: str) -> Headers:
    """Return the headers of a request."""
    headers = [
        (b":method", head.method.encode()),
        (b":scheme", b"https"),
        (b":authority", authority.encode()),
        (b":path", head.path.encode()),
        (DEADLINE_HEADER, str(int(head.deadline * 1000)).encode()),
        (IDEMPOTENT_HEADER, b"?1" if head.idempotent else b"?0"),
    ]
    if head.key:
        headers.append((IDEMPOTENCY_KEY_HEADER, head.key.encode()))
    if head.is_stream:
        headers.append((b"accept", STREAM_MEDIA_TYPE))
    if head.after_item:
        headers.append((LAST_ITEM_HEADER, str(head.after_item).encode()))
    if head.incarnation:
        headers.append((INCARNATION_HEADER, str(head.incarnation).encode()))
        headers.append((AGE_HEADER, str(int(head.age * 1000)).encode()))
    if head.traceparent:
        headers.append((b"traceparent", head.traceparent.encode()))
    return headers


def encode_outcome(outcome: Outcome, agent: bytes) -> tuple[Headers, bytes]:
    """Return the response headers and body that carry an outcome.

    ``agent`` is the agent's incarnation in decimal digits.
    """
    if isinstance(outcome, Answered):
        status, body = outcome.status, outcome.body
        extra = []
    else:
        status, body = _encode_problem(outcome)
        extra = [(b"content-type", PROBLEM_MEDIA_TYPE)]
    if isinstance(outcome, RefusedNotRun) and outcome.retry_after:
        seconds = max(1, round(outcome.retry_after))
        extra.append((b"retry-after", str(seconds).encode()))
    headers = [
        (b":status", str(status).encode()),
        (OUTCOME_HEADER, outcome.kind.encode()),
        (AGENT_HEADER, agent),
        (b"content-length", str(len(body)).encode()),
        *extra,
    ]
    return headers, body


def _encode_problem(outcome: RefusedNotRun | Unknown) -> tuple[int, bytes]:
    """Return the status and the problem document (RFC 9457) of an outcome."""
    refused = isinstance(outcome, RefusedNotRun)
    status = _STATUS_BY_REASON.get(outcome.reason, 503 if refused else 502)
    problem = {
        "type": NOT_RUN_PROBLEM_URN if refused else UNKNOWN_PROBLEM_URN,
        "title": "The request did not run" if refused else "The request may have run",
        "status": status,
        "reason": outcome.reason.value,
    }
    if refused:
        problem["elsewhere"] = outcome.elsewhere
        problem["retry_after"] = outcome.retry_after
    return status, json.dumps(problem).encode()


def decode_outcome(headers: Headers, body: bytes) -> Outcome:
    """Return the outcome in a response; a malformed problem document is unknown."""
    value_by_name = dict(headers)
    kind = value_by_name.get(OUTCOME_HEADER, b"answered")
    if kind == b"answered":
        return Answered(int(value_by_name[b":status"]), body)
    try:
        problem = json.loads(body)
        reason = Reason(problem["reason"])
        if kind == b"not_run":
            return RefusedNotRun(reason, problem["elsewhere"], problem["retry_after"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return Unknown(Reason.UPSTREAM_LOST)
    return Unknown(reason)
