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
    Adopted,
    Changed,
    Count,
    PullRelease,
    ReadStore,
    RestoreStore,
)
from bilberrypath.protocol.control import View
from bilberrypath.state.release import Release, ReleaseStep, follow_step

if TYPE_CHECKING:
    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import ReleasePulled, StoreRead
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, Revision, Seconds

KEPT_STEPS = 256
PULL_TIMEOUT: Seconds = 1.0
READ_PERIOD: Seconds = 0.5
READ_TIMEOUT: Seconds = 2.0
PUSH_ROUNDS = 3


@define
class ReleaseKeeper:
    """Hold the release in force and take in newer ones."""

    release: Release = Factory(Release)
    steps: deque[ReleaseStep] = Factory(lambda: deque(maxlen=KEPT_STEPS))
    push_rounds_left: int = 0
    _pull_until: Seconds = float("-inf")
    _read_at: Seconds = float("-inf")
    _read_open_until: Seconds = float("-inf")
    _restore_at: Seconds = field(default=float("-inf"))

    @property
    def revision(self) -> Revision:
        """The revision in force in this process."""
        return self.release.revision

    def list_steps_after(self, have: Revision) -> tuple[ReleaseStep, ...] | None:
        """Return the steps that lead from ``have`` to now, or None."""
        if have == self.revision:
            return ()
        kept = [step for step in self.steps if step.revision > have]
        if not kept or kept[0].revision != have + 1:
            return None
        return tuple(kept)

    def view_for(self, member: Member) -> View:
        """Return what an agent needs to know of the release."""
        service = self.release.get_service(member.service)
        centre = self.release.data_centre_by_name.get(member.data_centre)
        return View(
            revision=self.revision,
            service_number=service.number if service else 0,
            service_port=service.port if service else 0,
            data_centre_number=centre.number if centre else 0,
            assigned=bool(service and member.data_centre in service.data_centres),
            out=bool(centre and centre.out),
        )

    def offer_step(self, step: ReleaseStep) -> list[Effect] | None:
        """Take in one step; None means that the steps before it are missing."""
        if step.revision <= self.revision:
            return []
        after = follow_step(self.release, step)
        if after is None:
            return None
        self.steps.append(step)
        return self._adopt(after)

    def learn_of(self, peer: Address, revision: Revision, now: Seconds) -> list[Effect]:
        """Fetch what a peer has and we have not, one fetch at a time."""
        if revision <= self.revision or now < self._pull_until:
            return []
        self._pull_until = now + PULL_TIMEOUT
        return [PullRelease(peer, self.revision)]

    def take_pulled(self, pulled: ReleasePulled) -> list[Effect]:
        """Take in a peer's answer to a fetch."""
        self._pull_until = float("-inf")
        return self._take(pulled.steps, pulled.whole)

    def note_pull_failed(self) -> None:
        """Allow the next fetch at once."""
        self._pull_until = float("-inf")

    def plan_read(self, now: Seconds) -> list[Effect]:
        """Return the read of the platform's service, when one is due."""
        if now < self._read_at or now < self._read_open_until:
            return []
        self._read_at = now + READ_PERIOD
        self._read_open_until = now + READ_TIMEOUT
        return [ReadStore(self.revision)]

    def take_read(self, read: StoreRead, now: Seconds) -> list[Effect]:
        """Take in an answer of the platform's service.

        A head behind ours, or another note at our revision, means that the
        service was set back: what is in force stays, and the service is
        brought up to date.
        """
        self._read_open_until = float("-inf")
        if read.head > self.revision or read.note_id == self.release.note_id:
            return self._take(read.steps, read.whole)
        if now < self._restore_at:
            return []
        self._restore_at = now + READ_TIMEOUT
        fields = {"head": read.head, "in_force": self.revision}
        return [Changed("store_behind", fields), RestoreStore(self.release)]

    def note_read_failed(self, now: Seconds) -> None:
        """Wait longer before the next read of a service that is away."""
        self._read_open_until = float("-inf")
        self._read_at = now + READ_TIMEOUT

    def _take(
        self, steps: tuple[ReleaseStep, ...], whole: Release | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        if whole is not None and whole.revision > self.revision:
            self.steps.clear()
            effects += self._adopt(whole)
            self.push_rounds_left = 0
        for step in steps:
            taken = self.offer_step(step)
            if taken is None:
                return [*effects, Count("release_refused", "does_not_follow")]
            effects += taken
        return effects

    def _adopt(self, release: Release) -> list[Effect]:
        before = self.revision
        self.release = release
        self.push_rounds_left = PUSH_ROUNDS
        fields = {"revision": release.revision, "before": before}
        return [Changed("release", fields), Adopted(release)]
