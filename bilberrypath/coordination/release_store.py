"""Releases in the platform's key-value service.

The head key holds the revision, the note ID and the digest of each bucket. It is
written only by compare-and-swap, in one transaction with the note and the buckets
that changed. If the answer to an accept was lost, the note ID in the history
shows whether the accept took effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

import msgspec
from attrs import frozen

from bilberrypath.protocol.decoding import DECODE_ERRORS, BoundedInteger
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

Value = TypeVar("Value")
MAX_DELTAS_PER_READ = 64  # a reader that is further behind gets a snapshot
MAX_KEPT_NOTES = 2000  # in the history; each accept deletes the note beyond them
# Written back in one transaction with the head and up to BUCKET_COUNT buckets; etcd
# allows 128 operations by default.
MAX_RESTORED_NOTES = 127 - BUCKET_COUNT
MAX_READ_ATTEMPTS = 3  # of a snapshot; an accept between two reads makes one fail


class StoreUnavailable(Exception):
    """No answer from the service, or stored values that do not match their head.

    A write that raises this may or may not have taken effect.
    """


@frozen
class Write:
    """A key to set, or to delete where ``value`` is None."""

    key: str
    value: bytes | None


class KeyValue(Protocol):
    """The calls of the platform's key-value service that the project uses.

    Every method raises :class:`StoreUnavailable` if the service does not answer.
    """

    async def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it is not set."""

    async def get_range(self, start: str, end: str) -> Sequence[tuple[str, bytes]]:
        """Return the keys and values from ``start`` to ``end``, without ``end``."""

    async def compare_and_swap(
        self, key: str, expected: bytes | None, writes: Sequence[Write]
    ) -> bool:
        """Apply all writes if ``key`` holds ``expected``; return whether it did."""


class ReleaseHead(msgspec.Struct, array_like=True, frozen=True):
    """The value of the head key.

    The ``next_`` numbers are those of the next new service and data centre. An
    empty digest in ``bucket_digests`` stands for an empty bucket.
    """

    revision: BoundedInteger
    note_id: str
    next_service_number: BoundedInteger
    next_data_centre_number: BoundedInteger
    data_centres: tuple[DataCentre, ...]
    bucket_digests: tuple[bytes, ...]


@frozen
class ReleaseUpdate:
    """The head of the service and what is newer than the reader's release.

    Newer releases come as ``deltas``, or as a ``snapshot`` where the deltas are
    too many or missing.
    """

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
    """Another note was accepted first at this revision.

    ``delta`` is that of the other note, or None if the history lacks it.
    """

    revision: Revision
    delta: ReleaseDelta | None


@frozen
class StoreBehind:
    """The service lacks the release in force, after it was restored to an older state.

    Nothing was written; the balancers that read the service write the release in
    force back to it.
    """

    head: Revision


@frozen
class UnknownYet:
    """It is not known yet whether the note took effect."""

    note_id: str


AcceptResult = Accepted | Conflict | StoreBehind | UnknownYet


