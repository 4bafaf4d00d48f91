"""How an agent makes itself known and learns what concerns it."""

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

BALANCER_SILENCE_LIMIT: Seconds = 2.5
MAX_KNOWN_BALANCERS = 16
SEED_SAMPLE_SIZE = 3


@define
class Registration:
    """Send heartbeats to the home balancers and keep the newest view.

    ``former_incarnations`` are those that this process gave up because its
    address was known with a later one; tokens issued under them stay its own.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    rng: Random
    view: ReleaseView | None = None
    freshness: Freshness = Factory(Freshness)
    former_incarnations: set[Incarnation] = Factory(set)
    _heartbeat_targets: tuple[NodeId, ...] = ()
    _heard_at_by_balancer: dict[Address, float] = Factory(dict)
    _next_heartbeat_at: Seconds = float("-inf")

    @property
    def revision(self) -> Revision:
        """The revision of the newest view, 0 before the first."""
        return self.view.revision if self.view else 0

    @property
    def may_take_work(self) -> bool:
        """Whether the release lets this agent take new work."""
        view = self.view
        return bool(view and view.service_number and view.assigned and not view.out)

    @property
    def is_data_centre_out(self) -> bool:
        """Whether the data centre of this agent is taken out."""
        return bool(self.view and self.view.out)

    def record_balancer(self, balancer: Address, now: Seconds) -> None:
        """Record that a balancer was heard; the longest silent is forgotten."""
        self._heard_at_by_balancer.pop(balancer, None)
        self._heard_at_by_balancer[balancer] = now
        if len(self._heard_at_by_balancer) > MAX_KNOWN_BALANCERS:
            del self._heard_at_by_balancer[next(iter(self._heard_at_by_balancer))]

    def choose_return_balancer(self, last: Address, now: Seconds) -> Address:
        """Return the balancer that an answer should go through."""
        heard_at = self._heard_at_by_balancer.get(last, float("-inf"))
        if now - heard_at <= BALANCER_SILENCE_LIMIT or not self._heard_at_by_balancer:
            return last
        return next(reversed(self._heard_at_by_balancer))

    def tick(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return the heartbeats that are due."""
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + HEARTBEAT_PERIOD * self.rng.uniform(0.9, 1.1)
        return self.send_heartbeats(load, running, now)

    def send_heartbeats(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return a heartbeat to each home, or to seeds while none is known."""
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
        """Change the own record; the next heartbeats carry it."""
        if self.own_member.status is status:
            return
        self.own_member = msgspec.structs.replace(
            self.own_member, version=self.own_member.version + 1, status=status
        )

    def handle_ack(
        self, ack: HeartbeatAck, balancer: Address, now: Seconds
    ) -> list[Effect]:
        """Take in a balancer's answer to a heartbeat."""
        behind = ack.view.revision < self.revision
        if self.freshness.confirm(ack.sequence, defer=behind) is None:
            return []
        self.record_balancer(balancer, now)
        if ack.heartbeat_targets:
            self._heartbeat_targets = ack.heartbeat_targets
        self._refute_record(ack.known_record)
        return self.adopt_view(ack.view)

    def adopt_view(self, view: ReleaseView) -> list[Effect]:
        """Take over a view unless a newer one is held."""
        if self.view is not None and view.revision <= self.view.revision:
            return []
        before, self.view = self.view, view
        fields = {
            "revision": view.revision,
            "assigned": view.assigned,
            "out": view.out,
        }
        if before is not None and (before.assigned, before.out) == (
            view.assigned,
            view.out,
        ):
            return []
        return [LogStateChange("view", fields)]

    def _refute_record(self, known: Member) -> None:
        if not is_newer(known, self.own_member):
            return
        if known.incarnation > self.own_member.incarnation:
            self.former_incarnations.add(self.own_member.incarnation)
            self.own_member = msgspec.structs.replace(
                self.own_member, incarnation=known.incarnation + 1
            )
            return
        self.own_member = msgspec.structs.replace(
            self.own_member, version=known.version + 1
        )

    def _list_targets(self, now: Seconds) -> list[Address]:
        targets = []
        for node_id in self._heartbeat_targets:
            host, _, port = node_id.rpartition(":")
            targets.append((host, int(port)))
        live = [target for target in targets if self._is_live(target, now)]
        if len(live) < min(2, len(targets)) or not live:
            known = [b for b in self._heard_at_by_balancer if self._is_live(b, now)]
            seeds = self.rng.sample(self.seeds, min(SEED_SAMPLE_SIZE, len(self.seeds)))
            targets += [t for t in [*known[-2:], *seeds] if t not in targets]
        return targets

    def _is_live(self, balancer: Address, now: Seconds) -> bool:
        heard_at = self._heard_at_by_balancer.get(balancer, float("-inf"))
        return now - heard_at <= BALANCER_SILENCE_LIMIT
