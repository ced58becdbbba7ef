"""Subsets compared, without sockets: python -m bench.subsets [--quick] [--json FILE].

Many balancers, many nodos in grupos of four: how evenly nodos are used, what changes when either side does,
and what a balancer loses when 22% of the fleet dies at once. Rendezvous hashing over grupos (what is built)
beside random subsets of grupos and a deterministic aperture over a ring.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import Counter
from statistics import mean
from typing import Any, NamedTuple

from bench.common import quantile, report
from quartzford.decision import interface as io
from quartzford.membership.listing import Listing
from quartzford.membership.subset import Subset

PER_CELL, ZONES = 4, 3


def entry(number: int, state: str = "ready") -> io.Endpoint:
    cell = number // PER_CELL
    return io.Endpoint(f"s{number}", f"z{cell % ZONES}", "std", cell, state, 1.0, 0.0)


def listing(complete: bool, *entries: io.Endpoint) -> Listing:
    return Listing(1, complete, entries, (("h", 1),) * len(entries))


def used(subset: Subset) -> set[str]:
    return {name for name, e in subset.announced.items() if e.state == "ready"}


def aperture(balancer: int, balancers: int, nodos: int, size: int) -> set[str]:
    """A slice of the ring of grupos from where the balancer stands among its peers, whom it must know."""
    cells = nodos // PER_CELL
    first = balancer * cells // balancers
    return {
        f"s{(first + n) % cells * PER_CELL + k}" for n in range(size // PER_CELL) for k in range(PER_CELL)
    }


def at_random(balancer: int, nodos: int, size: int, seed: int) -> set[str]:
    cells = random.Random(f"{balancer}/{seed}").sample(range(nodos // PER_CELL), size // PER_CELL)
    return {f"s{cell * PER_CELL + k}" for cell in cells for k in range(PER_CELL)}


def evenness(sets: list[set[str]], nodos: int) -> dict[str, float]:
    """Balancers per nodo: of the mean, the least, the 1st and 99th percentile, the most."""
    counts = Counter(name for one in sets for name in one)
    values = sorted(counts.get(f"s{n}", 0) for n in range(nodos))
    middle = mean(values)
    return {
        "mean": round(middle, 2),
        "least": round(values[0] / middle, 2),
        "p1": round(quantile(values, 0.01) / middle, 2),
        "p99": round(quantile(values, 0.99) / middle, 2),
        "most": round(values[-1] / middle, 2),
    }


def moved(before: list[set[str]], after: list[set[str]]) -> float:
    """Share of the members that are new."""
    new = sum(len(b - a) for a, b in zip(before, after, strict=True))
    return round(new / sum(len(b) for b in after), 4)


class Life(NamedTuple):
    """What one balancer used: at first, after a restart, with 1% gone, and after 22% died."""

    before: set[str]
    again: set[str]
    after: set[str]
    healed: set[str]
    first_ms: float
    heal_ms: float


def live(name: str, size: int, complete: Listing, few: Listing, many: Listing, restart: bool) -> Life:
    subset = Subset(name, size, size // 10)
    begun = time.perf_counter()
    subset.filter(complete)
    first_ms, before = (time.perf_counter() - begun) * 1000, used(subset)
    again = before
    if restart:
        other = Subset(name, size, size // 10)
        other.filter(complete)
        again = used(other)
    subset.filter(few)
    after = used(subset)
    begun = time.perf_counter()
    subset.filter(many)
    return Life(before, again, after, used(subset), first_ms, (time.perf_counter() - begun) * 1000)


def play(balancers: int, nodos: int, size: int) -> dict[str, Any]:
    rng = random.Random(7)
    few, many = rng.sample(range(nodos), nodos // 100), rng.sample(range(nodos), int(nodos * 0.22))
    complete = listing(True, *(entry(n) for n in range(nodos)))
    some = listing(False, *(entry(n, "gone") for n in few))
    dead = listing(False, *(entry(n, "gone") for n in many))
    lives = [live(f"balancer-{b}", size, complete, some, dead, b < 20) for b in range(balancers)]
    before = [one.before for one in lives]
    rings = [aperture(b, balancers, nodos, size) for b in range(balancers)]
    shuffled = [at_random(b, nodos, size, 1) for b in range(balancers)]
    names, gone = {f"s{n}" for n in many}, set(few)
    closed = [closed_up(b, balancers, nodos, size, gone) for b in range(balancers)]
    lost = sorted(len(one.after & names) / len(one.after) for one in lives)
    sets = {"rendezvous": before, "random": shuffled, "aperture": rings}
    return {
        "first list, ms a balancer": round(mean(one.first_ms for one in lives), 2),
        "sizes": [min(map(len, before)), max(map(len, before))],
        "balancers per nodo": {name: evenness(one, nodos) for name, one in sets.items()},
        "share of members new after": {
            # Rendezvous and random choice know of no other balancer.
            "a balancer more": {
                "rendezvous": 0.0,
                "random": 0.0,
                "aperture": moved(rings, [aperture(b, balancers + 1, nodos, size) for b in range(balancers)]),
            },
            "a restart": {
                "rendezvous": moved([one.before for one in lives[:20]], [one.again for one in lives[:20]]),
                "random": moved(shuffled, [at_random(b, nodos, size, 2) for b in range(balancers)]),
                "aperture": 0.0,
            },
            "1% of the nodos gone": {
                "rendezvous": moved(before, [one.after for one in lives]),
                "aperture": moved(rings, closed),
            },
        },
        "22% die at once": {
            "share of its subset lost": [round(lost[0], 3), round(mean(lost), 3), round(lost[-1], 3)],
            "sizes after": [min(len(one.healed) for one in lives), max(len(one.healed) for one in lives)],
            "still told of a dead one": sum(bool(one.healed & names) for one in lives),
            "ms a balancer": round(mean(one.heal_ms for one in lives), 2),
        },
    }


def closed_up(balancer: int, balancers: int, nodos: int, size: int, dead: set[int]) -> set[str]:
    """The aperture over a ring of what is left."""
    cells = [
        c for c in range(nodos // PER_CELL) if any(c * PER_CELL + k not in dead for k in range(PER_CELL))
    ]
    left = [n for c in cells for n in range(c * PER_CELL, (c + 1) * PER_CELL) if n not in dead]
    first = balancer * len(left) // balancers
    return {f"s{left[(first + n) % len(left)]}" for n in range(size)}


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.subsets")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    balancers, nodos, size = (100, 2_000, 100) if options.quick else (1_000, 10_000, 100)
    result = {"balancers": balancers, "nodos": nodos, "size": size, **play(balancers, nodos, size)}
    for name, value in result.items():
        print(f"  {name}: {value}")
    report(result, options.json)
    least, dead = result["sizes"][0], result["22% die at once"]
    return (
        0 if least >= size and dead["sizes after"][0] >= size and not dead["still told of a dead one"] else 1
    )


if __name__ == "__main__":
    sys.exit(main())
