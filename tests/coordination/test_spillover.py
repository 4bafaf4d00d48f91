"""What clients get with spillover between data centres, in the model."""

import math

import pytest

from bilberrypath.coordination import open_placement
from tests.support.data_centre_load import (
    BOARD,
    TERMS,
    Demand,
    count_swings,
    run_demand,
)
from tests.support.flow_model import ReportFaults

CAPACITY = 12 * 2 / 0.045  # requests per second of 12 upstreams with two slots
FAULTS = ReportFaults(delay=0.5, loss=0.05, duplication=0.05)
WAVE_PERIOD = 5.0  # seconds


def make_uneven_rate(load):
    """Return rates three times as high in one data centre as in each other one."""

    def rate(address, data_centre, elapsed):
        return load * CAPACITY * (0.6 if data_centre == "a" else 0.2)

    return rate


def make_wave_rate(load):
    """Return rates that vary by 55%, out of phase between the data centres."""

    def rate(address, data_centre, elapsed):
        phase = elapsed / WAVE_PERIOD + "abc".index(data_centre) / 3
        return load * CAPACITY / 3 * (1 + 0.55 * math.sin(2 * math.pi * phase))

    return rate


def run(rate, terms=TERMS, seed=1, **values):
    demand = Demand(
        rate, terms_by_address={BOARD: terms}, report_faults=FAULTS, **values
    )
    return run_demand(demand, seed)


class TestSpillover:
    def test_opens_stay_near_while_there_is_room(self):
        """Guard against opens that leave a data centre with free slots.

        Half of the total capacity is in demand, and 0.3 of that of data centre b.
        """
        with_terms = run(make_uneven_rate(0.5))
        without = run(make_uneven_rate(0.5), terms=None)
        assert with_terms.compute_far_share("b") < 0.1
        assert without.compute_far_share("b") > 0.3
        assert with_terms.compute_share_within(0.3) == 1.0

    def test_a_full_data_centre_spills_over_what_it_cannot_take(self):
        """Guard against a queue near the clients while other data centres have room.

        Data centre a is to serve 1.26 times its capacity.
        """
        result = run(make_uneven_rate(0.7))
        assert 0.2 < result.compute_far_share("a") < 0.5
        assert result.compute_share_within(0.15) > 0.98
        assert result.count_outcomes(0.3)["none"] == 0

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("load", [0.7, 0.85])
    def test_waves_out_of_phase_are_served_without_oscillation(self, load, seed):
        """Guard against opens that all move at once when late reports arrive."""
        result = run(make_wave_rate(load), seed=seed)
        for data_centre in "abc":
            assert count_swings(result.list_far_shares(data_centre)) == 0
        assert result.compute_share_within(0.3) > 0.99

    def test_relays_of_an_open_are_bounded(self):
        """Guard against a surge that is relayed back and forth."""
        result = run(make_uneven_rate(1.2), seconds=3.0)
        hops = [
            fields["hops"]
            for event, _, fields in result.world.decisions
            if event == "open_accepted"
        ]
        assert max(hops) <= 2 * open_placement.MAX_HOPS

    def test_nothing_is_derived_without_terms(self):
        """Guard against load control that takes effect without terms."""
        result = run(make_uneven_rate(1.2), terms=None, seconds=2.0)
        assert not any(event == "pressure" for event, _ in result.world.counts)

    def test_nothing_changes_where_the_setting_is_false(self):
        """Guard against spillover that an operator did not choose.

        Each decision is that of routes without terms; only the pressure is kept.
        """
        rate = make_uneven_rate(1.2)
        off = run(rate, seconds=2.0, spillover=False)
        without = run(rate, terms=None, seconds=2.0)
        assert off.world.decisions
        assert off.world.decisions == without.world.decisions
        assert off.world.counts["pressure", "entered"] > 0
        on = run(rate, seconds=2.0)
        assert on.world.decisions != without.world.decisions

    def test_entering_pressure_is_counted_once_per_agent_and_surge(self):
        """Guard against a pressure that flaps while the load stays high."""
        result = run(make_uneven_rate(1.4), seconds=6.0)
        assert 12 <= result.world.counts["pressure", "entered"] <= 24
