"""The failure cases at a small scale; ``make prove`` runs them whole."""

import pytest

from tests.support.cases import CASES

SCALE = 0.05
SEED = 1
QUICK = (
    "address_reused",
    "crossed_answers",
    "data_centre_out",
    "graceful_shutdown",
    "silent_connections",
    "store_trouble",
    "at_most_once",
)


class TestCases:
    @pytest.mark.parametrize("name", QUICK)
    async def test_case(self, name, deployment):
        result = await CASES[name](deployment, SEED, SCALE)
        assert result.passed, result.detail
