"""Processes that owe an answer, and are passed over until they are heard.

A process that ended beside a living upstream is soon started again and regains
its flows; one whose machine went with it is not. The machine tells the two
apart: it refuses a connection while the process is away.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Count, SendControl
from bilberrypath.coordination.flow_effects import ProbeMachine
from bilberrypath.protocol.flow_messages import Ping, parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.types import NodeId, Seconds

ANSWER_TIMEOUT: Seconds = 0.2  # a hundred round trips between data centres
GONE_AFTER: Seconds = 3.5  # a process that was frozen for three seconds is back
FORGET_AFTER: Seconds = 30.0  # far beyond the time in which members are removed
PROBE_PERIOD: Seconds = 1.0  # three answers of a machine within GONE_AFTER
MACHINE_ALIVE_FOR: Seconds = 2.5  # two lost probes do not make a machine gone
MAX_PROBES = 8  # connections begun at one tick


@define
class UnresponsivePeers:
    """Keep who did not answer in time, and ask them whether they live."""

    since_by_id: dict[NodeId, float] = Factory(dict)
    _expected_since_by_id: dict[NodeId, float] = Factory(dict)
    _probed_at_by_id: dict[NodeId, float] = Factory(dict)
    _machine_alive_at_by_id: dict[NodeId, float] = Factory(dict)

    @property
    def is_tracking(self) -> bool:
        """Whether it matters who is heard."""
        return bool(self.since_by_id or self._expected_since_by_id)

    def expect_answer(self, node_id: NodeId, now: Seconds) -> None:
        """Record that a process owes a word, from the first time on."""
        self._expected_since_by_id.setdefault(node_id, now)

    def is_gone(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a process did not answer for so long that it is gone.

        What only it could have is out of reach for whoever asks here. A process
        whose machine still answers is waited for.
        """
        since = self.since_by_id.get(node_id)
        if since is None or now - since < GONE_AFTER:
            return False
        alive_at = self._machine_alive_at_by_id.get(node_id, float("-inf"))
        return now - alive_at > MACHINE_ALIVE_FOR

    def record_late(self, node_id: NodeId, now: Seconds) -> list[FlowEffect]:
        """Pass over a process from now on, and ask it at once."""
        if node_id in self.since_by_id:
            return []
        self.since_by_id[node_id] = now
        return [Count("peer_silent", "late"), _ping(node_id)]

    def record_heard(self, node_id: NodeId) -> None:
        """Count on a process again."""
        self._expected_since_by_id.pop(node_id, None)
        self._remove(node_id)

    def record_machine_alive(self, node_id: NodeId, now: Seconds) -> None:
        """Record that the machine of a process answered."""
        if node_id in self.since_by_id:
            self._machine_alive_at_by_id[node_id] = now

    def probe_machines(self, now: Seconds) -> list[FlowEffect]:
        """Return the probes of machines that are due."""
        due = [
            node_id
            for node_id in self.since_by_id
            if now - self._probed_at_by_id.get(node_id, float("-inf")) >= PROBE_PERIOD
        ]
        for node_id in due[:MAX_PROBES]:
            self._probed_at_by_id[node_id] = now
        return [ProbeMachine(node_id) for node_id in due[:MAX_PROBES]]

    def shift_for_pause(self, gap: Seconds) -> None:
        """Give every process the time that this one stood still."""
        for times in (
            self.since_by_id,
            self._expected_since_by_id,
            self._machine_alive_at_by_id,
        ):
            for node_id in times:
                times[node_id] += gap

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Return the pings that are due."""
        for node_id, since in list(self._expected_since_by_id.items()):
            if now - since > ANSWER_TIMEOUT:
                del self._expected_since_by_id[node_id]
                self.since_by_id.setdefault(node_id, now)
        for node_id, since in list(self.since_by_id.items()):
            if now - since > FORGET_AFTER:
                self._remove(node_id)
        return [_ping(node_id) for node_id in self.since_by_id]

    def _remove(self, node_id: NodeId) -> None:
        self.since_by_id.pop(node_id, None)
        self._probed_at_by_id.pop(node_id, None)
        self._machine_alive_at_by_id.pop(node_id, None)


def _ping(node_id: NodeId) -> SendControl:
    return SendControl(parse_address(node_id), Ping())
