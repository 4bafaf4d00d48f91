"""Tests of flows that are only tried at an upstream."""

import pytest

from bilberrypath.coordination.held_flows import TRIAL_PACKET_GAP, HeldFlow
from bilberrypath.coordination.trials import has_unanswered_trial
from tests.support.flow_world import make_world

HOST = "10.2.0.1"


class TestUnansweredTrial:
    @pytest.fixture
    def agent(self):
        """Return an agent whose upstream is silent, and that knows a new agent."""
        world = make_world(agents=2)
        world.upstream_by_host[HOST].is_silent = True
        agent = world.node_by_host[HOST]
        agent.agents_changed_at = world.now + 0.5
        agent.tried_at = world.now
        return agent

    def is_unanswered(self, agent, seconds, **changes):
        held = HeldFlow(agent.tried_at, 0, tried_at=agent.tried_at, **changes)
        return has_unanswered_trial(agent, held, agent.tried_at + seconds)

    def test_is_one_after_the_gap(self, agent):
        assert not self.is_unanswered(agent, TRIAL_PACKET_GAP - 0.1)
        assert self.is_unanswered(agent, TRIAL_PACKET_GAP + 0.1)

    def test_is_none_if_the_flow_is_confirmed(self, agent):
        assert not self.is_unanswered(agent, 2.0, is_confirmed=True)

    def test_is_none_if_the_upstream_was_heard(self, agent):
        agent.upstream.health.record_received(agent.tried_at + 0.1)
        assert not self.is_unanswered(agent, 2.0)

    def test_is_none_if_no_agent_came(self, agent):
        """Guard against foreign packets while the flow's own upstream pauses."""
        agent.agents_changed_at = agent.tried_at - 1.0
        assert not self.is_unanswered(agent, 2.0)
