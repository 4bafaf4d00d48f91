"""Member records of processes, and the order in which records supersede each other.

A record describes one process (address and incarnation). Only the process itself
increments the version. Observers may add a suspicion to the version they hold; the
process refutes it by incrementing the version. Merging keeps the newest record of
each process, so that records give the same table in any order of arrival.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec
import xxhash
from attrs import Factory, define

from bilberrypath.protocol.decoding import (  # noqa: TC001
    BoundedInteger,
    CheckedNodeId,
)
from bilberrypath.state.member_digest import digest_member
from bilberrypath.state.service_agents import ServiceAgents

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bilberrypath.types import Address, DataCentreName, NodeId, ServiceName

TABLE_BUCKET_COUNT = 256
_pack_digests = struct.Struct(f"!{TABLE_BUCKET_COUNT}Q").pack


class Role(IntEnum):
    """The role of a process."""

    BALANCER = 0
    AGENT = 1


class Status(IntEnum):
    """The status that a process announces for itself."""

    SERVING = 0
    DRAINING = 1
    LEFT = 2


class Suspicion(IntEnum):
    """The failure detector's judgement; at equal versions the higher value wins."""

    NONE = 0
    SUSPECTED = 1
    REMOVED = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """The record of one process.

    ``node_id`` is the peer address as ``host:port``. ``incarnation`` is the start
    time of the process in milliseconds. ``version`` counts the changes that the
    process announced in this incarnation. Observers may only raise ``suspicion``.
    An agent with ``may_have_former_flows`` cannot rule out that its upstream has flows
    of routes that do not name its service any more. One with ``has_no_flows`` takes no
    opens, and its upstream certainly has no flow: nothing listens at its address, or
    the agent has seen it start.
    """

    node_id: CheckedNodeId
    role: Role
    data_centre: str
    service: str
    incarnation: BoundedInteger
    version: BoundedInteger
    status: Status
    suspicion: Suspicion = Suspicion.NONE
    may_have_former_flows: bool = False
    has_no_flows: bool = False

    @property
    def address(self) -> Address:
        """The address of the process's peer socket."""
        host, _, port = self.node_id.rpartition(":")
        return host, int(port)

    @property
    def may_take_work(self) -> bool:
        """Whether new work may be sent to the process."""
        return self.status is Status.SERVING and self.suspicion < Suspicion.REMOVED

    @property
    def has_left(self) -> bool:
        """Whether the process announced its end."""
        return self.status is Status.LEFT

    @property
    def may_have_flows(self) -> bool:
        """Whether the upstream of an agent may have flows, by what it announced."""
        return not (self.has_left or self.has_no_flows)

    @property
    def is_gone(self) -> bool:
        """Whether the process announced its end or was removed as unresponsive."""
        return self.has_left or self.suspicion is Suspicion.REMOVED


def make_own_record(
    address: Address,
    role: Role,
    data_centre: DataCentreName,
    service: ServiceName,
    status: Status,
    started_at: int,
) -> Member:
    """Return the first record of a process; ``started_at`` is in milliseconds."""
    node_id = f"{address[0]}:{address[1]}"
    return Member(node_id, role, data_centre, service, started_at, 1, status)


def is_newer(left: Member, right: Member) -> bool:
    """Return whether ``left`` supersedes ``right``."""
    return _version_key(left) > _version_key(right)


