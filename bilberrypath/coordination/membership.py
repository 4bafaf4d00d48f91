"""Who is there: the member table of a balancer and the changes to it."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, field

from bilberrypath.coordination.data_centre_liveness import Beacons
from bilberrypath.coordination.effects import Changed, Count
from bilberrypath.coordination.gossip_queue import RumourQueue
from bilberrypath.coordination.heartbeat_monitor import Hearing
from bilberrypath.coordination.rendezvous import HOME_COUNT, rank_homes
from bilberrypath.state.members import (
    Doubt,
    Member,
    MemberTable,
    Role,
    Status,
    is_newer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.types import DataCentreName, NodeId, Seconds

SUSPECT_LIMIT: Seconds = 3.0
KEEP_GONE: Seconds = 600.0
PAUSE_LIMIT: Seconds = 1.0
SWEEP_COUNT = 4  # records looked at each tick


@define
class Membership:
    """Merge records, time suspicions, and say what must be spread.

    ``epoch`` rises with each change of the set of balancers, and
    ``agents_epoch`` with each change that routing must see.
    """

    me: Member
    table: MemberTable = Factory(MemberTable)
    rumours: RumourQueue = Factory(RumourQueue)
    hearing: Hearing = Factory(Hearing)
    beacons: Beacons = Factory(Beacons)
    epoch: int = 0
    agents_epoch: int = 0
    changed_services: set[str] = Factory(set)
    _suspected_at_by_id: dict[NodeId, float] = Factory(dict)
    _gone_at_by_id: dict[NodeId, float] = Factory(dict)
    _homes_by_id: dict[NodeId, tuple[NodeId, ...]] = Factory(dict)
    _homes_epoch: int = -1
    _peers: list[NodeId] = Factory(list)
    _peers_epoch: int = -1
    _sweep: list[NodeId] = Factory(list)
    _last_tick: Seconds | None = field(default=None)

    def __attrs_post_init__(self) -> None:
        self.table.merge(self.me)

    def list_peers(self) -> list[NodeId]:
        """Return the other balancers that are not gone; not to be changed."""
        if self._peers_epoch != self.epoch:
            self._peers_epoch = self.epoch
            mine = self.me.node_id
            balancers = self.table.list_balancers()
            self._peers = [m.node_id for m in balancers if m.node_id != mine]
        return self._peers

    def is_peer(self, node_id: NodeId) -> bool:
        """Return whether a process is another balancer that is not gone."""
        member = self.table.get(node_id)
        return member is not None and not member.is_gone

    def list_homes(self, node_id: NodeId, centre: DataCentreName) -> tuple[NodeId, ...]:
        """Return the balancers that an agent should send heartbeats to."""
        if self._homes_epoch != self.epoch:
            self._homes_by_id.clear()
            self._homes_epoch = self.epoch
        homes = self._homes_by_id.get(node_id)
        if homes is None:
            homes = rank_homes(node_id, centre, self.table)
            self._homes_by_id[node_id] = homes
        return homes

    def merge_all(self, members: Iterable[Member], now: Seconds) -> list[Effect]:
        """Take in records from elsewhere."""
        effects: list[Effect] = []
        for member in members:
            effects += self.merge(member, now)
        return effects

    def merge(self, member: Member, now: Seconds) -> list[Effect]:
        """Take in one record; what is new is spread on."""
        if member.node_id == self.me.node_id:
            return self._answer_about_self(member)
        before = self.table.get(member.node_id)
        if self.table.merge(member) is None:
            return []
        self._note_times(member, now)
        self._note_epochs(before, member)
        self.rumours.add(member)
        return self._describe(before, member)

    def announce(self, status: Status) -> None:
        """Change this process's own record and spread it."""
        self._replace_self(self.me.version + 1, status)

    def suspect(self, node_id: NodeId, now: Seconds) -> list[Effect]:
        """Spread the suspicion that a member is gone, for it to deny.

        Nobody is suspected in a data centre of which nothing at all is heard:
        then the centre is out of reach, which is one fact of its own.
        """
        member = self.table.get(node_id)
        if member is None or member.doubt is not Doubt.NONE or member.is_gone:
            return []
        if self.beacons.is_unreachable(member.data_centre, now):
            return []
        suspicion = msgspec.structs.replace(member, doubt=Doubt.SUSPECTED)
        return self.merge(suspicion, now)

    def tick(self, now: Seconds) -> list[Effect]:
        """Judge suspicions and silences that ran out of time."""
        self._pardon_own_pause(now)
        effects: list[Effect] = []
        for node_id in self.hearing.list_silent(now):
            effects += self._judge_silent(node_id, now)
        effects += self._remove_suspects(now)
        self._drop_long_gone(now)
        self._sweep_some(now)
        return effects

    def _judge_silent(self, node_id: NodeId, now: Seconds) -> list[Effect]:
        """Suspect a silent agent, unless it rightly sends elsewhere by now."""
        member = self.table.get(node_id)
        if member is None:
            return []
        if self.me.node_id in self.list_homes(node_id, member.data_centre):
            return self.suspect(node_id, now)
        self.hearing.forget(node_id)
        return []

    def _pardon_own_pause(self, now: Seconds) -> None:
        last, self._last_tick = self._last_tick, now
        if last is None or now - last <= PAUSE_LIMIT:
            return
        gap = now - last
        self.hearing.pardon(gap)
        self.beacons.pardon(gap)
        for node_id in self._suspected_at_by_id:
            self._suspected_at_by_id[node_id] += gap

    def _remove_suspects(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        for node_id, since in list(self._suspected_at_by_id.items()):
            member = self.table.get(node_id)
            if member is None or member.doubt is not Doubt.SUSPECTED:
                del self._suspected_at_by_id[node_id]
                continue
            if self.beacons.is_unreachable(member.data_centre, now):
                self._suspected_at_by_id[node_id] = now
                continue
            if now - since < SUSPECT_LIMIT:
                continue
            gone = msgspec.structs.replace(member, doubt=Doubt.REMOVED)
            effects += self.merge(gone, now)
        return effects

    def _drop_long_gone(self, now: Seconds) -> None:
        for node_id, since in list(self._gone_at_by_id.items()):
            if now - since < KEEP_GONE:
                break
            del self._gone_at_by_id[node_id]
            self.table.drop(node_id)

    def _sweep_some(self, now: Seconds) -> None:
        """Watch agents that should send here, a few records at a time.

        This finds records whose agent and balancers all went at once.
        """
        if not self._sweep:
            self._sweep = [m.node_id for m in self.table if m.role is Role.AGENT]
        for _ in range(min(SWEEP_COUNT, len(self._sweep))):
            member = self.table.get(self._sweep.pop())
            if member is None or member.is_gone:
                continue
            if self._may_be_home(member.data_centre):
                self._expect_if_home(member, now)

    def _may_be_home(self, data_centre: DataCentreName) -> bool:
        if data_centre == self.me.data_centre:
            return True
        near = self.table.list_balancers_of(data_centre)
        return len(list(islice(near, HOME_COUNT))) < HOME_COUNT

    def _expect_if_home(self, member: Member, now: Seconds) -> None:
        homes = rank_homes(member.node_id, member.data_centre, self.table)
        if self.me.node_id in homes:
            self.hearing.expect(member.node_id, now)

    def _answer_about_self(self, member: Member) -> list[Effect]:
        if not is_newer(member, self.me):
            return []
        if member.incarnation > self.me.incarnation:
            self.me = msgspec.structs.replace(
                self.me, incarnation=member.incarnation + 1
            )
        self._replace_self(member.version + 1, self.me.status)
        return [Count("refuted", "suspicion")]

    def _replace_self(self, version: int, status: Status) -> None:
        self.me = msgspec.structs.replace(
            self.me, version=version, status=status, doubt=Doubt.NONE
        )
        self.table.merge(self.me)
        self.rumours.add(self.me)
        self.epoch += 1

    def _note_times(self, member: Member, now: Seconds) -> None:
        node_id = member.node_id
        if member.doubt is Doubt.SUSPECTED:
            self._suspected_at_by_id.setdefault(node_id, now)
        else:
            self._suspected_at_by_id.pop(node_id, None)
        self._gone_at_by_id.pop(node_id, None)
        if member.is_gone:
            self._gone_at_by_id[node_id] = now
            self.hearing.forget(node_id)

    def _note_epochs(self, before: Member | None, member: Member) -> None:
        if member.role is Role.BALANCER:
            self.epoch += 1
            return
        self.agents_epoch += 1
        self.changed_services.add(member.service)
        if before is not None:
            self.changed_services.add(before.service)

    def _describe(self, before: Member | None, member: Member) -> list[Effect]:
        if before is not None and _say(before) == _say(member):
            return []
        fields = {
            "node": member.node_id,
            "role": member.role.name.lower(),
            "data_centre": member.data_centre,
            "status": _say(member),
        }
        return [Changed("member", fields)]


def _say(member: Member) -> str:
    if member.doubt is Doubt.NONE:
        return member.status.name.lower()
    return member.doubt.name.lower()
