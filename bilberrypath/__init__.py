"""A layer-4 load balancer whose balancers hold no state that a flow depends on.

The public surface is the caller library, the outcomes of requests, and the
two decision cores for whoever drives them.
"""

from bilberrypath.caller.caller import Caller, CallerOptions
from bilberrypath.caller.events import StreamItem
from bilberrypath.coordination.agent import AgentCore, AgentSetup
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)
from bilberrypath.protocol.token import Route, TokenCodec

__all__ = [
    "AgentCore",
    "AgentSetup",
    "Answered",
    "BalancerCore",
    "BalancerSetup",
    "Caller",
    "CallerOptions",
    "Outcome",
    "Reason",
    "RefusedNotRun",
    "Route",
    "StreamItem",
    "TokenCodec",
    "Unknown",
]
