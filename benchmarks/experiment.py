"""Compare policies of the datagram service by simulation.

    python -m benchmarks.experiment benchmarks/experiments/cold_crowd.toml

An experiment names a load, one variable of the load with its values, and policies.
A policy sets constants of ``bilberrypath.coordination``, written ``module.NAME``, or of
another layer, written ``load.module.NAME``. All
policies are run with the same seeds for each value of the variable, so that differences
come from the policy. A table is printed, and a plot is written to ``out/``.
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

from tests.support.flow_world import make_world, send_requests

matplotlib.use("Agg")
from matplotlib import pyplot

OUT = Path("out")
PACKAGE = "bilberrypath"
CROWD_TIME = 0.2  # seconds over which the requests of the crowd are sent
LATER_TIME = 2.0  # seconds over which the later requests are sent
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
    lost.
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
    """Set a constant within the context.

    It is named as ``module.NAME`` in the coordination layer, or as
    ``layer.module.NAME``.
    """
    module_name, _, constant = name.rpartition(".")
    if "." not in module_name:
        module_name = f"coordination.{module_name}"
    module = importlib.import_module(f"{PACKAGE}.{module_name}")
    if not hasattr(module, constant):
        raise ExperimentError(f"{PACKAGE}.{module_name} has no constant {constant!r}")
    before = getattr(module, constant)
    setattr(module, constant, value)
    try:
        yield
    finally:
        setattr(module, constant, before)


def run_load(load, seed):
    """Simulate one load with one seed and return its result."""
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
    waits = sorted(wait for wait in waits if wait <= load.deadline)
    opens = [len(u.opens) for u in world.upstream_by_host.values()]
    return measure(load, waits, opens)


def measure(load, waits, opens):
    """Return the result of one run from its waiting times and opens per upstream."""
    total = load.crowd + load.later
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
        pairs = zip(results, first, strict=True)
        gain, half = summarize([result.worth - base.worth for result, base in pairs])
        cells.append(f"gain {gain:+.3f}±{half:.3f}")
        print(f"{document['variable']}={value:<5} {name:<28} {'  '.join(cells)}")


def plot_worth(document, rows, path):
    """Plot the worth of each policy against the variable."""
    for name in document["policies"]:
        points = [
            (value, *summarize([result.worth for result in results]))
            for value, policy, results in rows
            if policy == name
        ]
        values, middles, halves = zip(*points, strict=True)
        pyplot.errorbar(values, middles, yerr=halves, label=name, capsize=3)
    pyplot.title(document["title"])
    pyplot.xlabel(document["variable"])
    pyplot.ylabel("worth: in time 1, late less, else 0")
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
    plot_worth(document, rows, OUT / f"{options.experiment.stem}.png")


if __name__ == "__main__":
    main()
