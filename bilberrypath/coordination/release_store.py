"""Releases in the platform's key-value service.

The head names the revision, the note and the digest of each bucket. It moves
by compare-and-swap only, in one transaction with the note and the buckets
that changed. A note's id in the history settles whether an accept whose
answer was lost took effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
from attrs import frozen

from bilberrypath.state.release import (
    BUCKET_COUNT,
    Bucket,
    DataCentre,
    Release,
    ReleaseDelta,
    apply_release_delta,
    decode_bucket,
    digest_bucket,
    encode_bucket,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bilberrypath.types import Revision

MAX_DELTAS_PER_READ = 64
MAX_KEPT_NOTES = 2000
MAX_READ_ATTEMPTS = 3


class StoreUnavailable(Exception):
    """The service did not answer; a write may or may not have taken effect."""


@frozen
class Write:
    """A key to be set, or removed where ``value`` is None."""

    key: str
    value: bytes | None


class KeyValue(Protocol):
    """The platform's key-value service, as far as the project uses it.

    Every method raises :class:`StoreUnavailable` when no answer comes.
    """

    async def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""

    async def get_range(self, start: str, end: str) -> Sequence[tuple[str, bytes]]:
        """Return the keys from ``start`` up to but not including ``end``."""

    async def compare_and_swap(
        self, key: str, expected: bytes | None, writes: Sequence[Write]
    ) -> bool:
        """Apply all writes if ``key`` holds ``expected``; return whether."""


class ReleaseHead(msgspec.Struct, array_like=True, frozen=True):
    """The value of the head key."""

    revision: int
    note_id: str
    next_service_number: int
    next_data_centre_number: int
    data_centres: tuple[DataCentre, ...]
    bucket_digests: tuple[bytes, ...]


@frozen
class ReleaseUpdate:
    """What the service holds after some revision."""

    head: Revision
    note_id: str = ""
    deltas: tuple[ReleaseDelta, ...] = ()
    snapshot: Release | None = None


@frozen
class Accepted:
    """The note is in force from ``revision`` on."""

    revision: Revision


@frozen
class Conflict:
    """Another note, ``delta``, took the revision first."""

    revision: Revision
    delta: ReleaseDelta | None


@frozen
class StoreBehind:
    """The service holds an older release than the one in force.

    Nothing was written; the readers bring the service up to date.
    """

    head: Revision


@frozen
class UnknownYet:
    """The service did not say whether the note took effect."""

    note_id: str


AcceptResult = Accepted | Conflict | StoreBehind | UnknownYet


class ReleaseStore:
    """Read, accept and restore releases through a :class:`KeyValue`."""

    def __init__(self, key_value: KeyValue, prefix: str) -> None:
        self._key_value = key_value
        self._head_key = f"{prefix}/head"
        self._note_prefix = f"{prefix}/note/"
        self._part_prefix = f"{prefix}/part/"

    async def read(self, have: Release) -> ReleaseUpdate:
        """Return what follows ``have``: steps if few, else the whole."""
        head = await self._read_head()
        if head is None:
            return ReleaseUpdate(0)
        if head.revision <= have.revision:
            return ReleaseUpdate(head.revision, head.note_id)
        if head.revision - have.revision <= MAX_DELTAS_PER_READ:
            steps = await self.read_deltas(have.revision + 1, head.revision)
            if _leads_to(have, steps, head):
                return ReleaseUpdate(head.revision, head.note_id, steps)
        whole = await self.read_snapshot()
        return ReleaseUpdate(whole.revision, whole.note_id, snapshot=whole)

    async def read_snapshot(self) -> Release:
        """Return the release that the head names."""
        for _ in range(MAX_READ_ATTEMPTS):
            head = await self._read_head()
            if head is None:
                return Release()
            release = await self._build_release(head)
            if release is not None:
                return release
        raise StoreUnavailable("the parts of the release do not fit its head")

    async def read_deltas(
        self, first: Revision, last: Revision
    ) -> tuple[ReleaseDelta, ...]:
        """Return the steps of the history in a range of revisions."""
        rows = await self._key_value.get_range(
            self._note_key(first), self._note_key(last + 1)
        )
        return tuple(
            msgspec.msgpack.decode(value, type=ReleaseDelta) for _, value in rows
        )

    async def accept(self, before: Release, step: ReleaseDelta) -> AcceptResult:
        """Make ``step`` the release after ``before``, if nobody was faster."""
        after = apply_release_delta(before, step)
        if after is None:
            raise ValueError(f"revision {step.revision} does not follow {before}")
        try:
            expected = await self._key_value.get(self._head_key)
            held = _decode_head(expected).revision if expected else 0
            if held < before.revision:
                return StoreBehind(held)
            if held > before.revision:
                return await self._find_accept_result(step)
            writes = self._list_writes(before, after, step)
            if await self._key_value.compare_and_swap(self._head_key, expected, writes):
                return Accepted(step.revision)
            return await self._find_accept_result(step)
        except StoreUnavailable:
            return await self.check_accepted(step)

    async def check_accepted(self, step: ReleaseDelta) -> AcceptResult:
        """Find out whether a step whose accept was not answered is in force."""
        try:
            return await self._find_accept_result(step)
        except StoreUnavailable:
            return UnknownYet(step.note.note_id)

    async def find_note(self, note_id: str) -> ReleaseDelta | None:
        """Return the accepted step of a note, or None if it is not there."""
        head = await self._read_head()
        if head is None:
            return None
        first = max(1, head.revision - MAX_KEPT_NOTES)
        for step in reversed(await self.read_deltas(first, head.revision)):
            if step.note.note_id == note_id:
                return step
        return None

    async def restore(self, release: Release) -> bool:
        """Bring a service that was set back up to the release in force."""
        expected = await self._key_value.get(self._head_key)
        head = _decode_head(expected) if expected else None
        if head is not None and not _is_behind(head, release):
            return False
        writes = [Write(self._head_key, _encode_head(release))]
        for index, bucket in enumerate(release.buckets):
            if bucket.digest and _is_bucket_changed(head, index, bucket):
                writes.append(self._make_part_write(bucket))
        return await self._key_value.compare_and_swap(self._head_key, expected, writes)

    async def _find_accept_result(self, step: ReleaseDelta) -> AcceptResult:
        """Compare the history at a step's revision with the step itself."""
        head = await self._read_head()
        if head is None or head.revision < step.revision:
            return UnknownYet(step.note.note_id)
        steps = await self.read_deltas(step.revision, step.revision)
        if steps and steps[0].note.note_id == step.note.note_id:
            return Accepted(step.revision)
        return Conflict(step.revision, steps[0] if steps else None)

    async def _read_head(self) -> ReleaseHead | None:
        value = await self._key_value.get(self._head_key)
        return None if value is None else _decode_head(value)

    async def _build_release(self, head: ReleaseHead) -> Release | None:
        buckets = []
        for digest in head.bucket_digests:
            if not digest:
                buckets.append(Bucket())
                continue
            value = await self._key_value.get(self._part_prefix + digest.hex())
            if value is None or digest_bucket(value) != digest:
                return None
            buckets.append(decode_bucket(value))
        return Release(
            head.revision,
            head.note_id,
            head.next_service_number,
            head.next_data_centre_number,
            {centre.name: centre for centre in head.data_centres},
            tuple(buckets),
        )

    def _list_writes(
        self, before: Release, after: Release, step: ReleaseDelta
    ) -> list[Write]:
        writes = [
            Write(self._head_key, _encode_head(after)),
            Write(self._note_key(step.revision), msgspec.msgpack.encode(step)),
        ]
        if step.revision > MAX_KEPT_NOTES:
            writes.append(Write(self._note_key(step.revision - MAX_KEPT_NOTES), None))
        for old, new in zip(before.buckets, after.buckets, strict=True):
            if old.digest == new.digest:
                continue
            if new.digest:
                writes.append(self._make_part_write(new))
            if old.digest:
                writes.append(Write(self._part_prefix + old.digest.hex(), None))
        return writes

    def _make_part_write(self, bucket: Bucket) -> Write:
        data = encode_bucket(bucket.service_by_name)
        return Write(self._part_prefix + bucket.digest.hex(), data)

    def _note_key(self, revision: Revision) -> str:
        return f"{self._note_prefix}{revision:012d}"


