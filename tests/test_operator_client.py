"""Notes that are accepted while the store lacks the release in force."""

import pytest

from bilberrypath.coordination.release_store import Accepted, StoreBehind
from bilberrypath.operator_client import OperatorClient
from bilberrypath.protocol.bulk import StatusReply
from bilberrypath.settings import OperatorSettings, StoreSettings
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.release import Release, ReleaseDelta, apply_note
from tests.support.fake_store import FakeKeyValue, make_store
from tests.support.notes import first_note, out_note


def make_status(revision, note_id):
    member = Member("127.0.0.1:1", Role.BALANCER, "a", "", 1, 1, Status.SERVING)
    return StatusReply(member, revision, note_id, True, (), ())


@pytest.fixture
async def store():
    """Return a store at revision 1, with the note "n1"."""
    store = make_store(FakeKeyValue())
    after = apply_note(Release(), first_note())
    await store.accept(
        Release(), ReleaseDelta(after.revision, after.digest(), first_note())
    )
    return store


@pytest.fixture
def accept(store, monkeypatch):
    """Return a function that accepts a note while a balancer has some release.

    Another operator's ``other_note`` is accepted just before the balancer is asked.
    """

    async def accept(status, other_note=None):
        async def fetch_status(client, address):
            if other_note is not None:
                before = await store.read_snapshot()
                after = apply_note(before, other_note)
                delta = ReleaseDelta(after.revision, after.digest(), other_note)
                await store.accept(before, delta)
            return status

        monkeypatch.setattr(OperatorClient, "open_store", lambda client: store)
        monkeypatch.setattr(OperatorClient, "_fetch_balancer_status", fetch_status)
        settings = OperatorSettings(
            StoreSettings(("127.0.0.1", 1), "/t"), (("127.0.0.1", 1),), b""
        )
        return await OperatorClient(settings).accept(out_note("n2"), 0.0)

    return accept


class TestAccept:
    @pytest.mark.parametrize(
        ("status", "result"),
        [
            (make_status(1, "n1"), Accepted(2)),
            (make_status(0, ""), Accepted(2)),
            (None, Accepted(2)),
            (make_status(2, "lost"), StoreBehind(1)),
        ],
    )
    async def test_note_is_accepted_unless_a_newer_release_is_in_force(
        self, accept, status, result
    ):
        assert await accept(status) == result

    async def test_restored_store_with_another_note_at_the_revision_in_force_is_behind(
        self, accept
    ):
        """Guard against a note in force that is lost to one accepted beside it."""
        assert await accept(make_status(1, "lost")) == StoreBehind(1)

    async def test_note_beside_that_of_another_operator_is_not_told_as_store_behind(
        self, accept
    ):
        """Guard against a store read that is older than the balancers' statuses."""
        other_note = out_note("other", "winelands")
        assert await accept(make_status(2, "other"), other_note) == Accepted(3)