class ReleaseStore:
    """Read, accept and restore releases through a :class:`KeyValue`."""

    def __init__(self, key_value: KeyValue, prefix: str) -> None:
        self._key_value = key_value
        self._head_key = f"{prefix}/head"
        self._note_prefix = f"{prefix}/note/"
        self._part_prefix = f"{prefix}/part/"

    async def read(self, known_release: Release) -> ReleaseUpdate:
        """Return what is newer than a release: few deltas, or else a snapshot."""
        head = await self._read_head()
        if head is None:
            return ReleaseUpdate(0)
        if head.revision <= known_release.revision:
            return ReleaseUpdate(head.revision, head.note_id)
        if head.revision - known_release.revision <= MAX_DELTAS_PER_READ:
            history = await self.read_deltas(known_release.revision, head.revision)
            new_deltas = history[1:] if known_release.revision else history
            if _leads_to(known_release, history, head):
                return ReleaseUpdate(head.revision, head.note_id, new_deltas)
        newest = await self.read_snapshot()
        return ReleaseUpdate(newest.revision, newest.note_id, snapshot=newest)

    async def read_snapshot(self) -> Release:
        """Return the release of the head.

        Raises :class:`StoreUnavailable` if its parts are missing or differ from
        their digests in :data:`MAX_READ_ATTEMPTS` reads.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            head = await self._read_head()
            if head is None:
                return Release()
            release = await self._build_release(head)
            if release is not None:
                return release
        raise StoreUnavailable(
            f"values under {self._part_prefix} are missing or do not match the digests "
            f"in {self._head_key} after {MAX_READ_ATTEMPTS} reads; try again, since a "
            "note accepted between the reads can be the cause"
        )

    async def read_deltas(
        self, first: Revision, last: Revision
    ) -> tuple[ReleaseDelta, ...]:
        """Return the deltas of the history from ``first`` to ``last``, inclusive."""
        rows = await self._key_value.get_range(
            self._note_key(first), self._note_key(last + 1)
        )
        return tuple(_decode(value, ReleaseDelta, key) for key, value in rows)

    async def accept(self, before: Release, delta: ReleaseDelta) -> AcceptResult:
        """Accept ``delta`` on top of ``before`` unless another note came first.

        Raises ValueError if the delta cannot be applied to ``before``.
        """
        after = apply_release_delta(before, delta)
        if after is None:
            raise ValueError(
                f"delta of revision {delta.revision} cannot be applied to the release "
                f"of revision {before.revision}; build it from that release"
            )
        try:
            expected = await self._key_value.get(self._head_key)
            head = self._decode_head(expected) if expected else None
            if _is_behind(head, before):
                return StoreBehind(head.revision if head else 0)
            if head is not None and head.revision > before.revision:
                return await self._find_accept_result(delta)
            writes = self._list_writes(before, after, delta)
            if await self._key_value.compare_and_swap(self._head_key, expected, writes):
                return Accepted(delta.revision)
            return await self._find_accept_result(delta)
        except StoreUnavailable:
            return await self.check_accepted(delta)

    async def check_accepted(self, delta: ReleaseDelta) -> AcceptResult:
        """Return the result of an accept that got no answer."""
        try:
            return await self._find_accept_result(delta)
        except StoreUnavailable:
            return UnknownYet(delta.note.note_id)

    async def find_note(self, note_id: str) -> ReleaseDelta | None:
        """Return the accepted delta of a note, or None if the history lacks it.

        The history holds the last :data:`MAX_KEPT_NOTES` notes.
        """
        head = await self._read_head()
        if head is None:
            return None
        first = max(1, head.revision - MAX_KEPT_NOTES)
        for delta in reversed(await self.read_deltas(first, head.revision)):
            if delta.note.note_id == note_id:
                return delta
        return None

    async def restore(self, release: Release, deltas: Sequence[ReleaseDelta]) -> bool:
        """Write the release in force to a service that was restored to an older state.

        ``deltas`` are the last ones up to the release; those that the history lacks are
        written too, so that the result of each note stays known.

        Return False if the service has this release or a newer one, or if its
        head changed meanwhile.
        """
        expected = await self._key_value.get(self._head_key)
        head = self._decode_head(expected) if expected else None
        if not _is_behind(head, release):
            return False
        writes = [Write(self._head_key, _encode_head(release))]
        for index, bucket in enumerate(release.buckets):
            if bucket.digest and _is_bucket_changed(head, index, bucket):
                writes.append(self._make_part_write(bucket))
        writes += await self._list_missing_notes(deltas[-MAX_RESTORED_NOTES:])
        return await self._key_value.compare_and_swap(self._head_key, expected, writes)

    async def _list_missing_notes(self, deltas: Sequence[ReleaseDelta]) -> list[Write]:
        """Return the writes of the deltas that the history lacks."""
        if not deltas:
            return []
        stored = await self.read_deltas(deltas[0].revision, deltas[-1].revision)
        return [self._make_note_write(delta) for delta in deltas if delta not in stored]

    async def _find_accept_result(self, delta: ReleaseDelta) -> AcceptResult:
        """Return the result of an accept from the history at the delta's revision."""
        head = await self._read_head()
        if head is None or head.revision < delta.revision:
            return UnknownYet(delta.note.note_id)
        accepted = await self.read_deltas(delta.revision, delta.revision)
        if accepted and accepted[0].note.note_id == delta.note.note_id:
            return Accepted(delta.revision)
        return Conflict(delta.revision, accepted[0] if accepted else None)

    async def _read_head(self) -> ReleaseHead | None:
        value = await self._key_value.get(self._head_key)
        return None if value is None else self._decode_head(value)

    def _decode_head(self, value: bytes) -> ReleaseHead:
        return _decode(value, ReleaseHead, self._head_key)

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
        self, before: Release, after: Release, delta: ReleaseDelta
    ) -> list[Write]:
        writes = [
            Write(self._head_key, _encode_head(after)),
            self._make_note_write(delta),
        ]
        if delta.revision > MAX_KEPT_NOTES:
            writes.append(Write(self._note_key(delta.revision - MAX_KEPT_NOTES), None))
        for old, new in zip(before.buckets, after.buckets, strict=True):
            if old.digest == new.digest:
                continue
            if new.digest:
                writes.append(self._make_part_write(new))
            if old.digest:
                writes.append(Write(self._part_prefix + old.digest.hex(), None))
        return writes

    def _make_note_write(self, delta: ReleaseDelta) -> Write:
        return Write(self._note_key(delta.revision), msgspec.msgpack.encode(delta))

    def _make_part_write(self, bucket: Bucket) -> Write:
        data = encode_bucket(bucket.service_by_name)
        return Write(self._part_prefix + bucket.digest.hex(), data)

    def _note_key(self, revision: Revision) -> str:
        return f"{self._note_prefix}{revision:012d}"


def _decode(value: bytes, value_type: type[Value], key: str) -> Value:
    """Return a stored value; raises :class:`StoreUnavailable` if it is not one."""
    try:
        return msgspec.msgpack.decode(value, type=value_type)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(
            f"the value of {key} cannot be decoded: {error}; write back the one that "
            "another writer replaced"
        ) from error


def _is_behind(head: ReleaseHead | None, release: Release) -> bool:
    """Return whether the service lacks the release in force.

    A head of the same revision with another note was written after the service
    had been restored to an older state. The note that was in force first stays.
    """
    if head is None:
        return release.revision > 0
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
    known_release: Release, history: tuple[ReleaseDelta, ...], head: ReleaseHead
) -> bool:
    """Return whether a history leads from a release to the head.

    ``history`` starts with the delta of the release itself, whose note differs if the
    service was restored and went on with other notes. Revision 0 has no delta.
    """
    note_ids = [delta.note.note_id for delta in history]
    if known_release.revision == 0:
        note_ids.insert(0, known_release.note_id)
    if len(note_ids) != head.revision - known_release.revision + 1:
        return False
    return (note_ids[0], note_ids[-1]) == (known_release.note_id, head.note_id)
