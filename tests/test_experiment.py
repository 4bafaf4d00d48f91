"""Tests of the experiment tool.

Equal seeds give equal results, and constants are restored after a run.
"""

from pathlib import Path

import pytest
from attrs import evolve

from benchmarks.experiment import (
    ExperimentError,
    Load,
    read_experiment,
    run_policy,
    summarize,
    use_constant,
)
from bilberrypath.load import admission

EXPERIMENTS = Path(__file__).parents[1] / "benchmarks" / "experiments"
LOAD = Load(3, 2, 0.05, 8, 2.0, 40, 20, 0.2, 1.0, 0.3, 0.01)


def _get_stem(path):
    return path.stem


class TestExperiment:
    def test_same_seed_gives_the_same_result(self):
        constants = {"bilberrypath.load.admission.MAX_QUEUE_FIRST_OPEN": 2.0}
        first_results, second_results = (
            run_policy(constants, LOAD, [3]) for _ in range(2)
        )
        assert first_results == second_results
        assert 0 < first_results[0].worth <= 1

    def test_constants_are_restored(self):
        value_before = admission.MAX_QUEUE_FIRST_OPEN
        with use_constant("bilberrypath.load.admission.MAX_QUEUE_FIRST_OPEN", 9.0):
            assert admission.MAX_QUEUE_FIRST_OPEN == 9.0
        assert value_before == admission.MAX_QUEUE_FIRST_OPEN

    def test_error_names_an_unknown_constant(self):
        with (
            pytest.raises(ExperimentError, match="has no constant 'QUEUE'"),
            use_constant("upstream_monitor.QUEUE", 1),
        ):
            pass

    def test_error_names_an_unknown_load_field(self, tmp_path):
        path = tmp_path / "bad.toml"
        path.write_text('variable = "crowd"\n[load]\ncrowds = 3\n')
        with pytest.raises(ExperimentError, match="crowds"):
            read_experiment(path)

    def test_interval_narrows_with_more_seeds(self):
        assert summarize([1.0, 2.0, 3.0, 2.0])[1] < summarize([1.0, 3.0])[1]

    @pytest.mark.parametrize("path", sorted(EXPERIMENTS.glob("*.toml")), ids=_get_stem)
    def test_experiment_files_can_be_read(self, path):
        document = read_experiment(path)
        assert Load(**document["load"])
        for constants in document["policies"].values():
            for name, value in constants.items():
                with use_constant(name, value):
                    pass


UNEVEN = Load(
    4, 2, 0.045, 6, 0.0, 0, 0, 0.4, 1.7, 0.5, 0.0, seconds=5.0, offered=0.7,
    flow_length=5.0, speeds=(0.3, 1.0, 1.0, 1.0),
)  # fmt: skip


class TestSteadyLoad:
    # Guards against a placement that ignores learned speeds: without them, requests
    # wait longer at the slow upstream. Deterministic by its seed.
    def test_learned_speeds_shorten_the_waits_beside_a_slow_upstream(self):
        band = "bilberrypath.load.expected_wait.DEAD_BAND"
        (learned,) = run_policy({}, UNEVEN, [1])
        (utilization,) = run_policy({band: 1e9}, UNEVEN, [1])
        assert learned.answered >= utilization.answered
        assert learned.p99 < 0.9 * utilization.p99

    def test_equal_upstreams_are_served_exactly_as_without_learned_speeds(self):
        load = evolve(UNEVEN, speeds=(1.0,), offered=0.8)
        band = "bilberrypath.load.expected_wait.DEAD_BAND"
        assert run_policy({}, load, [2]) == run_policy({band: 1e9}, load, [2])
