"""Tests of what clients get from an upstream that is overloaded, in virtual time.

The kinds are those of the customer with contention; docs/design/request-gate.md has the
figures. The mean of several seeds is compared, as a run of some seconds has a few
hundred requests.
"""

from collections import Counter

import pytest

from tests.support.gated_upstream import GatedUpstream, Kind

SEEDS = range(8)
SECONDS = 6.0
LOOKUP = Kind("lookup", 2, 0.7, 0.040, 0.309)  # less urgent, on long flows
ORDER = Kind("order", 1, 0.3, 0.052, 0.370)  # urgent, each on its own flow
KINDS = (LOOKUP, ORDER)


def play(load, is_gated, shed_at=None):
    """Return the mean shares within the objective by kind, and "capacity" used."""
    means = Counter()
    for seed in SEEDS:
        upstream = GatedUpstream(is_gated, KINDS, shed_at, seed=seed)
        means.update(upstream.play(load, SECONDS))
        work = sum(upstream.answered[kind.name] * kind.work for kind in KINDS)
        means["capacity"] += work / upstream.slots / upstream.now
        for name, count in upstream.answered.items():
            means[f"{name}_answered"] += count / upstream.offered[name]
    return {name: total / len(SEEDS) for name, total in means.items()}


def compute_value(shares):
    """Return the value of the answers: orders count twice, late answers half."""
    lookups = shares["lookup"] + shares["lookup_answered"]
    orders = shares["order"] + shares["order_answered"]
    return LOOKUP.share * lookups / 2 + ORDER.share * orders


class TestShares:
    def test_full_load_costs_no_order_its_objective(self):
        shares = play(1.0, True)
        assert shares["order"] > 0.99
        assert shares["lookup"] > 0.94

    @pytest.mark.parametrize("shed_at", [None, 8])
    def test_orders_are_in_time_at_one_and_a_half_times_the_capacity(self, shed_at):
        assert play(1.5, False)["order"] < 0.75
        assert play(1.5, True, shed_at)["order"] > 0.95

    @pytest.mark.parametrize("shed_at", [None, 8])
    @pytest.mark.parametrize(("load", "gain"), [(2.0, 1.5), (3.0, 1.25)])
    def test_more_orders_are_in_time_far_above_the_capacity(self, load, gain, shed_at):
        before, after = play(load, False), play(load, True, shed_at)
        assert after["order"] > gain * before["order"]

    @pytest.mark.parametrize("shed_at", [None, 8])
    @pytest.mark.parametrize("load", [2.0, 3.0])
    def test_lookups_keep_a_share_and_the_capacity_is_used(self, load, shed_at):
        """Guard against starvation: a quarter of the turns is theirs."""
        shares = play(load, True, shed_at)
        work = LOOKUP.share * LOOKUP.work / sum(k.share * k.work for k in KINDS)
        assert shares["lookup_answered"] * load * work > 0.2
        assert shares["capacity"] > 0.95

    @pytest.mark.parametrize("shed_at", [None, 8])
    @pytest.mark.parametrize("load", [0.7, 1.0, 1.5, 2.0, 3.0])
    def test_value_is_at_least_that_without_gate(self, load, shed_at):
        """Guard against keeping requests so long that the answers are late."""
        value = compute_value(play(load, False))
        assert compute_value(play(load, True, shed_at)) >= value
