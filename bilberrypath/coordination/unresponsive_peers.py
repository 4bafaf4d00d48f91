"""Peers that did not answer in time, and are skipped until they send a message.

An agent that ended while its upstream is alive is soon restarted and regains its
flows; one whose machine has failed is not. A connection attempt distinguishes the two:
a live machine refuses it while the process is down.
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
FAILED_AFTER: Seconds = 3.5  # outlasts a suspension of the process for 3 s
FORGET_AFTER: Seconds = 30.0  # far longer than the removal of a member takes
PROBE_PERIOD: Seconds = 1.0  # a machine can answer three times within FAILED_AFTER
PROBE_REPLY_TIME: Seconds = 0.15  # a hundred round trips; the kernel answers a probe
PROBE_ANSWER_TIME: Seconds = 1.0  # of the first probe, sent within a tick
MACHINE_ALIVE_FOR: Seconds = 2.5  # a machine has not failed after two lost probes
MAX_PROBES = 8  # connection attempts per tick


@define
class UnresponsivePeers:
    """The peers that did not answer in time, and the pings and probes to them.

    ``since_by_id`` holds the time since when each peer counts as unresponsive.
    """

    since_by_id: dict[NodeId, float] = Factory(dict)
    _expected_since_by_id: dict[NodeId, float] = Factory(dict)
    _probed_at_by_id: dict[NodeId, float] = Factory(dict)
    _machine_alive_at_by_id: dict[NodeId, float] = Factory(dict)

    @property
    def is_tracking(self) -> bool:
        """Whether any peer is unresponsive or has an answer outstanding."""
        return bool(self.since_by_id or self._expected_since_by_id)

    def expect_answer(self, node_id: NodeId, now: Seconds) -> None:
        """Record that an answer is outstanding; an earlier record keeps its time."""
        self._expected_since_by_id.setdefault(node_id, now)

    def has_failed(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a peer has been unresponsive for so long that it has failed.

        Flows that only it may hold cannot be reached from here. A peer whose machine
        still answers has not failed, since its process may be restarted.
        """
        since = self.since_by_id.get(node_id)
        if since is None or now - since < FAILED_AFTER:
            return False
        return not self.is_machine_alive(node_id, now)

    def is_machine_silent(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a peer's machine did not answer any probe in time.

        Unlike a process that was asked to end, it answers nothing at all.
        """
        since = self.since_by_id.get(node_id, now)
        is_probed = now - since > PROBE_ANSWER_TIME
        return is_probed and not self.is_machine_alive(node_id, now)

    def is_machine_alive(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a peer's machine has answered a probe recently."""
        alive_at = self._machine_alive_at_by_id.get(node_id, float("-inf"))
        return now - alive_at <= MACHINE_ALIVE_FOR

    def is_probe_unanswered(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a peer's machine was probed and has not answered yet.

        A process that ended on a machine that runs on is told apart by this sooner
        than by :meth:`is_machine_silent`, but a lost packet looks like a failure.
        """
        probed_at = self._probed_at_by_id.get(node_id, now)
        is_overdue = now - probed_at >= PROBE_REPLY_TIME
        return is_overdue and not self.is_machine_alive(node_id, now)

    def record_timeout(self, node_id: NodeId, now: Seconds) -> list[FlowEffect]:
        """Mark a peer as unresponsive, and send it a ping at once."""
        if node_id in self.since_by_id:
            return []
        self.since_by_id[node_id] = now
        return [Count("peer_silent", "late"), _ping(node_id)]

    def record_received(self, node_id: NodeId) -> None:
        """Record a message from a peer; it no longer counts as unresponsive."""
        self._expected_since_by_id.pop(node_id, None)
        self._remove(node_id)

    def record_machine_alive(self, node_id: NodeId, now: Seconds) -> None:
        """Record that the machine of an unresponsive peer answered a probe."""
        if node_id in self.since_by_id:
            self._machine_alive_at_by_id[node_id] = now

    def probe_machines(self, now: Seconds) -> list[FlowEffect]:
        """Return the machine probes that are due, at most ``MAX_PROBES``."""
        due = [
            node_id
            for node_id in self.since_by_id
            if now - self._probed_at_by_id.get(node_id, float("-inf")) >= PROBE_PERIOD
        ]
        due.sort(key=lambda node_id: self._probed_at_by_id.get(node_id, float("-inf")))
        for node_id in due[:MAX_PROBES]:
            self._probed_at_by_id[node_id] = now
        return [ProbeMachine(node_id) for node_id in due[:MAX_PROBES]]

    def shift_for_pause(self, pause: Seconds) -> None:
        """Postpone the recorded times, so that a pause does not count as silence."""
        for times in (
            self.since_by_id,
            self._expected_since_by_id,
            self._machine_alive_at_by_id,
        ):
            for node_id in times:
                times[node_id] += pause

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Return a ping for each unresponsive peer.

        Peers whose answer is overdue become unresponsive; after ``FORGET_AFTER`` a peer
        is forgotten.
        """
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
