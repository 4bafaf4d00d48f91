"""When a flow that is only tried at an upstream is to be looked up again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination.held_flows import TRIAL_PACKET_GAP

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.held_flows import HeldFlow
    from bilberrypath.types import Seconds


def has_unanswered_trial(agent: FlowAgent, held: HeldFlow, now: Seconds) -> bool:
    """Return whether an agent should look up a flow that is only tried at its upstream.

    It should if the upstream was not heard for ``TRIAL_PACKET_GAP`` since its last
    packet of the flow, and another agent has come meanwhile. Without the latter the
    flow is as likely here as before, and other upstreams would get foreign packets.
    """
    if held.is_confirmed or now - held.tried_at < TRIAL_PACKET_GAP:
        return False
    silence = agent.upstream.health.compute_silence(now)
    was_heard = silence is not None and now - silence > held.tried_at
    return not was_heard and agent.agents_changed_at > held.tried_at
