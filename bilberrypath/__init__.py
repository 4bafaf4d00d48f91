"""A layer-4 load balancer whose balancers hold no state that a flow depends on.

The public API is the caller library, the outcomes of requests, and the decision
cores, which do no I/O, for programs that drive them. Each name is imported on first
use, so that a process loads only the modules it needs.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bilberrypath.caller.caller import Caller, CallerOptions
    from bilberrypath.caller.sse import StreamItem
    from bilberrypath.coordination.agent import AgentCore, AgentSetup
    from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.protocol.outcome import (
        Answered,
        Outcome,
        Reason,
        RefusedNotRun,
        Unknown,
    )
    from bilberrypath.protocol.token import Route, TokenCodec

_MODULE_BY_NAME = {
    "AgentCore": "coordination.agent",
    "AgentSetup": "coordination.agent",
    "Answered": "protocol.outcome",
    "BalancerCore": "coordination.balancer",
    "BalancerSetup": "coordination.balancer",
    "Caller": "caller.caller",
    "CallerOptions": "caller.caller",
    "FlowAgent": "coordination.flow_agent",
    "FlowAgentSetup": "coordination.flow_agent_setup",
    "FlowBalancer": "coordination.flow_balancer",
    "Outcome": "protocol.outcome",
    "Reason": "protocol.outcome",
    "RefusedNotRun": "protocol.outcome",
    "Route": "protocol.token",
    "StreamItem": "caller.sse",
    "TokenCodec": "protocol.token",
    "Unknown": "protocol.outcome",
}

__all__ = [
    "AgentCore",
    "AgentSetup",
    "Answered",
    "BalancerCore",
    "BalancerSetup",
    "Caller",
    "CallerOptions",
    "FlowAgent",
    "FlowAgentSetup",
    "FlowBalancer",
    "Outcome",
    "Reason",
    "RefusedNotRun",
    "Route",
    "StreamItem",
    "TokenCodec",
    "Unknown",
]


def __getattr__(name: str) -> Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
