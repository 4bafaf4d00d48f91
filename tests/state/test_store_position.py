import msgspec
import pytest

from bilberrypath.state.store_position import (
    EPOCH_BITS,
    STORE_REVISION_BITS,
    format_revision,
    get_epoch,
    get_store_revision,
    make_revision,
)

LAST_EPOCH = (1 << EPOCH_BITS) - 1
LAST_STORE_REVISION = (1 << STORE_REVISION_BITS) - 1


class TestRevision:
    @pytest.mark.parametrize("epoch", [0, 1, LAST_EPOCH])
    @pytest.mark.parametrize("store_revision", [0, 7, LAST_STORE_REVISION])
    def test_parts_are_kept_and_fit_a_message(self, epoch, store_revision):
        revision = make_revision(epoch, store_revision)
        assert get_epoch(revision) == epoch
        assert get_store_revision(revision) == store_revision
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(revision)) == revision

    def test_epoch_decides_before_the_revision_of_the_store(self):
        positions = [(0, 9), (1, 3), (1, 4), (2, 1)]
        revisions = [make_revision(*position) for position in positions]
        assert revisions == sorted(revisions)
        assert format_revision(revisions[2]) == "1.4"

    @pytest.mark.parametrize(
        ("epoch", "store_revision", "text"),
        [
            (-1, 1, "epoch -1 is not"),
            (LAST_EPOCH + 1, 1, "epoch 1048576 is not"),
            (1, -1, "store revision -1 is not"),
            (1, LAST_STORE_REVISION + 1, "store revision 17592186044416 is not"),
        ],
    )
    def test_part_that_does_not_fit_is_refused(self, epoch, store_revision, text):
        with pytest.raises(ValueError, match=text):
            make_revision(epoch, store_revision)
