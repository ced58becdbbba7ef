"""Checks the four rules: compares the clients' attempt log with the servers' account. No I/O.

The account holds the events that a stand-in fleet recorded. Registry.account() in standins/registry.py
returns it, and the fleet serves it by HTTP at /books. It is a map with the keys
version;
runs, drains, births: rows of Run, Drain and IncarnationStart;
arrivals: by server, rows of the time at which an attempt reached the server and the server's incarnation;
turned_away;
overlapping: number of runs of a request that started while the client of another run still waited;
window_s: seconds for which a cell drops the repeats of a keyed request.
All times are seconds on the machine's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from quartzford.load.clients import LOST, REFUSED, SERVED, RequestClass

DRAIN_BOUND_S = 0.25  # after a drain is announced, a balancer may still send to the server for this time
DRAIN_TOLERANCE_S = 0.05  # added to the bound for the transfer from the balancer to the server
OVERLOAD_WINDOW_S = 2.0
# A server in slow start that receives more than this multiple of its current capacity is a breach.
OVERLOAD_MULTIPLE = 4.0


class Run(NamedTuple):
    """An attempt that a server ran. dropped: it repeated an earlier request and had no effect."""

    at: float
    attempt_id: str
    request_class: str
    key: str
    cell: int
    dropped: bool


class Drain(NamedTuple):
    """A drain of a server. until: time of its end; None if the server is still draining."""

    server: str
    address: str
    announced_at: float
    until: float | None


class IncarnationStart(NamedTuple):
    """The start of a server's incarnation.

    capacity: requests a second after warm-up. start_share: share of the capacity at the start, which rises
    linearly to 1 within warm_up_s.
    """

    server: str
    incarnation: int
    at: float
    capacity: float
    start_share: float
    warm_up_s: float

    def capacity_at(self, at: float) -> float:
        """Return the capacity of the incarnation at a given time, in requests a second."""
        share = self.start_share + (1 - self.start_share) * max(0.0, at - self.at) / self.warm_up_s
        return self.capacity * min(1.0, share)


def request_id(attempt_id: str) -> str:
    """Return the id of a request: the id of any of its attempts without the attempt's number."""
    return attempt_id.rpartition("-")[0] or attempt_id


def sends_after_drain(
    drains: Sequence[Any],
    sends: Iterable[tuple[str, float]],
    bound_s: float = DRAIN_BOUND_S + DRAIN_TOLERANCE_S,
) -> tuple[int, float]:
    """Return the number of late sends to draining servers, and the delay of the latest send in seconds.

    A send is late if it comes more than bound_s after the drain was announced and before the drain ended.
    The delay is the time since the announcement; all sends to draining servers count, late or not.

    drains: rows of server, announcement time and end time. sends: rows of server and time. A server may be
    given by its address if both drains and sends do so.
    """
    drain_spans: dict[str, list[tuple[float, float]]] = {}
    for server, announced_at, until in drains:
        drain_spans.setdefault(server, []).append((announced_at, float("inf") if until is None else until))
    count, latest_delay_s = 0, 0.0
    for server, at in sends:
        for announced_at, until in drain_spans.get(server, ()):
            if announced_at < at < until:
                latest_delay_s = max(latest_delay_s, at - announced_at)
                count += at - announced_at > bound_s
    return count, latest_delay_s


def slow_start_breaches(
    births: Iterable[Any],
    arrivals: dict[str, Any],
    window_s: float = OVERLOAD_WINDOW_S,
    max_multiple: float = OVERLOAD_MULTIPLE,
) -> dict[str, float]:
    """Return how many incarnations were overloaded during slow start.

    births: rows of IncarnationStart. arrivals: by server, rows of time and incarnation, in order of time.
    Keys of the result: lives: number of incarnations; over: number of those that received more than
    max_multiple times their capacity in some window of window_s; worst_multiple: the highest multiple.
    """
    count, overloaded, worst = 0, 0, 0.0
    for start in (IncarnationStart(*row) for row in births):
        multiple = _worst_multiple(start, arrivals.get(start.server, ()), window_s)
        count += 1
        overloaded += multiple > max_multiple
        worst = max(worst, multiple)
    return {"lives": count, "worst_multiple": round(worst, 2), "over": overloaded}


