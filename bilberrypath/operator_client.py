"""What operators' commands do: read, check and accept releases, ask for status."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from attrs import define, evolve, frozen

from bilberrypath.coordination.release_store import (
    Accepted,
    AcceptResult,
    ReleaseStore,
    StoreBehind,
    StoreUnavailable,
    UnknownYet,
)
from bilberrypath.protocol import bulk
from bilberrypath.protocol.frame import FrameSealer
from bilberrypath.state.members import Member, Role
from bilberrypath.state.release import (
    Release,
    ReleaseDelta,
    ReleaseNote,
    apply_note,
    check_note,
)
from bilberrypath.transport.control_calls import CallFailed, call_control
from bilberrypath.transport.etcd import EtcdKeyValue

if TYPE_CHECKING:
    from bilberrypath.settings import OperatorSettings
    from bilberrypath.types import Address, Revision, Seconds

ACCEPT_RECHECK_PERIOD: Seconds = 0.5


@frozen
class NoteRejected:
    """The note can't follow the release in force."""

    errors: tuple[str, ...]


@frozen
class ProcessStatus:
    """How one process stands, as it says or as a balancer heard it.

    ``revision`` is None when nothing is known of it.
    """

    member: Member
    revision: Revision | None
    is_behind: bool


@define
class OperatorClient:
    """Act for an operator on one system."""

    settings: OperatorSettings
    _key_value: EtcdKeyValue | None = None

    def open_store(self) -> ReleaseStore:
        """Return the releases in the platform's service."""
        if self._key_value is None:
            self._key_value = EtcdKeyValue(self.settings.store.address)
        return ReleaseStore(self._key_value, self.settings.store.prefix)

    async def close(self) -> None:
        """Close the connection to the platform's service."""
        if self._key_value is not None:
            await self._key_value.close()

    async def check(self, note: ReleaseNote) -> tuple[Release, list[str]]:
        """Return the release in force and the faults of a note after it."""
        release = await self.open_store().read_snapshot()
        return release, check_note(release, note)

    async def accept(
        self, note: ReleaseNote, patience: Seconds
    ) -> AcceptResult | NoteRejected:
        """Make a note the next release, and say truthfully what came of it."""
        store = self.open_store()
        try:
            earlier = await store.find_note(note.note_id)
            if earlier is not None:
                return Accepted(earlier.revision)
            release, faults = await self.check(note)
        except StoreUnavailable:
            return UnknownYet("")
        in_force = await self._fetch_newest_revision()
        if in_force > release.revision:
            return StoreBehind(release.revision)
        if faults:
            return NoteRejected(tuple(faults))
        after = apply_note(release, note)
        step = ReleaseDelta(after.revision, after.digest(), note)
        result = await store.accept(release, step)
        until = time.monotonic() + patience
        while isinstance(result, UnknownYet) and time.monotonic() < until:
            await asyncio.sleep(ACCEPT_RECHECK_PERIOD)
            result = await store.check_accepted(step)
        return result

    async def fetch_status(self) -> tuple[Revision, list[ProcessStatus]]:
        """Return the newest revision known and how each process stands."""
        replies = await self._fetch_all_balancer_statuses()
        revision_by_id: dict[str, int] = {}
        member_by_id: dict[str, Member] = {}
        for reply in replies:
            revision_by_id[reply.member.node_id] = reply.revision
            for heard in reply.heard_agents:
                known = revision_by_id.get(heard.node_id, 0)
                revision_by_id[heard.node_id] = max(known, heard.revision)
            for member in reply.members:
                member_by_id.setdefault(member.node_id, member)
        newest = max(revision_by_id.values(), default=0)
        rows = [
            ProcessStatus(
                member,
                revision_by_id.get(member.node_id),
                revision_by_id.get(member.node_id, -1) < newest,
            )
            for member in member_by_id.values()
            if not member.is_gone
        ]
        rows.sort(key=lambda row: (row.member.data_centre, row.member.node_id))
        return newest, rows

    async def _fetch_newest_revision(self) -> Revision:
        replies = await asyncio.gather(
            *(
                self._fetch_balancer_status(address)
                for address in self.settings.balancers
            )
        )
        return max((reply.revision for reply in replies if reply), default=0)

    async def _fetch_all_balancer_statuses(self) -> list[bulk.StatusReply]:
        """Ask the balancers of the settings, and all that they know of."""
        asked: set[Address] = set()
        replies: list[bulk.StatusReply] = []
        due = set(self.settings.balancers)
        while due:
            asked |= due
            answers = await asyncio.gather(
                *(self._fetch_balancer_status(a) for a in due)
            )
            fresh = [reply for reply in answers if reply]
            replies += fresh
            due = {a for reply in fresh for a in _list_balancers(reply)} - asked
        return replies

    async def _fetch_balancer_status(self, address: Address) -> bulk.StatusReply | None:
        seal = FrameSealer(self.settings.peer_key)
        request = bulk.StatusRequest()
        try:
            return await call_control(
                address, seal, bulk.SHOW_STATUS, request, bulk.StatusReply
            )
        except CallFailed:
            return None


def with_note_id(note: ReleaseNote, note_id: str) -> ReleaseNote:
    """Return the note under an id that an earlier try was given."""
    return evolve(note, note_id=note_id) if note_id else note


def _list_balancers(reply: bulk.StatusReply) -> set[Address]:
    return {
        member.address
        for member in reply.members
        if member.role is Role.BALANCER and not member.is_gone
    }
