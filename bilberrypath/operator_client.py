"""Client of the operators' commands: releases and the status of processes."""

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
    """The reasons that a note does not apply to the release in force."""

    errors: tuple[str, ...]


@frozen
class ProcessStatus:
    """Status of a process, as reported by itself or by a balancer.

    ``revision`` is the newest revision in force at the process, or None if no balancer
    reported one. ``is_behind`` is true if it is unknown, or older than the newest
    revision that any process reported.
    """

    member: Member
    revision: Revision | None
    is_behind: bool


@define
class OperatorClient:
    """A client of one system's release store and of its balancers' control calls."""

    settings: OperatorSettings
    _key_value: EtcdKeyValue | None = None

    def open_store(self) -> ReleaseStore:
        """Return the release store, which is kept in the platform's service."""
        if self._key_value is None:
            self._key_value = EtcdKeyValue(self.settings.store.address)
        return ReleaseStore(self._key_value, self.settings.store.prefix)

    async def close(self) -> None:
        """Close the connection to the platform's service."""
        if self._key_value is not None:
            await self._key_value.close()

    async def check(self, note: ReleaseNote) -> tuple[Release, list[str]]:
        """Return the newest release in the store and the note's errors against it."""
        release = await self.open_store().read_snapshot()
        return release, check_note(release, note)

    async def accept(
        self, note: ReleaseNote, patience: Seconds
    ) -> AcceptResult | NoteRejected:
        """Make a note the next release and return the result.

        While the result is unknown, checks again for up to ``patience`` seconds.
        Returns :class:`UnknownYet` with an empty ``note_id`` if the store could not be
        read, in which case nothing was written. A note that the store has already
        accepted is :class:`Accepted`, so that an attempt can be repeated under its ID.
        """
        store = self.open_store()
        # Before the store is read: only a restored store lacks what they report.
        replies = await self._fetch_configured_balancer_statuses()
        try:
            accepted = await store.find_note(note.note_id)
            if accepted is not None:
                return Accepted(accepted.revision)
            release, note_errors = await self.check(note)
        except StoreUnavailable:
            return UnknownYet("")
        if any(_is_missing(reply, release) for reply in replies):
            return StoreBehind(release.revision)
        if note_errors:
            return NoteRejected(tuple(note_errors))
        after = apply_note(release, note)
        delta = ReleaseDelta(after.revision, after.digest(), note)
        result = await store.accept(release, delta)
        deadline = time.monotonic() + patience
        while isinstance(result, UnknownYet) and time.monotonic() < deadline:
            await asyncio.sleep(ACCEPT_RECHECK_PERIOD)
            result = await store.check_accepted(delta)
        return result

    async def fetch_status(self) -> tuple[Revision, list[ProcessStatus]]:
        """Return the newest revision reported and the status of each process."""
        replies = await self._fetch_all_balancer_statuses()
        revision_by_id: dict[str, int] = {}
        member_by_id: dict[str, Member] = {}
        for reply in replies:
            revision_by_id[reply.member.node_id] = reply.revision
            for agent in reply.reported_agents:
                known = revision_by_id.get(agent.node_id, 0)
                revision_by_id[agent.node_id] = max(known, agent.revision)
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

    async def _fetch_configured_balancer_statuses(self) -> list[bulk.StatusReply]:
        """Query the balancers in the settings; skip those that do not answer."""
        replies = await asyncio.gather(
            *(
                self._fetch_balancer_status(address)
                for address in self.settings.balancers
            )
        )
        return [reply for reply in replies if reply]

    async def _fetch_all_balancer_statuses(self) -> list[bulk.StatusReply]:
        """Query the balancers in the settings and all that these list as members."""
        queried: set[Address] = set()
        replies: list[bulk.StatusReply] = []
        pending = set(self.settings.balancers)
        while pending:
            queried |= pending
            results = await asyncio.gather(
                *(self._fetch_balancer_status(address) for address in pending)
            )
            received = [reply for reply in results if reply]
            replies += received
            pending = {
                a for reply in received for a in _list_balancers(reply)
            } - queried
        return replies

    async def _fetch_balancer_status(self, address: Address) -> bulk.StatusReply | None:
        sealer = FrameSealer(self.settings.peer_key)
        request = bulk.StatusRequest()
        try:
            return await call_control(
                address, sealer, bulk.SHOW_STATUS, request, bulk.StatusReply
            )
        except CallFailed:
            return None


def with_note_id(note: ReleaseNote, note_id: str) -> ReleaseNote:
    """Return the note with the ID of an earlier attempt; unchanged if it is empty."""
    return evolve(note, note_id=note_id) if note_id else note


def _is_missing(reply: bulk.StatusReply, stored_release: Release) -> bool:
    """Return whether a store with ``stored_release`` lacks a balancer's release.

    The reply must be older than the read of the store. At the same revision the notes
    differ if the store was restored to an older state and has accepted another note
    since.
    """
    if reply.revision == stored_release.revision:
        return reply.note_id != stored_release.note_id
    return reply.revision > stored_release.revision


def _list_balancers(reply: bulk.StatusReply) -> set[Address]:
    return {
        member.address
        for member in reply.members
        if member.role is Role.BALANCER and not member.is_gone
    }
