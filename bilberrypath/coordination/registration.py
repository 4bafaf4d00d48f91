"""The registration of an agent with balancers through heartbeats.

The acks carry what the agent needs: its view of the release and its heartbeat
targets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define

from bilberrypath.coordination.effects import LogStateChange, SendControl
from bilberrypath.coordination.freshness import Freshness
from bilberrypath.coordination.heartbeat_monitor import HEARTBEAT_PERIOD
from bilberrypath.protocol.control import Heartbeat, HeartbeatAck, ReleaseView
from bilberrypath.state.members import Member, Status, is_newer

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.types import Address, Incarnation, NodeId, Revision, Seconds

# A balancer counts as live for this long after a message from it.
BALANCER_SILENCE_LIMIT: Seconds = 2.5
MAX_KNOWN_BALANCERS = 16
SEED_SAMPLE_SIZE = 3  # seeds that get a heartbeat while too few targets are live


@define
class Registration:
    """Send heartbeats to the heartbeat targets, and keep the newest view.

    ``view`` is what the agent needs of the release, None before the first ack.
    If a balancer has a record of this address with a later incarnation, this process
    adopts a higher one, and its old one joins ``former_incarnations``: tokens issued
    under these still belong to this process. ``_received_at_by_balancer`` maps each
    known balancer to the time of its last message, in the order of these times.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    rng: Random
    view: ReleaseView | None = None
    freshness: Freshness = Factory(Freshness)
    former_incarnations: set[Incarnation] = Factory(set)
    _heartbeat_targets: tuple[NodeId, ...] = ()
    _received_at_by_balancer: dict[Address, float] = Factory(dict)
    _next_heartbeat_at: Seconds = float("-inf")

    @property
    def revision(self) -> Revision:
        """The revision of the newest view; 0 before the first."""
        return self.view.revision if self.view else 0

    @property
    def may_take_work(self) -> bool:
        """Whether the release allows this agent to take new work."""
        view = self.view
        return bool(view and view.service_number and view.assigned and not view.out)

    @property
    def is_data_centre_out(self) -> bool:
        """Whether the data centre of this agent is taken out of service."""
        return bool(self.view and self.view.out)

    def record_balancer(self, balancer: Address, now: Seconds) -> None:
        """Record that a message from a balancer was received.

        Above ``MAX_KNOWN_BALANCERS`` the one with the oldest message is removed.
        """
        self._received_at_by_balancer.pop(balancer, None)
        self._received_at_by_balancer[balancer] = now
        if len(self._received_at_by_balancer) > MAX_KNOWN_BALANCERS:
            del self._received_at_by_balancer[next(iter(self._received_at_by_balancer))]

    def choose_return_balancer(self, last_balancer: Address, now: Seconds) -> Address:
        """Return the balancer through which an answer should be sent.

        It is ``last_balancer`` while that is live or if no balancer is known, otherwise
        the one that sent a message most recently.
        """
        received_at = self._received_at_by_balancer.get(last_balancer, float("-inf"))
        if (
            now - received_at <= BALANCER_SILENCE_LIMIT
            or not self._received_at_by_balancer
        ):
            return last_balancer
        return next(reversed(self._received_at_by_balancer))

    def tick(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return the heartbeats that are due."""
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + HEARTBEAT_PERIOD * self.rng.uniform(0.9, 1.1)
        return self.send_heartbeats(load, running, now)

    def send_heartbeats(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return a heartbeat to each heartbeat target.

        ``load`` is :attr:`AgentCore.load`, ``running`` the number of running requests.

        The two live balancers heard last and a few seeds receive one too while fewer
        than two targets are live, or while the only target is not.
        """
        return [
            SendControl(
                target,
                Heartbeat(
                    self.own_member,
                    self.freshness.start_exchange(now),
                    self.revision,
                    load,
                    running,
                ),
            )
            for target in self._list_targets(now)
        ]

    def announce(self, status: Status) -> None:
        """Change the status in the own member; the next heartbeats carry it."""
        self._change_own_member(status=status)

    def announce_former_flows(self, may_have: bool) -> bool:
        """Change ``may_have_former_flows`` in the own member; return if it changed."""
        return self._change_own_member(may_have_former_flows=may_have)

    def announce_no_flows(self, has_no_flows: bool) -> bool:
        """Change ``has_no_flows`` in the own member; return if it changed."""
        return self._change_own_member(has_no_flows=has_no_flows)

    def _change_own_member(self, **changes: object) -> bool:
        """Change fields of the own member, with a new version; return if it changed."""
        own = self.own_member
        if all(getattr(own, name) == value for name, value in changes.items()):
            return False
        changes["version"] = own.version + 1
        self.own_member = msgspec.structs.replace(own, **changes)
        return True

    def handle_ack(
        self, ack: HeartbeatAck, balancer: Address, now: Seconds
    ) -> list[Effect]:
        """Handle a balancer's answer to a heartbeat.

        An ack that answers no pending heartbeat is ignored. One with an older
        revision than this agent's view does not confirm freshness.
        """
        is_behind = ack.view.revision < self.revision
        if self.freshness.confirm(ack.sequence, defer=is_behind) is None:
            return []
        self.record_balancer(balancer, now)
        if ack.heartbeat_targets:
            self._heartbeat_targets = ack.heartbeat_targets
        self._refute_record(ack.known_record)
        return self.adopt_view(ack.view)

    def adopt_view(self, view: ReleaseView) -> list[Effect]:
        """Adopt a view if its revision is higher than that of the current one.

        The first view is logged, and after it changes of ``assigned`` or ``out``.
        """
        if self.view is not None and view.revision <= self.view.revision:
            return []
        previous, self.view = self.view, view
        fields = {
            "revision": view.revision,
            "assigned": view.assigned,
            "out": view.out,
        }
        if previous is not None and (previous.assigned, previous.out) == (
            view.assigned,
            view.out,
        ):
            return []
        return [LogStateChange("view", fields)]

    def _refute_record(self, known_record: Member) -> None:
        """Make the own member newer than a newer record that a balancer has of it."""
        if not is_newer(known_record, self.own_member):
            return
        if known_record.incarnation > self.own_member.incarnation:
            self.former_incarnations.add(self.own_member.incarnation)
            self.own_member = msgspec.structs.replace(
                self.own_member, incarnation=known_record.incarnation + 1
            )
            return
        self.own_member = msgspec.structs.replace(
            self.own_member, version=known_record.version + 1
        )

    def _list_targets(self, now: Seconds) -> list[Address]:
        targets = []
        for node_id in self._heartbeat_targets:
            host, _, port = node_id.rpartition(":")
            targets.append((host, int(port)))
        live_targets = [target for target in targets if self._is_live(target, now)]
        if len(live_targets) < min(2, len(targets)) or not live_targets:
            known_balancers = [
                balancer
                for balancer in self._received_at_by_balancer
                if self._is_live(balancer, now)
            ]
            seeds = self.rng.sample(self.seeds, min(SEED_SAMPLE_SIZE, len(self.seeds)))
            targets += [
                candidate
                for candidate in [*known_balancers[-2:], *seeds]
                if candidate not in targets
            ]
        return targets

    def _is_live(self, balancer: Address, now: Seconds) -> bool:
        received_at = self._received_at_by_balancer.get(balancer, float("-inf"))
        return now - received_at <= BALANCER_SILENCE_LIMIT
