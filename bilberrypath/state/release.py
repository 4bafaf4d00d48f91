"""Releases: the configuration in force, and the notes that change it.

A release is reached from the one before it by exactly one note. Services are
kept in a fixed number of buckets by the hash of their name, so that a change
touches one small bucket: the digest of a release, its copy and what is
written to the platform's service all cost a bucket, not the whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash
from attrs import Factory, evolve, field, frozen

from bilberrypath.types import DataCentreName, Revision, ServiceName  # noqa: TC001

if TYPE_CHECKING:
    from hashlib import blake2s

BUCKET_COUNT = 64
DIGEST_LENGTH = 16  # bytes
MAX_DATA_CENTRES = 255
MAX_SERVICES = 65535


@frozen
class Service:
    """A service that callers reach at one port of the balancers.

    ``number`` stands for the service in routing tokens and is never reused.
    ``data_centres`` names where its upstreams may take work.
    """

    name: ServiceName
    port: int
    data_centres: tuple[DataCentreName, ...]
    number: int = 0


@frozen
class DataCentre:
    """A data centre; ``out`` means that it is taken out of service."""

    name: DataCentreName
    out: bool = False
    number: int = 0


@frozen
class ReleaseNote:
    """A release note: what is added, changed and withdrawn.

    ``note_id`` is unique and made by the operator's command; it settles
    whether an accept whose answer was lost took effect.
    """

    note_id: str
    author: str = ""
    added_services: tuple[Service, ...] = ()
    changed_services: tuple[Service, ...] = ()
    withdrawn_services: tuple[ServiceName, ...] = ()
    added_data_centres: tuple[DataCentre, ...] = ()
    changed_data_centres: tuple[DataCentre, ...] = ()
    withdrawn_data_centres: tuple[DataCentreName, ...] = ()


@frozen
class Bucket:
    """The services whose names hash to one bucket, with their digest."""

    service_by_name: dict[ServiceName, Service] = Factory(dict)
    digest: bytes = b""


@frozen
class Release:
    """One revision of the configuration.

    Examples
    --------
    >>> note = ReleaseNote("n1", added_data_centres=(DataCentre("citybowl"),))
    >>> apply_note(Release(), note).revision
    1
    """

    revision: Revision = 0
    note_id: str = ""
    next_service_number: int = 1
    next_data_centre_number: int = 1
    data_centre_by_name: dict[DataCentreName, DataCentre] = Factory(dict)
    buckets: tuple[Bucket, ...] = field(
        factory=lambda: tuple(Bucket() for _ in range(BUCKET_COUNT))
    )

    def get_service(self, name: ServiceName) -> Service | None:
        """Return a service by name, or None."""
        return self.buckets[compute_bucket_index(name)].service_by_name.get(name)

    def list_services(self) -> list[Service]:
        """Return all services ordered by name."""
        services = []
        for bucket in self.buckets:
            services.extend(bucket.service_by_name.values())
        return sorted(services, key=lambda service: service.name)

    def list_data_centres_out(self) -> frozenset[DataCentreName]:
        """Return the names of the data centres that are taken out."""
        centres = self.data_centre_by_name.values()
        return frozenset(centre.name for centre in centres if centre.out)

    def digest(self) -> bytes:
        """Return the hash that identifies this content."""
        digest = _make_hash()
        digest.update(f"{self.revision}/{self.note_id}".encode())
        digest.update(f"/{self.next_service_number}".encode())
        digest.update(f"/{self.next_data_centre_number}".encode())
        for _, centre in sorted(self.data_centre_by_name.items()):
            digest.update(msgspec.msgpack.encode(centre))
        for bucket in self.buckets:
            digest.update(bucket.digest)
        return digest.digest()


def compute_bucket_index(name: ServiceName) -> int:
    """Return the index of the bucket that holds a service."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def make_bucket(service_by_name: dict[ServiceName, Service]) -> Bucket:
    """Return a bucket with the digest of its content."""
    if not service_by_name:
        return Bucket()
    return Bucket(service_by_name, digest_bucket(encode_bucket(service_by_name)))


def encode_bucket(service_by_name: dict[ServiceName, Service]) -> bytes:
    """Return the bytes of a bucket, the same for the same content."""
    ordered = [service for _, service in sorted(service_by_name.items())]
    return msgspec.msgpack.encode(ordered)


def decode_bucket(data: bytes) -> Bucket:
    """Return the bucket in ``data``; raises msgspec.DecodeError if torn."""
    services = msgspec.msgpack.decode(data, type=list[Service])
    return make_bucket({service.name: service for service in services})


def digest_bucket(data: bytes) -> bytes:
    """Return the hash by which a stored bucket is named."""
    digest = _make_hash()
    digest.update(data)
    return digest.digest()


def _make_hash() -> blake2s:
    # The import loads OpenSSL, which only processes that keep releases need.
    from hashlib import blake2s

    return blake2s(digest_size=DIGEST_LENGTH)


def check_note(release: Release, note: ReleaseNote) -> list[str]:
    """Return every fault of a note against the release it would follow."""
    faults = _check_data_centres(release, note)
    known = set(release.data_centre_by_name)
    known |= {centre.name for centre in note.added_data_centres}
    known -= set(note.withdrawn_data_centres)
    faults += _check_services(release, note, known)
    faults += _check_ports(release, note)
    faults += _check_still_assigned(release, note)
    if not faults and _is_empty(note):
        faults.append("the note changes nothing; add, change or withdraw something")
    return faults


def _is_empty(note: ReleaseNote) -> bool:
    return not any(
        (
            note.added_services,
            note.changed_services,
            note.withdrawn_services,
            note.added_data_centres,
            note.changed_data_centres,
            note.withdrawn_data_centres,
        )
    )


