"""Which release is in force here, and how newer ones come and go on.

A revision only ever rises, whoever offers it: peers, agents' packets or the
platform's service. News travels as steps; a process that is too far behind
fetches the whole.
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

MAX_KEPT_DELTAS = 256
PULL_TIMEOUT: Seconds = 1.0
STORE_READ_PERIOD: Seconds = 0.5
STORE_READ_TIMEOUT: Seconds = 2.0
PUSH_ROUNDS = 3


@define
class ReleaseTracker:
    """Hold the release in force and take in newer ones."""

    release: Release = Factory(Release)
    deltas: deque[ReleaseDelta] = Factory(lambda: deque(maxlen=MAX_KEPT_DELTAS))
    push_rounds_left: int = 0
    _pull_deadline: Seconds = float("-inf")
    _next_read_at: Seconds = float("-inf")
    _read_deadline: Seconds = float("-inf")
    _next_restore_at: Seconds = field(default=float("-inf"))

    @property
    def revision(self) -> Revision:
        """The revision in force in this process."""
        return self.release.revision

    def list_deltas_after(self, have: Revision) -> tuple[ReleaseDelta, ...] | None:
        """Return the steps that lead from ``have`` to now, or None."""
        if have == self.revision:
            return ()
        kept = [step for step in self.deltas if step.revision > have]
        if not kept or kept[0].revision != have + 1:
            return None
        return tuple(kept)

    def make_view(self, member: Member) -> ReleaseView:
        """Return what an agent needs to know of the release."""
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

    def offer_delta(self, step: ReleaseDelta) -> list[Effect] | None:
        """Take in one step; None means that the steps before it are missing."""
        if step.revision <= self.revision:
            return []
        after = apply_release_delta(self.release, step)
        if after is None:
            return None
        self.deltas.append(step)
        return self._adopt(after)

    def observe_revision(
        self, peer: Address, revision: Revision, now: Seconds
    ) -> list[Effect]:
        """Fetch what a peer has and we have not, one fetch at a time."""
        if revision <= self.revision or now < self._pull_deadline:
            return []
        self._pull_deadline = now + PULL_TIMEOUT
        return [PullRelease(peer, self.revision)]

    def handle_pulled(self, pulled: ReleasePulled) -> list[Effect]:
        """Take in a peer's answer to a fetch."""
        self._pull_deadline = float("-inf")
        return self._apply(pulled.deltas, pulled.snapshot)

    def record_pull_failed(self) -> None:
        """Allow the next fetch at once."""
        self._pull_deadline = float("-inf")

    def plan_read(self, now: Seconds) -> list[Effect]:
        """Return the read of the platform's service, when one is due."""
        if now < self._next_read_at or now < self._read_deadline:
            return []
        self._next_read_at = now + STORE_READ_PERIOD
        self._read_deadline = now + STORE_READ_TIMEOUT
        return [ReadStore(self.revision)]

    def handle_store_read(self, read: StoreRead, now: Seconds) -> list[Effect]:
        """Take in an answer of the platform's service.

        A head behind ours, or another note at our revision, means that the
        service was set back: what is in force stays, and the service is
        brought up to date.
        """
        self._read_deadline = float("-inf")
        if read.head > self.revision or read.note_id == self.release.note_id:
            return self._apply(read.deltas, read.snapshot)
        if now < self._next_restore_at:
            return []
        self._next_restore_at = now + STORE_READ_TIMEOUT
        fields = {"head": read.head, "in_force": self.revision}
        return [LogStateChange("store_behind", fields), RestoreStore(self.release)]

    def record_read_failed(self, now: Seconds) -> None:
        """Wait longer before the next read of a service that is away."""
        self._read_deadline = float("-inf")
        self._next_read_at = now + STORE_READ_TIMEOUT

    def _apply(
        self, steps: tuple[ReleaseDelta, ...], whole: Release | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        if whole is not None and whole.revision > self.revision:
            self.deltas.clear()
            effects += self._adopt(whole)
            self.push_rounds_left = 0
        for step in steps:
            taken = self.offer_delta(step)
            if taken is None:
                return [*effects, Count("release_refused", "does_not_follow")]
            effects += taken
        return effects

    def _adopt(self, release: Release) -> list[Effect]:
        before = self.revision
        self.release = release
        self.push_rounds_left = PUSH_ROUNDS
        fields = {"revision": release.revision, "before": before}
        return [LogStateChange("release", fields), ReleaseAdopted(release)]