def _worst_multiple(start: IncarnationStart, arrivals: Iterable[Any], window_s: float) -> float:
    """Return the highest number of arrivals in a window, as a multiple of the capacity in that window."""
    times = [
        at
        for at, incarnation in arrivals
        if incarnation == start.incarnation and at - start.at < start.warm_up_s
    ]
    worst, first = 0.0, 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        servable = start.capacity_at(at - window_s / 2) * window_s
        worst = max(worst, (last - first + 1) / servable)
    return worst


def effects_twice(runs: Iterable[Any], request_classes: dict[str, RequestClass], window_s: float) -> int:
    """Return the number of keyed requests that took effect more than once.

    Only classes whose group is a cell are counted. runs: rows of Run in order of time. window_s: seconds
    after a run during which its cell drops repeats of the request; a repeat there has no effect.
    """
    effects: dict[str, list[Run]] = {}
    for run in (Run(*row) for row in runs):
        request_class = request_classes.get(run.request_class)
        if request_class is None or not _is_deduplicated_in_cell(request_class) or not run.key:
            continue
        effective_runs = effects.setdefault(run.key, [])
        if not any(one.cell == run.cell and run.at - one.at <= window_s for one in effective_runs):
            effective_runs.append(run)
    return sum(len(runs_with_effect) > 1 for runs_with_effect in effects.values())


def _is_deduplicated_in_cell(request_class: RequestClass) -> bool:
    return request_class.effect == "keyed" and request_class.group != "all"


def check_rules(
    account: dict[str, Any],
    attempts: Sequence[Sequence[str]],
    request_classes: Iterable[RequestClass],
    unexpected_responses: int = 0,
) -> dict[str, Any]:
    """Return the verdict: in "rules" the number of breaches of each rule, in "kept" whether all are 0.

    attempts: rows of AttemptLogEntry for all attempts. unexpected_responses: number of responses that no
    attempt waited for.
    """
    classes_by_name = {one.name: one for one in request_classes}
    announcements = [(one.server, one.announced_at, one.until) for one in _drains(account)]
    late_sends, latest_delay_s = sends_after_drain(announcements, _sends(account))
    slow_start = slow_start_breaches(account["births"], account["arrivals"])
    rules = {
        **_response_breaches(account, attempts, classes_by_name, unexpected_responses),
        "unsafe requests run twice": _unsafe_run_twice(account, classes_by_name),
        "keyed requests with two effects": effects_twice(
            account["runs"], classes_by_name, account["window_s"]
        ),
        "two attempts of one request at once": account["overlapping"],
        "drain breaches": late_sends,
        "cold breaches": slow_start["over"],
    }
    return {
        "rules": rules,
        "kept": not any(rules.values()),
        "latest_send_after_drain_ms": round(latest_delay_s * 1000, 1),
        "cold": slow_start,
        "drains": len(account["drains"]),
        "runs": len(account["runs"]),
        "turned_away": account["turned_away"],
    }


def _drains(account: dict[str, Any]) -> list[Drain]:
    return [Drain(*row) for row in account["drains"]]


def _sends(account: dict[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield the server and the time of each attempt that reached a server."""
    for server, rows in account["arrivals"].items():
        for at, _ in rows:
            yield server, at


def _response_breaches(
    account: dict[str, Any],
    attempts: Sequence[Sequence[str]],
    classes_by_name: dict[str, RequestClass],
    unexpected_responses: int,
) -> dict[str, int]:
    """Return the numbers of missing, surplus and wrong responses.

    A response is wrong if the attempt was served and no server ran it, or if the attempt was refused, a
    server ran it and its request may not be repeated.
    """
    runs = Counter(attempt_id for _, attempt_id, *_ in account["runs"])
    non_repeatable = {name for name, one in classes_by_name.items() if not one.may_repeat}
    return {
        "lost: no whole answer": sum(outcome == LOST for _, _, outcome in attempts),
        "answered twice": unexpected_responses,
        "served but run by nobody": sum(
            outcome == SERVED and not runs[attempt_id] for attempt_id, _, outcome in attempts
        ),
        "refused though it ran": sum(
            outcome == REFUSED and runs[attempt_id] > 0 and name in non_repeatable
            for attempt_id, name, outcome in attempts
        ),
    }


def _unsafe_run_twice(account: dict[str, Any], classes_by_name: dict[str, RequestClass]) -> int:
    unsafe = {name for name, one in classes_by_name.items() if one.effect == "unsafe"}
    runs = Counter(request_id(attempt_id) for _, attempt_id, name, *_ in account["runs"] if name in unsafe)
    return sum(count > 1 for count in runs.values())