def _check_data_centres(release: Release, note: ReleaseNote) -> list[str]:
    known = release.data_centre_by_name
    faults = []
    for centre in note.added_data_centres:
        if centre.name in known:
            faults.append(
                f"[added] data centre {centre.name!r} exists already; "
                "name it under [changed]"
            )
    named = [centre.name for centre in note.changed_data_centres]
    for name in [*named, *note.withdrawn_data_centres]:
        if name not in known:
            faults.append(
                f"data centre {name!r} is not in revision {release.revision}; "
                f"known: {', '.join(sorted(known)) or 'none'}"
            )
    if release.next_data_centre_number + len(note.added_data_centres) > (
        MAX_DATA_CENTRES
    ):
        faults.append(f"no more than {MAX_DATA_CENTRES} data centres can be numbered")
    return faults


def _check_services(
    release: Release, note: ReleaseNote, known_centres: set[DataCentreName]
) -> list[str]:
    faults = []
    for service in note.added_services:
        if release.get_service(service.name):
            faults.append(
                f"[added] service {service.name!r} exists already; "
                "name it under [changed]"
            )
    named = [service.name for service in note.changed_services]
    for name in [*named, *note.withdrawn_services]:
        if release.get_service(name) is None:
            faults.append(
                f"service {name!r} is not in revision {release.revision}; "
                "name it under [added], or see 'release show'"
            )
    for service in (*note.added_services, *note.changed_services):
        for centre in service.data_centres:
            if centre not in known_centres:
                faults.append(
                    f"service {service.name!r}: data centre {centre!r} is not known; "
                    "add it in the same note"
                )
    if release.next_service_number + len(note.added_services) > MAX_SERVICES:
        faults.append(f"no more than {MAX_SERVICES} services can be numbered")
    return faults


def _check_ports(release: Release, note: ReleaseNote) -> list[str]:
    written = (*note.added_services, *note.changed_services)
    gone = set(note.withdrawn_services) | {service.name for service in written}
    name_by_port = {
        service.port: service.name
        for service in release.list_services()
        if service.name not in gone
    }
    faults = []
    for service in written:
        holder = name_by_port.setdefault(service.port, service.name)
        if holder != service.name:
            faults.append(
                f"service {service.name!r}: port {service.port} is held by "
                f"service {holder!r}; choose another"
            )
    return faults


def _check_still_assigned(release: Release, note: ReleaseNote) -> list[str]:
    if not note.withdrawn_data_centres:
        return []
    written = {s.name: s for s in (*note.added_services, *note.changed_services)}
    gone = set(note.withdrawn_services)
    faults = []
    for service in release.list_services():
        if service.name in gone:
            continue
        after = written.get(service.name, service)
        for centre in set(after.data_centres) & set(note.withdrawn_data_centres):
            faults.append(
                f"data centre {centre!r} can't be withdrawn while service "
                f"{service.name!r} is assigned to it; change the service as well"
            )
    return faults


def apply_note(release: Release, note: ReleaseNote) -> Release:
    """Return the release that follows ``release`` by ``note``.

    The note must have passed :func:`check_note`. The result depends on the
    two arguments alone, so that every process reaches the same digest.
    """
    centres, next_centre = _apply_data_centres(release, note)
    buckets, next_service = _apply_services(release, note)
    return Release(
        revision=release.revision + 1,
        note_id=note.note_id,
        next_service_number=next_service,
        next_data_centre_number=next_centre,
        data_centre_by_name=centres,
        buckets=buckets,
    )


def _apply_data_centres(
    release: Release, note: ReleaseNote
) -> tuple[dict[DataCentreName, DataCentre], int]:
    centre_by_name = dict(release.data_centre_by_name)
    number = release.next_data_centre_number
    for centre in note.added_data_centres:
        centre_by_name[centre.name] = evolve(centre, number=number)
        number += 1
    for centre in note.changed_data_centres:
        known = centre_by_name[centre.name]
        centre_by_name[centre.name] = evolve(centre, number=known.number)
    for name in note.withdrawn_data_centres:
        del centre_by_name[name]
    return centre_by_name, number


def _apply_services(
    release: Release, note: ReleaseNote
) -> tuple[tuple[Bucket, ...], int]:
    touched: dict[int, dict[ServiceName, Service]] = {}

    def open_bucket(name: ServiceName) -> dict[ServiceName, Service]:
        index = compute_bucket_index(name)
        if index not in touched:
            touched[index] = dict(release.buckets[index].service_by_name)
        return touched[index]

    number = release.next_service_number
    for service in note.added_services:
        open_bucket(service.name)[service.name] = evolve(service, number=number)
        number += 1
    for service in note.changed_services:
        bucket = open_bucket(service.name)
        known = bucket[service.name]
        bucket[service.name] = evolve(service, number=known.number)
    for name in note.withdrawn_services:
        del open_bucket(name)[name]
    buckets = list(release.buckets)
    for index, service_by_name in touched.items():
        buckets[index] = make_bucket(service_by_name)
    return tuple(buckets), number


@frozen
class ReleaseDelta:
    """A note together with the revision and the digest that it leads to."""

    revision: Revision
    digest: bytes
    note: ReleaseNote


def apply_release_delta(release: Release, step: ReleaseDelta) -> Release | None:
    """Return the release after ``step``, or None if it does not follow.

    None means that the step belongs to another revision, or that applying it
    does not give the digest it promises: then the whole must be fetched.
    """
    if step.revision != release.revision + 1:
        return None
    if check_note(release, step.note):
        return None
    after = apply_note(release, step.note)
    return after if after.digest() == step.digest else None
