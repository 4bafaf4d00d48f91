"""Revisions that stay unique when the platform's store is restored.

A store that is restored from an older copy of itself gives out its revisions again, so
that one of them may stand for two states. Its epoch increases with each restore. A
:data:`~bilberrypath.types.Revision` joins both in one integer, ordered by the epoch
first; with epoch 0 it equals the store's own revision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Revision

STORE_REVISION_BITS = 44  # enough for 170 years at 3,200 writes a second
EPOCH_BITS = 20  # with those of the revision a 64-bit integer, as messages carry it


def make_revision(epoch: int, store_revision: int) -> Revision:
    """Return the revision of a change in the store.

    Raises ValueError if a part does not fit its bits.

    Examples
    --------
    >>> make_revision(1, 900) < make_revision(2, 7) < make_revision(2, 8)
    True
    """
    if not 0 <= epoch < 1 << EPOCH_BITS:
        raise ValueError(f"epoch {epoch} is not between 0 and 2**{EPOCH_BITS} - 1")
    if not 0 <= store_revision < 1 << STORE_REVISION_BITS:
        raise ValueError(
            f"store revision {store_revision} is not between 0 and "
            f"2**{STORE_REVISION_BITS} - 1"
        )
    return epoch << STORE_REVISION_BITS | store_revision


def get_epoch(revision: Revision) -> int:
    """Return the epoch of the store in which a change was made."""
    return revision >> STORE_REVISION_BITS


def get_store_revision(revision: Revision) -> int:
    """Return the revision that the store gave to a change."""
    return revision & (1 << STORE_REVISION_BITS) - 1


def format_revision(revision: Revision) -> str:
    """Return a revision as ``epoch.store_revision``, for logs and status.

    Examples
    --------
    >>> format_revision(make_revision(2, 7))
    '2.7'
    """
    return f"{get_epoch(revision)}.{get_store_revision(revision)}"
