"""Compare policies of the datagram service by simulation.

    python -m benchmarks.experiment benchmarks/experiments/cold_crowd.toml

An experiment names a load, one variable of the load with its values, and policies.
A policy sets constants of ``bilberrypath.coordination``, written ``module.NAME``, or
others, written with the whole path; a value ``benchmarks.module.NAME`` is what that
name stands for. All policies are run with the same seeds for each value of the
variable, so that differences come from the policy. A table is printed, and a plot is
written to ``out/``.
"""

import argparse
import importlib
import math
import tomllib
from contextlib import ExitStack, contextmanager
from pathlib import Path
from statistics import mean, stdev

import matplotlib
from attrs import asdict, define, frozen

from benchmarks.steady_load import run_steady_load
from tests.support.flow_world import make_world, send_requests

matplotlib.use("Agg")
from matplotlib import pyplot

OUT = Path("out")
PACKAGE = "bilberrypath.coordination"
CROWD_TIME = 0.2  # seconds over which the requests of the crowd are sent
LATER_TIME = 2.0  # seconds over which the later requests are sent
LABEL_BY_RESULT = {
    "worth": "worth: in time 1, late less, else 0",
    "p99": "99th percentile of the waiting time, s",
}
CONFIDENCE = 1.96  # standard errors of a 95% interval


class ExperimentError(ValueError):
    """An error in the file of an experiment."""


@frozen
class Load:
    """Requests of the clients and capacity of the upstreams; times in seconds.

    ``work`` is the time that a request runs, ``room`` the requests that wait at an
    upstream before it sheds others, and ``cold_for`` the length of a cold start.
    ``crowd`` requests are sent within ``CROWD_TIME`` and ``later`` requests in the
    ``LATER_TIME`` after it. An answer within ``aim`` counts 1, one within ``deadline``
    counts ``late_worth``. ``loss`` is the share of messages between processes that are
    lost. With ``seconds`` above 0 the load is steady instead, see
    :mod:`benchmarks.steady_load`: ``offered`` is the share of the capacity that is
    requested, ``long_share`` of it on long flows of ``flow_length`` requests in the
    mean. ``speeds`` are those of the upstreams in turn, and ``tail_share`` of the
    requests take ``tail_factor`` times as long.
    """

    agents: int
    balancers: int
    work: float
    room: int
    cold_for: float
    crowd: int
    later: int
    aim: float
    deadline: float
    late_worth: float
    loss: float
    seconds: float = 0.0
    offered: float = 0.9
    long_share: float = 0.7
    flow_length: float = 20.0
    speeds: tuple[float, ...] = (1.0,)
    slots: int = 2
    tail_share: float = 0.0
    tail_factor: float = 1.0


@define
class Result:
    """The result of one run.

    ``in_aim`` and ``answered`` are the shares of requests answered within ``aim`` and
    within ``deadline``; ``worth`` is the mean over all requests of what their answers
    count. ``p99`` is the 99th percentile of the waiting times in seconds, and
    ``imbalance`` the ratio of the maximum to the mean number of opens of an upstream.
    """

    worth: float
    in_aim: float
    answered: float
    p99: float
    imbalance: float


def read_experiment(path):
    """Return the parsed file of an experiment; raises :class:`ExperimentError`."""
    with open(path, "rb") as file:
        document = tomllib.load(file)
    known = set(Load.__annotations__)
    unknown = set(document["load"]) - known
    if unknown:
        raise ExperimentError(
            f"unknown keys in load: {sorted(unknown)}; expected {sorted(known)}"
        )
    if document["variable"] not in known:
        raise ExperimentError(
            f"variable {document['variable']!r}: expected one of {sorted(known)}"
        )
    return document


@contextmanager
def use_constant(name, value):
    """Set a constant, named as ``module.NAME``, within the context."""
    module_name, _, constant = name.rpartition(".")
    if "." not in module_name:
        module_name = f"{PACKAGE}.{module_name}"
    module = importlib.import_module(module_name)
    if not hasattr(module, constant):
        raise ExperimentError(f"{module_name} has no constant {constant!r}")
    if isinstance(value, str):
        source, _, source_name = value.rpartition(".")
        value = getattr(importlib.import_module(source), source_name)
    before = getattr(module, constant)
    setattr(module, constant, value)
    try:
        yield
    finally:
        setattr(module, constant, before)