def _version_key(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.version, member.suspicion


def compute_table_bucket_index(node_id: NodeId) -> int:
    """Return the index of the table bucket that holds a record."""
    return xxhash.xxh32_intdigest(node_id.encode()) % TABLE_BUCKET_COUNT


@define
class MemberTable:
    """All known members, with a digest per bucket for anti-entropy.

    The digest of a bucket is the exclusive or of its records' hashes, so that the
    cost of a change does not depend on the size of the table.
    """

    _member_by_id: dict[NodeId, Member] = Factory(dict)
    _digest_by_bucket: list[int] = Factory(lambda: [0] * TABLE_BUCKET_COUNT)
    _node_ids_by_bucket: list[set[NodeId]] = Factory(
        lambda: [set() for _ in range(TABLE_BUCKET_COUNT)]
    )
    _agents_by_service: dict[ServiceName, ServiceAgents] = Factory(dict)
    _service_by_former_holder: dict[NodeId, ServiceName] = Factory(dict)
    _balancer_by_id: dict[NodeId, Member] = Factory(dict)
    _balancers_by_centre: dict[DataCentreName, dict[NodeId, Member]] = Factory(dict)
    _digest: int | None = None

    def __len__(self) -> int:
        return len(self._member_by_id)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._member_by_id.values())

    def get(self, node_id: NodeId) -> Member | None:
        """Return the record of a process, or None if the table has none."""
        return self._member_by_id.get(node_id)

    def merge(self, member: Member) -> Member | None:
        """Add a record if it is newer than the known one of its process.

        Return the replaced record, or ``member`` itself if there was none. None
        means that ``member`` is not newer and was not added.
        """
        known = self._member_by_id.get(member.node_id)
        if known is not None and not is_newer(member, known):
            return None
        bucket = compute_table_bucket_index(member.node_id)
        is_former_holder = known is not None and self._stays_former_holder(
            known, member
        )
        if known is not None:
            self._toggle_digest(bucket, known)
            self._unindex_unless_replaced(known, member)
        self._toggle_digest(bucket, member)
        self._node_ids_by_bucket[bucket].add(member.node_id)
        self._member_by_id[member.node_id] = member
        self._index(member)
        if is_former_holder:
            self._service_by_former_holder[member.node_id] = member.service
        return known or member

    def drop(self, node_id: NodeId) -> None:
        """Remove the record of a member that has been gone for a long time."""
        known = self._member_by_id.pop(node_id)
        bucket = compute_table_bucket_index(node_id)
        self._toggle_digest(bucket, known)
        self._node_ids_by_bucket[bucket].discard(node_id)
        self._unindex(known)

    @property
    def has_agents(self) -> bool:
        """Whether the table has any agent that is not gone."""
        return bool(self._agents_by_service)

    def list_agents(self, service: ServiceName) -> Iterable[Member]:
        """Return the agents of a service that are not gone."""
        agents = self._agents_by_service.get(service)
        return () if agents is None else agents.member_by_id.values()

    @property
    def has_former_flows(self) -> bool:
        """Whether an agent may have flows of routes of other services."""
        return bool(self._service_by_former_holder)

    def list_services_with_former_flows(self) -> list[ServiceName]:
        """Return the services whose agents may have flows of routes of other services.

        These are the services of agents with ``may_have_former_flows``, and of those
        that restarted since they stated it and have not heard their upstream yet.
        """
        return [*dict.fromkeys(self._service_by_former_holder.values())]

    def digest_agents(self, service: ServiceName) -> int:
        """Return the digest of the agents of a service that are not gone."""
        agents = self._agents_by_service.get(service)
        return 0 if agents is None else agents.digest

    def list_changed_agents(
        self, service: ServiceName, digest: int
    ) -> list[Member] | None:
        """Return the records that changed since the service's agents had a digest.

        They include those of agents that are gone or run another service now. None
        means that the changes are not known.
        """
        agents = self._agents_by_service.get(service)
        changed_ids = None if agents is None else agents.list_changed_ids(digest)
        if changed_ids is None:
            return None
        members = [self._member_by_id.get(node_id) for node_id in changed_ids]
        return None if None in members else members

    def list_balancers(self) -> Iterable[Member]:
        """Return the balancers that are not gone."""
        return self._balancer_by_id.values()

    def list_balancers_in(self, data_centre: DataCentreName) -> Iterable[Member]:
        """Return the balancers of a data centre that are not gone."""
        return self._balancers_by_centre.get(data_centre, {}).values()

    def digest(self) -> int:
        """Return a 64-bit digest of the whole table."""
        if self._digest is None:
            packed = _pack_digests(*self._digest_by_bucket)
            self._digest = xxhash.xxh64_intdigest(packed)
        return self._digest

    def list_bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._digest_by_bucket)

    def list_differing_members(self, digests: tuple[int, ...]) -> list[Member]:
        """Return the records of the buckets that differ from those of another table.

        ``digests`` are the bucket digests of the other table.
        """
        members = []
        for index, digest in enumerate(digests[:TABLE_BUCKET_COUNT]):
            if self._digest_by_bucket[index] == digest:
                continue
            ids = self._node_ids_by_bucket[index]
            members.extend(self._member_by_id[node_id] for node_id in ids)
        return members

    def _toggle_digest(self, bucket: int, member: Member) -> None:
        """Add a record to its bucket's digest, or remove it; skip gone members.

        Each balancer drops gone members at a different time, and that must not make
        the digests of two tables differ.
        """
        self._digest = None
        if not member.is_gone:
            self._digest_by_bucket[bucket] ^= digest_member(member)

    def _stays_former_holder(self, known: Member, member: Member) -> bool:
        """Return whether an agent without ``may_have_former_flows`` may have them.

        An agent states that only once it has heard its upstream. Until it serves, a
        restarted one counts as it did before its restart.
        """
        is_restarted = member.incarnation > known.incarnation
        is_unheard = is_restarted or not known.may_have_former_flows
        return (
            known.node_id in self._service_by_former_holder
            and is_unheard
            and member.status is Status.DRAINING
            and not member.is_gone
            and member.service == known.service
        )

    def _index(self, member: Member) -> None:
        if member.is_gone:
            return
        if member.role is Role.BALANCER:
            self._balancer_by_id[member.node_id] = member
            balancers = self._balancers_by_centre.setdefault(member.data_centre, {})
            balancers[member.node_id] = member
        else:
            agents = self._agents_by_service.get(member.service)
            if agents is None:
                agents = self._agents_by_service[member.service] = ServiceAgents()
            agents.set(member)
            self._service_by_former_holder.pop(member.node_id, None)
            if member.may_have_former_flows:
                self._service_by_former_holder[member.node_id] = member.service

    def _unindex_unless_replaced(self, known: Member, member: Member) -> None:
        """Remove a record from the index, unless indexing ``member`` replaces it.

        Replacing it is one change to the agents of its service instead of two.
        """
        is_agent = known.role is Role.AGENT and member.role is Role.AGENT
        if member.is_gone or not is_agent or known.service != member.service:
            self._unindex(known)

    def _unindex(self, member: Member) -> None:
        if member.role is Role.BALANCER:
            self._balancer_by_id.pop(member.node_id, None)
            balancers = self._balancers_by_centre.get(member.data_centre, {})
            balancers.pop(member.node_id, None)
            return
        self._service_by_former_holder.pop(member.node_id, None)
        agents = self._agents_by_service.get(member.service)
        if agents is None:
            return
        agents.discard(member.node_id)
        if not agents.member_by_id:
            del self._agents_by_service[member.service]
