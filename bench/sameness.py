"""Random event streams to both forms of the decision module: python -m bench.sameness [--quick].

The streams, plans and comparison are those of tests/test_sameness.py, with other seeds, over all cores. Exit
status 0 only if both forms gave the same actions throughout.
"""

from __future__ import annotations

import argparse
import importlib
import multiprocessing as mp
import sys
import time
from typing import Any

from bench.common import ROOT, report

FIRST_SEED, SEEDS_PER_ROUND = 1_000, 8
SECONDS, QUICK_SECONDS = 120.0, 20.0
PRINTED = 10  # differences at the most


def comparison() -> Any:
    """The module tests/test_sameness.py."""
    sys.path.insert(0, str(ROOT / "tests"))
    return importlib.import_module("test_sameness")


def compare(stream: tuple[str, int]) -> str:
    """Play the stream of a plan's name and a seed; the first difference, or ""."""
    tests = comparison()
    name, seed = stream
    try:
        tests.both(tests.PLANS[name], seed)
    except AssertionError as error:
        return f"{name}, seed {seed}: {str(error).splitlines()[0]}"
    return ""


def compare_all(plans: list[str], seconds: float) -> tuple[int, list[str]]:
    """Play streams of all plans for so long; their number, and the differences found."""
    end = time.monotonic() + seconds
    seed, count = FIRST_SEED, 0
    differences: list[str] = []
    with mp.get_context("spawn").Pool() as pool:
        while time.monotonic() < end:
            streams = [(name, seed + number) for number in range(SEEDS_PER_ROUND) for name in plans]
            seed += SEEDS_PER_ROUND
            for difference in pool.imap_unordered(compare, streams):
                count += 1
                if difference:
                    differences.append(difference)
    return count, differences


def main() -> int:
    """Play, print and report; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m bench.sameness")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    plans = list(comparison().PLANS)
    seconds = options.seconds or (QUICK_SECONDS if options.quick else SECONDS)
    count, differences = compare_all(plans, seconds)
    print(f"  {count} streams of {len(plans)} kinds, {len(differences)} parted")
    for difference in differences[:PRINTED]:
        print(f"  {difference}")
    report({"streams": count, "kinds": plans, "parted": differences}, options.json)
    return 0 if count and not differences else 1


if __name__ == "__main__":
    sys.exit(main())
