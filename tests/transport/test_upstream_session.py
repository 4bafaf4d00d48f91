"""Tests of what a session reports of its upstream's answers."""

import pytest

from bilberrypath.generated.upstream_pb2 import ReplyHead, ReplyPart
from bilberrypath.protocol.http import RequestHead
from bilberrypath.protocol.outcome import Answered, Reason, Unknown
from bilberrypath.transport.upstream_session import UpstreamSession, UpstreamStatus


class StubUpstream:
    """A gRPC stub whose calls end well after the given parts."""

    def __init__(self, *parts):
        self.parts = parts

    async def Exchange(self, requests, **options):
        for part in self.parts:
            yield part


@pytest.fixture
async def events():
    return []


async def exchange(events, *parts):
    session = UpstreamSession(("127.0.0.1", 1), events.append)
    session._is_connected = True
    session._stub = StubUpstream(*parts)
    outcome = await session.exchange(RequestHead("GET", "/"), b"", 1.0)
    await session.close()
    return outcome


class TestExchange:
    async def test_answer_does_not_state_whether_the_upstream_drains(self, events):
        """Guard against an agent that resumes beside a draining upstream."""
        head = ReplyPart(head=ReplyHead(status=200, boot_id="b"))
        outcome = await exchange(events, head, ReplyPart(body=b"whole"))
        assert outcome == Answered(200, b"whole")
        assert events == [UpstreamStatus("b", draining=None)]

    async def test_call_that_ends_without_an_answer_is_no_success(self, events):
        assert await exchange(events) == Unknown(Reason.UPSTREAM_LOST)
