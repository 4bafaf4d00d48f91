"""Run the failure cases with real processes and print one line per case.

``python -m tests.prove [--scale S] [--seed N] [CASE ...]``
"""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from tests.support.cases import CASES, Result
from tests.support.deployment import Deployment

CASE_TIMEOUT = 400  # seconds


async def run_case(name, seed, scale, subnet, folder):
    """Run a case on its own deployment; one that exceeds the time limit fails."""
    deployment = Deployment(Path(folder), subnet, seed=seed)
    try:
        async with asyncio.timeout(CASE_TIMEOUT):
            return await CASES[name](deployment, seed, scale)
    except TimeoutError as error:
        return Result(False, f"timed out {error}")
    finally:
        deployment.stop()


def main():
    """Run the given cases, or all; exit with status 1 if any fails."""
    parser = argparse.ArgumentParser()
    parser.add_argument("cases", nargs="*", metavar="CASE")
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--subnet", type=int, default=80)
    parser.add_argument("--keep", default="", help="folder to keep logs in")
    options = parser.parse_args()
    failed = 0
    for name in options.cases or CASES:
        started = time.monotonic()
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(options.keep or scratch) / name
            result = asyncio.run(
                run_case(name, options.seed, options.scale, options.subnet, folder)
            )
        failed += not result.passed
        print(
            f"case={name} seed={options.seed} "
            f"result={'pass' if result.passed else 'FAIL'} "
            f"seconds={time.monotonic() - started:.0f} {result.detail}",
            flush=True,
        )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
