"""Tests of the caller library with fake and unconnected flows."""

import asyncio
import time

import pytest

from bilberrypath.caller.caller import Caller, CallerOptions
from bilberrypath.caller.flow import RESET_REASON, CallerFlow, FlowLost, Reply
from bilberrypath.protocol.http import (
    AGENT_ENDED_REASON,
    DATA_CENTRE_OUT_REASON,
    RequestHead,
)
from bilberrypath.protocol.outcome import Reason, RefusedNotRun, Unknown
from bilberrypath.transport.quic import CallerConnection, make_caller_configuration


class FakeFlow:
    """A flow whose response parts are supplied by the test."""

    has_received_goaway = False

    def __init__(self):
        self.reply = Reply()
        self.closed_streams = []

    def send_request(self, head, body):
        return 0, self.reply

    async def read_body_part(self, reply):
        return await reply.parts.get()

    def close_stream(self, stream_id):
        self.closed_streams.append(stream_id)


class TestStream:
    async def test_cancel_takes_effect_when_an_item_arrives_at_the_same_time(self):
        caller = Caller(CallerOptions(("127.0.0.1", 1)))
        flow = FakeFlow()

        async def read_stream():
            async for _ in caller._read_stream(flow, "/board", 0):
                pass

        task = asyncio.create_task(read_stream())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        flow.reply.parts.put_nowait(b"id: 1\ndata: a\n\n")
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            async with asyncio.timeout(5):
                await task
        assert task.cancelled()
        assert flow.closed_streams == [0]


class TestResolve:
    @pytest.mark.parametrize("reason", [RESET_REASON, DATA_CENTRE_OUT_REASON])
    async def test_outcome_is_not_queried_when_no_agent_can_answer(self, reason):
        caller = Caller(CallerOptions(("127.0.0.1", 1)))
        flow = FakeFlow()
        flow.lost_reason = reason
        flow.agent_incarnation = 7
        outcome = await caller._resolve_outcome(flow, "key", 0.0)
        assert outcome == Unknown(Reason.FLOW_LOST)
        assert caller.counts.outcome_queries == 0


class TestAgentEnded:
    async def test_request_lost_when_the_agent_ends_is_refused_as_not_run(
        self, monkeypatch
    ):
        caller = Caller(CallerOptions(("127.0.0.1", 1)))
        flow = FakeFlow()
        flow.lost_reason = AGENT_ENDED_REASON
        flow.agent_incarnation = 7

        async def pick_flow(tried, until):
            return flow

        async def raise_flow_lost(*_):
            raise FlowLost(AGENT_ENDED_REASON)

        monkeypatch.setattr(Caller, "_pick_flow", lambda self, *a: pick_flow(*a))
        monkeypatch.setattr(Caller, "_exchange_traced", raise_flow_lost)
        head = RequestHead("POST", "/rides", "k", 1.0, False)
        outcome = await caller._try_once(head, b"", time.monotonic() + 1.0, [])
        assert outcome == RefusedNotRun(Reason.DRAINING, elsewhere=True)


class TestDeadline:
    async def test_no_request_is_sent_after_the_deadline(self, monkeypatch):
        caller = Caller(CallerOptions(("127.0.0.1", 1)))
        flow = FakeFlow()

        async def pick_flow(tried, until):
            return flow

        monkeypatch.setattr(Caller, "_pick_flow", lambda self, *a: pick_flow(*a))
        head = RequestHead("POST", "/rides", "k", 1.0, False)
        outcome = await caller._try_once(head, b"", time.monotonic() - 0.1, [])
        assert outcome == RefusedNotRun(Reason.DEADLINE, elsewhere=False)


class TestCallerFlow:
    async def test_flow_can_be_shut_down_after_its_socket_closed(self):
        configuration = make_caller_configuration(None, "localhost")
        connection = CallerConnection(configuration=configuration)
        loop = asyncio.get_running_loop()
        transport, flow = await loop.create_datagram_endpoint(
            lambda: CallerFlow(connection, "localhost"), local_addr=("127.0.0.1", 0)
        )
        flow.connect(("127.0.0.1", 1))
        flow._mark_lost("reset")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        flow.shutdown()
        flow.shutdown()
        assert flow.lost_reason == "reset"
