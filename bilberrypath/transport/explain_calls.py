"""Answers to the bulk call that asks what a process would do with a flow's packet.

This module is loaded by the first such call, as the time that a process takes to load
its modules is time in which its flows wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination.flow_explanation import (
    FlowQuestion,
    FlowUnexplained,
    explain_at_agent,
    explain_at_balancer,
)
from bilberrypath.protocol.flow_packet import FLOW_KEY_LENGTH
from bilberrypath.transport.bulk_calls import FlowExplainReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeVar

    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_explanation import FlowExplanation
    from bilberrypath.transport.bulk_calls import FlowExplainRequest
    from bilberrypath.types import Seconds

    Core = TypeVar("Core", FlowAgent, FlowBalancer)


def answer_at_agent(
    core: FlowAgent, request: FlowExplainRequest, now: Seconds
) -> FlowExplainReply:
    """Return an agent's answer to a request for an explanation."""
    return _answer(explain_at_agent, core, request, now)


def answer_at_balancer(
    core: FlowBalancer, request: FlowExplainRequest, now: Seconds
) -> FlowExplainReply:
    """Return a balancer's answer to a request for an explanation."""
    return _answer(explain_at_balancer, core, request, now)


def _answer(
    explain: Callable[[Core, FlowQuestion, Seconds], FlowExplanation],
    core: Core,
    request: FlowExplainRequest,
    now: Seconds,
) -> FlowExplainReply:
    if len(request.flow) != FLOW_KEY_LENGTH:
        return FlowExplainReply({}, [], "the request has no flow; name its addresses")
    question = FlowQuestion(request.flow, request.is_open, request.client_data_centre)
    try:
        explanation = explain(core, question, now)
    except FlowUnexplained as error:
        return FlowExplainReply({}, [], str(error))
    return FlowExplainReply(explanation.values, explanation.candidates)
