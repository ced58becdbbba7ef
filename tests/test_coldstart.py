"""Balancers that start together: real processes between a list service, upstreams and clients.

Each scenario is played once, by twelve processes or fewer, and holds several of the hard cases. Bounds are
counts, and times that are generous by seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from quartzford.membership.call_policy import seeded_random
from rig.scenario import Scenario, play
from rig.scenario_result import Start
from standins.site import config

UPSTREAM_PLAN = {"nodos": 6, "capacity": 200.0}
SPREAD_INTERVAL_S = (100 - 16) / 50.0  # of a hundred balancers: all but sixteen, at fifty calls a second
TIMER_S = 0.002  # what timers of the event loop are exact to
GUARANTEES = config(1, 1, {})["settings"]["guarantees"]


def played(**options: Any) -> dict[str, Any]:
    result = play(
        Scenario(
            **({"balancers": 10, "upstream_plan": UPSTREAM_PLAN, "rate": 30.0, "seconds": 5.0} | options)
        )
    )
    broken = {name: count for name, count in result["rules"].items() if count}
    assert result["kept"], (broken, result["crashes"])
    return result


def requests_ending(result: dict[str, Any], end: str) -> int:
    return sum(count for name, count in result["ends"].items() if name.endswith(end))


def test_a_small_fleet_starts_at_once_with_one_call_each_though_names_and_seeds_are_alike() -> None:
    result = played(names="one", seconds=2.5)
    assert result["serving"] == 10 and result["calls"] == 10 and result["most_of_one"] == 1
    assert result["for_nobody"] == 0 and requests_ending(result, " served") > 30


def test_everything_cold_at_once() -> None:
    """Balancers, upstreams and the list service, which is down for a second and then has a queue."""
    result = played(cold=True, service={"per_s": 20, "downs": [[0, 1]]})
    assert result["serving"] == 10 and result["cold"]["lives"] == 6
    assert result["answered"] == 10 and result["for_nobody"] == 0
    assert requests_ending(result, " served") > 30


def test_a_service_that_dies_amid_an_answer_and_comes_back_with_versions_begun_anew() -> None:
    """Half of the fleet restarts meanwhile; answers are the complete list, whatever is requested."""
    service = {"per_s": 40, "dies_at": 4, "dead_s": 0.7, "back": True, "always_whole": True}
    result = played(service=service, events="0.5 kill nodes[:5] back 0.1", settings={"nInstances": 40})
    assert result["serving"] == 10
    # One each, one after the outage, one of each that was killed, and some that were refused.
    assert result["answered"] >= 10 and result["calls"] <= 50


def test_half_of_the_fleet_cut_off_from_the_service_and_one_stopped_across_the_release() -> None:
    faults = "0 cut nodes[:5] lists until 2.0"
    events = "0.0 stop nodes[9]\n1.5 cont nodes[9]\n3.0 move nodes[5:9]"
    result = played(faults=faults, events=events, seconds=6.0, known="before")
    assert result["serving"] == 10
    times = result["taken_in_s"]
    # With the list of before they serve without the service; a stopped process can't.
    assert max(times[:9]) < 1.9 and times[9] >= 1.5
    assert result["calls"] >= 14 and requests_ending(result, " served") > 90


def calls_of_each_start(result: dict[str, Any], number: int) -> Iterator[tuple[Start, list[float]]]:
    """A balancer's starts, each with the moments of its calls from its release on, in seconds."""
    starts = [start for start in result["starts"] if start.number == number]
    ends = [*(start.released_s for start in starts[1:]), math.inf]
    for start, end in zip(starts, ends, strict=True):
        calls = [at for at in result["calls_by_balancer"][number] if start.released_s <= at < end]
        yield start, [at - start.released_s for at in calls]


def test_one_that_dies_after_each_start_takes_no_more_than_its_share() -> None:
    """Two loop; the spread interval of a fleet of a hundred is 1.7 s, and they live for one.

    Each start calls once at most, and not before the moment that it has drawn from the whole interval. That
    such draws come to a call in an interval is held over thousands of them in test_call_policy.py: twelve
    starts would show it by chance, as the draws follow from the ports that the system gave.
    """
    events = "0.8 loop nodes[:2] every 1 until 5"
    result = played(events=events, settings={"nInstances": 100}, seconds=6.0)
    assert result["serving"] >= 8
    assert len(result["starts"]) == 8 + 2 * 6
    for number in range(10):
        for start, calls in calls_of_each_start(result, number):
            drawn_s = seeded_random(start.name, start.listen, start.seed).random() * SPREAD_INTERVAL_S
            assert len(calls) <= 1 and all(at >= drawn_s - TIMER_S for at in calls), (start, drawn_s, calls)


def test_turned_away_with_a_time_to_come_back() -> None:
    """Four calls a second for eight: the queue is full after four. An hour is cut to the settings' bound."""
    service = {"per_s": 4, "line": "turns away", "retry_after": "3600"}
    guarantees = {**GUARANTEES, "askEveryMs": 1_500.0}
    result = played(balancers=8, service=service, seconds=4.5, settings={"guarantees": guarantees})
    assert result["turned_away"] > 0 and result["serving"] == 8