def run_load(load, seed):
    """Simulate one load with one seed and return its result."""
    if load.seconds > 0:
        return measure(load, *run_steady_load(load, seed))
    world = make_world(load.agents, load.balancers, seed, load.loss)
    for upstream in world.upstream_by_host.values():
        upstream.restart()
        upstream.service_time, upstream.queue_capacity = load.work, load.room
        upstream.cold_for = load.cold_for
        upstream.report()
    sent = send_requests(world, load.crowd, CROWD_TIME)
    sent += send_requests(world, load.later, LATER_TIME)
    world.run(load.deadline)
    tries = [(at, client.last_try) for at, client in sent]
    waits = [last.answered_at - at for at, last in tries if last.answers]
    opens = [len(u.opens) for u in world.upstream_by_host.values()]
    return measure(load, load.crowd + load.later, waits, opens)


def measure(load, total, waits, opens):
    """Return the result of a run of ``total`` requests.

    ``waits`` are the times until their answers, and ``opens`` those per upstream.
    """
    waits = sorted(wait for wait in waits if wait <= load.deadline)
    in_aim = sum(wait <= load.aim for wait in waits)
    late = len(waits) - in_aim
    p99 = waits[math.ceil(0.99 * len(waits)) - 1] if waits else math.nan
    worth = (in_aim + load.late_worth * late) / total
    imbalance = max(opens) / mean(opens)
    return Result(worth, in_aim / total, len(waits) / total, p99, imbalance)


def run_policy(constants, load, seeds):
    """Return the results of one policy, one for each seed."""
    with ExitStack() as stack:
        for name, value in constants.items():
            stack.enter_context(use_constant(name, value))
        return [run_load(load, seed) for seed in seeds]


def summarize(values):
    """Return the mean and the half width of its 95% confidence interval."""
    deviation = stdev(values) if len(values) > 1 else 0.0
    return mean(values), CONFIDENCE * deviation / math.sqrt(len(values))


def run_experiment(document, seeds):
    """Yield each value of the variable, each policy's name, and its results."""
    for value in document["values"]:
        load = Load(**document["load"] | {document["variable"]: value})
        for name, constants in document["policies"].items():
            yield value, name, run_policy(constants, load, seeds)


def print_table(document, rows):
    """Print means with their 95% intervals, and the gain over the first policy."""
    first_by_value = {}
    print(f"{document['title']}; 95% intervals over seeds")
    for value, name, results in rows:
        first = first_by_value.setdefault(value, results)
        cells = []
        for field in asdict(results[0]):
            middle, half = summarize([getattr(result, field) for result in results])
            cells.append(f"{field} {middle:.3f}±{half:.3f}")
        pairs = list(zip(results, first, strict=True))
        gain, half = summarize([result.worth - base.worth for result, base in pairs])
        ratios = [result.p99 / base.p99 for result, base in pairs]
        cells.append(f"p99 ratio {summarize(ratios)[0]:.2f}")
        cells.append(f"gain {gain:+.3f}±{half:.3f}")
        print(f"{document['variable']}={value:<5} {name:<28} {'  '.join(cells)}")


def plot_results(document, rows, path):
    """Plot each policy's worth, or ``plot`` of the file, against the variable."""
    measured = document.get("plot", "worth")
    for name in document["policies"]:
        points = [
            (value, *summarize([getattr(result, measured) for result in results]))
            for value, policy, results in rows
            if policy == name
        ]
        values, middles, halves = zip(*points, strict=True)
        pyplot.errorbar(values, middles, yerr=halves, label=name, capsize=3)
    pyplot.title(document["title"])
    pyplot.xlabel(document["variable"])
    pyplot.ylabel(LABEL_BY_RESULT[measured])
    pyplot.legend()
    path.parent.mkdir(exist_ok=True)
    pyplot.savefig(path, dpi=90)
    pyplot.close()


def main():
    """Run an experiment and show its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", type=Path)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    try:
        document = read_experiment(options.experiment)
        rows = list(run_experiment(document, range(options.seeds)))
    except ExperimentError as error:
        parser.error(f"{options.experiment}: {error}")
    print_table(document, rows)
    plot_results(document, rows, OUT / f"{options.experiment.stem}.png")


if __name__ == "__main__":
    main()
