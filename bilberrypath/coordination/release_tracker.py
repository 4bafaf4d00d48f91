"""The release in force in a balancer, and the adoption of newer ones.

The revision only increases, whether peers, agents' packets or the platform's
key-value service report a newer one. Changes are distributed as deltas; a
process that is too far behind for them pulls a snapshot.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination.effects import (
    Count,
    LogStateChange,
    PullRelease,
    ReadStore,
    ReleaseAdopted,
    RestoreStore,
)
from bilberrypath.protocol.control import ReleaseView
from bilberrypath.state.release import Release, ReleaseDelta, apply_release_delta

if TYPE_CHECKING:
    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import ReleasePulled, StoreRead
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, Revision, Seconds

MAX_KEPT_DELTAS = 256  # a peer that is further behind gets a snapshot
PULL_TIMEOUT: Seconds = 1.0  # then the next pull may start
STORE_READ_PERIOD: Seconds = 0.5  # between two reads by a store reader
STORE_READ_TIMEOUT: Seconds = 2.0  # also the delay after a failed read or a restore
PUSH_ROUNDS = 3  # ticks in which an adopted release is pushed to peers again


@define
class ReleaseTracker:
    """Hold the release in force and adopt newer ones.

    ``deltas`` are the last consecutive deltas up to the release;
    ``push_rounds_left`` counts the ticks in which it is still pushed to peers; it is 0
    for a release that was adopted as a snapshot.
    """

    release: Release = Factory(Release)
    deltas: deque[ReleaseDelta] = Factory(lambda: deque(maxlen=MAX_KEPT_DELTAS))
    push_rounds_left: int = 0
    _pull_deadline: Seconds = float("-inf")
    _next_read_at: Seconds = float("-inf")
    _read_deadline: Seconds = float("-inf")
    _next_restore_at: Seconds = field(default=float("-inf"))

    @property
    def revision(self) -> Revision:
        """The revision of the release in force in this process."""
        return self.release.revision

    def list_deltas_after(
        self, known_revision: Revision
    ) -> tuple[ReleaseDelta, ...] | None:
        """Return the deltas from ``known_revision`` to the release in force.

        None means that they are no longer kept: a snapshot is needed.
        """
        if known_revision == self.revision:
            return ()
        newer = [delta for delta in self.deltas if delta.revision > known_revision]
        if not newer or newer[0].revision != known_revision + 1:
            return None
        return tuple(newer)

    def make_view(self, member: Member) -> ReleaseView:
        """Return the part of the release that concerns an agent."""
        service = self.release.get_service(member.service)
        centre = self.release.data_centre_by_name.get(member.data_centre)
        return ReleaseView(
            revision=self.revision,
            service_number=service.number if service else 0,
            service_port=service.port if service else 0,
            data_centre_number=centre.number if centre else 0,
            assigned=bool(service and member.data_centre in service.data_centres),
            out=bool(centre and centre.out),
        )

    def offer_delta(self, delta: ReleaseDelta) -> list[Effect] | None:
        """Adopt the release after a delta, or ignore an old delta.

        None means that the delta cannot be applied to the release in force,
        mostly because the deltas before it are missing.
        """
        if delta.revision <= self.revision:
            return []
        adopted = apply_release_delta(self.release, delta)
        if adopted is None:
            return None
        self.deltas.append(delta)
        return self._adopt(adopted)

    def observe_revision(
        self, peer: Address, revision: Revision, now: Seconds
    ) -> list[Effect]:
        """Pull from a peer that reports a newer revision, one pull at a time."""
        if revision <= self.revision or now < self._pull_deadline:
            return []
        self._pull_deadline = now + PULL_TIMEOUT
        return [PullRelease(peer, self.revision)]

    def handle_pulled(self, pulled: ReleasePulled) -> list[Effect]:
        """Apply the release that was pulled from a peer."""
        self._pull_deadline = float("-inf")
        return self._apply(pulled.deltas, pulled.snapshot)

    def record_pull_failed(self) -> None:
        """Allow the next pull at once."""
        self._pull_deadline = float("-inf")

    def plan_read(self, now: Seconds) -> list[Effect]:
        """Return the read of the platform's key-value service if one is due."""
        if now < self._next_read_at or now < self._read_deadline:
            return []
        self._next_read_at = now + STORE_READ_PERIOD
        self._read_deadline = now + STORE_READ_TIMEOUT
        return [ReadStore(self.revision)]

    def handle_store_read(self, read: StoreRead, now: Seconds) -> list[Effect]:
        """Apply an answer of the platform's key-value service.

        A head with a lower revision, or with another note at the revision in
        force, means that the service was restored to an older state. The
        release in force then stays, and is written back to the service.
        """
        self._read_deadline = float("-inf")
        if read.head > self.revision or read.note_id == self.release.note_id:
            return self._apply(read.deltas, read.snapshot)
        if now < self._next_restore_at:
            return []
        self._next_restore_at = now + STORE_READ_TIMEOUT
        fields = {"head": read.head, "in_force": self.revision}
        restore = RestoreStore(self.release, tuple(self.deltas))
        return [LogStateChange("store_behind", fields), restore]

    def record_read_failed(self, now: Seconds) -> None:
        """Delay the next read, since the service is unavailable."""
        self._read_deadline = float("-inf")
        self._next_read_at = now + STORE_READ_TIMEOUT

    def _apply(
        self, newer_deltas: tuple[ReleaseDelta, ...], snapshot: Release | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        if snapshot is not None and snapshot.revision > self.revision:
            self.deltas.clear()
            effects += self._adopt(snapshot)
            self.push_rounds_left = 0
        for delta in newer_deltas:
            adopted = self.offer_delta(delta)
            if adopted is None:
                return [*effects, Count("release_refused", "does_not_follow")]
            effects += adopted
        return effects

    def _adopt(self, release: Release) -> list[Effect]:
        old_revision = self.revision
        self.release = release
        self.push_rounds_left = PUSH_ROUNDS
        fields = {"revision": release.revision, "before": old_revision}
        return [LogStateChange("release", fields), ReleaseAdopted(release)]
