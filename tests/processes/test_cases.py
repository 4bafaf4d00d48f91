"""Selected failure cases at 5 % scale; ``make prove`` runs all at full scale."""

import pytest

from tests.support.cases import CASES

SCALE = 0.05
SEED = 1
QUICK_CASES = (
    "address_reused",
    "crossed_answers",
    "data_centre_out",
    "graceful_shutdown",
    "silent_connections",
    "store_trouble",
    "at_most_once",
)


class TestCases:
    @pytest.mark.parametrize("name", QUICK_CASES)
    async def test_failure_case_passes(self, name, deployment):
        result = await CASES[name](deployment, SEED, SCALE)
        assert result.passed, result.detail