def _decode_head(value: bytes) -> ReleaseHead:
    return msgspec.msgpack.decode(value, type=ReleaseHead)


def _is_behind(head: ReleaseHead, release: Release) -> bool:
    """Return whether the service lacks the release that is in force.

    A head of the same revision with another note was written to a service
    that had been set back; the note that was in force first stays.
    """
    if head.revision != release.revision:
        return head.revision < release.revision
    return head.note_id != release.note_id


def _encode_head(release: Release) -> bytes:
    centres = [centre for _, centre in sorted(release.data_centre_by_name.items())]
    return msgspec.msgpack.encode(
        ReleaseHead(
            release.revision,
            release.note_id,
            release.next_service_number,
            release.next_data_centre_number,
            tuple(centres),
            tuple(bucket.digest for bucket in release.buckets),
        )
    )


def _is_bucket_changed(head: ReleaseHead | None, index: int, bucket: Bucket) -> bool:
    if head is None or len(head.bucket_digests) != BUCKET_COUNT:
        return True
    return head.bucket_digests[index] != bucket.digest


def _leads_to(
    have: Release, steps: tuple[ReleaseDelta, ...], head: ReleaseHead
) -> bool:
    if len(steps) != head.revision - have.revision:
        return False
    return steps[-1].note.note_id == head.note_id
