"""The fault soak, short, with seeds that failed once."""

import pytest

from tests.soak import run_seed

SEEDS = {
    1: "the soak took an upstream that was silent for one that lives",
    110: "the soak took a late answer to an earlier request for a foreign one",
    2000: "a frozen agent took opens that had waited, after others had them",
    1001: "a flow that was only guessed to be here was reset with its upstream",
    2022: "an agent that had heard no list of agents took itself for all of them",
    5001: "an agent that woke took the others for gone, by its own absence",
    1023: "flows of an agent that was away beside a living upstream were reset",
    7011: "an agent that knew few others had one of them reset a flow",
    7103: "an upstream that accepted an open too, and was not chosen, reset its flow",
    9117: "a watch begun while the store was silent outlasted the silence by far",
    3002: "flows of an agent that was frozen for two seconds were reset by others",
}


class TestSoak:
    @pytest.mark.parametrize("seed", [1, 3002], ids=str)
    async def test_no_promise_is_broken(self, seed, tmp_path):
        assert seed in SEEDS
        soak = await run_seed(seed, 5.0, tmp_path, network=78)
        assert soak.findings == []
        assert soak.served > 0
