"""Ways to choose subsets, compared without sockets: python -m bench.subsets [--quick] [--json FILE].

Many balancers, many upstreams in cells of four: how evenly upstreams are used, what changes when the number
of either does, and what a balancer loses when 22% of the fleet dies at once. Rendezvous hashing over cells
(what is built) beside random subsets of cells and a deterministic aperture over a ring.
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

CELL_SIZE, ZONES = 4, 3
RESTARTED = 20  # balancers that are started a second time
SEED, SUBSET_SEED, SUBSET_SEED_AFTER_RESTART = 7, 1, 2
DYING_SHARE = 0.22

Subsets = list[set[str]]  # of each balancer the names of the upstreams that it uses


def entry(number: int, state: str = "ready") -> io.Endpoint:
    """The upstream of this number as a row of the endpoint list."""
    cell = number // CELL_SIZE
    return io.Endpoint(f"s{number}", f"z{cell % ZONES}", "std", cell, state, 1.0, 0.0)


def listing(complete: bool, *entries: io.Endpoint) -> Listing:
    """A list, or a change of it, with these rows."""
    return Listing(1, complete, entries, (("h", 1),) * len(entries))


def ready_names(subset: Subset) -> set[str]:
    """The upstreams that a balancer with this subset uses."""
    return {name for name, endpoint in subset.announced.items() if endpoint.state == "ready"}


class Fleet(NamedTuple):
    """The sizes of one run. subset_size: upstreams that a balancer uses."""

    balancers: int
    upstreams: int
    subset_size: int

    @property
    def cells(self) -> int:
        """The number of cells."""
        return self.upstreams // CELL_SIZE

    def names_of(self, cell: int) -> set[str]:
        """The upstreams of a cell."""
        return {f"s{cell * CELL_SIZE + place}" for place in range(CELL_SIZE)}

    def aperture(self, balancer: int) -> set[str]:
        """A slice of the ring of cells from the balancer's place among its peers, whom it must know."""
        first = balancer * self.cells // self.balancers
        chosen = [(first + n) % self.cells for n in range(self.subset_size // CELL_SIZE)]
        return {name for cell in chosen for name in self.names_of(cell)}

    def aperture_without(self, balancer: int, dead: set[int]) -> set[str]:
        """The aperture over a ring of the upstreams that are left."""
        left = [number for number in range(self.cells * CELL_SIZE) if number not in dead]
        first = balancer * len(left) // self.balancers
        return {f"s{left[(first + n) % len(left)]}" for n in range(self.subset_size)}

    def random_subset(self, balancer: int, seed: int) -> set[str]:
        """Cells drawn at random."""
        rng = random.Random(f"{balancer}/{seed}")
        cells = rng.sample(range(self.cells), self.subset_size // CELL_SIZE)
        return {name for cell in cells for name in self.names_of(cell)}


def evenness(subsets: Subsets, upstreams: int) -> dict[str, float]:
    """Balancers per upstream: the mean, and relative to it the least, 1st and 99th percentile, and most."""
    counts = Counter(name for subset in subsets for name in subset)
    values = sorted(counts.get(f"s{number}", 0) for number in range(upstreams))
    middle = mean(values)
    return {
        "mean": round(middle, 2),
        "least": round(values[0] / middle, 2),
        "p1": round(quantile(values, 0.01) / middle, 2),
        "p99": round(quantile(values, 0.99) / middle, 2),
        "most": round(values[-1] / middle, 2),
    }


def new_share(before: Subsets, after: Subsets) -> float:
    """Share of the members that are new."""
    new = sum(len(now - then) for then, now in zip(before, after, strict=True))
    return round(new / sum(len(now) for now in after), 4)


class Lists(NamedTuple):
    """What balancers are notified of: the complete list, that 1% is gone, and that 22% is."""

    complete: Listing
    few_gone: Listing
    many_gone: Listing


class History(NamedTuple):
    """What one balancer used: at first, after a restart, with 1% gone, and after 22% died."""

    before: set[str]
    restarted: set[str]
    few_gone: set[str]
    many_gone: set[str]
    first_ms: float  # time for the complete list
    many_gone_ms: float


def history(name: str, size: int, lists: Lists, restart: bool) -> History:
    """Take a balancer of this name through the lists. restart: and once more through the first."""
    subset = Subset(name, size, size // 10)
    begun = time.perf_counter()
    subset.filter(lists.complete)
    first_ms = (time.perf_counter() - begun) * 1000
    before = restarted = ready_names(subset)
    if restart:
        successor = Subset(name, size, size // 10)
        successor.filter(lists.complete)
        restarted = ready_names(successor)
    subset.filter(lists.few_gone)
    few_gone = ready_names(subset)
    begun = time.perf_counter()
    subset.filter(lists.many_gone)
    many_gone_ms = (time.perf_counter() - begun) * 1000
    return History(before, restarted, few_gone, ready_names(subset), first_ms, many_gone_ms)


def new_members(fleet: Fleet, histories: list[History], few: set[int]) -> dict[str, dict[str, float]]:
    """Share of the members that are new after each event, by way of choosing."""
    balancers = range(fleet.balancers)
    before = [one.before for one in histories]
    restarted = histories[:RESTARTED]
    apertures = [fleet.aperture(b) for b in balancers]
    drawn = [fleet.random_subset(b, SUBSET_SEED) for b in balancers]
    drawn_again = [fleet.random_subset(b, SUBSET_SEED_AFTER_RESTART) for b in balancers]
    larger = fleet._replace(balancers=fleet.balancers + 1)
    return {
        # Rendezvous hashing and random choice know of no other balancer.
        "a balancer more": {
            "rendezvous": 0.0,
            "random": 0.0,
            "aperture": new_share(apertures, [larger.aperture(b) for b in balancers]),
        },
        "a restart": {
            "rendezvous": new_share([one.before for one in restarted], [one.restarted for one in restarted]),
            "random": new_share(drawn, drawn_again),
            "aperture": 0.0,
        },
        "1% of the nodos gone": {
            "rendezvous": new_share(before, [one.few_gone for one in histories]),
            "aperture": new_share(apertures, [fleet.aperture_without(b, few) for b in balancers]),
        },
    }


def mass_death(histories: list[History], dead: set[str]) -> dict[str, Any]:
    """What balancers lost when 22% died at once, and what they use after it."""
    lost = sorted(len(one.few_gone & dead) / len(one.few_gone) for one in histories)
    sizes = [len(one.many_gone) for one in histories]
    return {
        "share of its subset lost": [round(lost[0], 3), round(mean(lost), 3), round(lost[-1], 3)],
        "sizes after": [min(sizes), max(sizes)],
        "still told of a dead one": sum(bool(one.many_gone & dead) for one in histories),
        "ms a balancer": round(mean(one.many_gone_ms for one in histories), 2),
    }


def play(fleet: Fleet) -> dict[str, Any]:
    """All figures of one fleet."""
    rng = random.Random(SEED)
    few = rng.sample(range(fleet.upstreams), fleet.upstreams // 100)
    many = rng.sample(range(fleet.upstreams), int(fleet.upstreams * DYING_SHARE))
    lists = Lists(
        listing(True, *(entry(number) for number in range(fleet.upstreams))),
        listing(False, *(entry(number, "gone") for number in few)),
        listing(False, *(entry(number, "gone") for number in many)),
    )
    balancers = range(fleet.balancers)
    histories = [history(f"balancer-{b}", fleet.subset_size, lists, b < RESTARTED) for b in balancers]
    sizes = [len(one.before) for one in histories]
    subsets = {
        "rendezvous": [one.before for one in histories],
        "random": [fleet.random_subset(b, SUBSET_SEED) for b in balancers],
        "aperture": [fleet.aperture(b) for b in balancers],
    }
    return {
        "first list, ms a balancer": round(mean(one.first_ms for one in histories), 2),
        "sizes": [min(sizes), max(sizes)],
        "balancers per nodo": {name: evenness(one, fleet.upstreams) for name, one in subsets.items()},
        "share of members new after": new_members(fleet, histories, set(few)),
        "22% die at once": mass_death(histories, {f"s{number}" for number in many}),
    }


FULL, QUICK = Fleet(1_000, 10_000, 100), Fleet(100, 2_000, 100)


def main() -> int:
    """Measure, print and report; the exit status is 1 where a subset is small or has a dead member."""
    parser = argparse.ArgumentParser(prog="python -m bench.subsets")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    fleet = QUICK if options.quick else FULL
    size = fleet.subset_size
    result = {"balancers": fleet.balancers, "nodos": fleet.upstreams, "size": size, **play(fleet)}
    for name, value in result.items():
        print(f"  {name}: {value}")
    report(result, options.json)
    least, death = result["sizes"][0], result["22% die at once"]
    kept = least >= size and death["sizes after"][0] >= size and not death["still told of a dead one"]
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
