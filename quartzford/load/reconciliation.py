"""Checks the four rules by what clients and servers saw: the attempt log against the account. No I/O.

An account is what a stand-in fleet saw, as Registry.account() in standins/registry.py gives it, or /books by
HTTP. It is a map: version; runs, drains and births, in rows as described below; arrivals: by server, rows of
when an attempt reached it and in which incarnation; turned_away; overlapping: attempts of one request that
ran at the same time; window_s: for so long a cell drops the repeats of a keyed request. Times are in seconds
on the machine's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from quartzford.load.clients import LOST, REFUSED, SERVED, RequestClass

DRAIN_BOUND_S = 0.25  # after a drain was announced, a balancer may send there for so long
DRAIN_TOLERANCE_S = 0.05  # for the way from the balancer to the server
OVERLOAD_WINDOW_S = 2.0
OVERLOAD_MULTIPLE = 4.0  # of what a server in slow start is able to serve: more is a breach


class Run(NamedTuple):
    """A request that a server ran. dropped: it was a repeat and had no effect."""

    at: float
    attempt_id: str
    request_class: str
    key: str
    cell: int
    dropped: bool


class Drain(NamedTuple):
    """A server that was draining. until: when that ended; None: it has not."""

    server: str
    address: str
    announced_at: float
    until: float | None


class Birth(NamedTuple):
    """The start of an incarnation. start_share: of its capacity, which grows to the whole in warm_up_s."""

    server: str
    incarnation: int
    at: float
    capacity: float
    start_share: float
    warm_up_s: float

    def capacity_at(self, at: float) -> float:
        """Return the requests a second that it is able to serve at a moment."""
        share = self.start_share + (1 - self.start_share) * max(0.0, at - self.at) / self.warm_up_s
        return self.capacity * min(1.0, share)


def request_id(attempt_id: str) -> str:
    """Return the id of a client's request: that of any of its attempts without the attempt's number."""
    return attempt_id.rpartition("-")[0] or attempt_id


def sends_after_drain(
    drains: Sequence[Any],
    sends: Iterable[tuple[str, float]],
    bound_s: float = DRAIN_BOUND_S + DRAIN_TOLERANCE_S,
) -> tuple[int, float]:
    """Count the sends to servers that drained, later than the bound after their drain was announced.

    drains: server (or address, if the sends name it), announced at, until. sends: server, at. Returns their
    number, and how long after the announcement the latest of all sends to a draining server was, in seconds.
    """
    spans: dict[str, list[tuple[float, float]]] = {}
    for server, announced_at, until in drains:
        spans.setdefault(server, []).append((announced_at, float("inf") if until is None else until))
    count, latest = 0, 0.0
    for server, at in sends:
        for announced_at, until in spans.get(server, ()):
            if announced_at < at < until:
                latest = max(latest, at - announced_at)
                count += at - announced_at > bound_s
    return count, latest


def slow_start_breaches(
    births: Iterable[Any],
    arrivals: dict[str, Any],
    window_s: float = OVERLOAD_WINDOW_S,
    max_multiple: float = OVERLOAD_MULTIPLE,
) -> dict[str, float]:
    """Count incarnations in slow start that were sent more than a multiple of what they were able to serve.

    births: rows of Birth. arrivals: by server, rows of moment and incarnation, in order. Returns lives:
    incarnations; over: those sent more than max_multiple times what they were able to serve, in any window;
    worst_multiple.
    """
    count, over, worst = 0, 0, 0.0
    for birth in (Birth(*row) for row in births):
        multiple = _worst_multiple(birth, arrivals.get(birth.server, ()), window_s)
        count += 1
        over += multiple > max_multiple
        worst = max(worst, multiple)
    return {"lives": count, "worst_multiple": round(worst, 2), "over": over}


def _worst_multiple(birth: Birth, arrivals: Iterable[Any], window_s: float) -> float:
    """Return the most arrivals in a window, as a multiple of what the incarnation was able to serve in it."""
    times = [
        at
        for at, incarnation in arrivals
        if incarnation == birth.incarnation and at - birth.at < birth.warm_up_s
    ]
    worst, first = 0.0, 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        able = birth.capacity_at(at - window_s / 2) * window_s
        worst = max(worst, (last - first + 1) / able)
    return worst


def effects_twice(runs: Iterable[Any], request_classes: dict[str, RequestClass], window_s: float) -> int:
    """Count requests of keyed classes that took effect twice, for the classes whose group is a cell.

    runs: rows of Run in order. window_s: for so long after a run its cell drops the request's repeats.
    """
    effects: dict[str, list[Run]] = {}
    for run in (Run(*row) for row in runs):
        request_class = request_classes.get(run.request_class)
        if request_class is None or not _dropped_in_cell(request_class) or not run.key:
            continue
        earlier = effects.setdefault(run.key, [])
        if not any(one.cell == run.cell and run.at - one.at <= window_s for one in earlier):
            earlier.append(run)
    return sum(len(runs_with_effect) > 1 for runs_with_effect in effects.values())


def _dropped_in_cell(request_class: RequestClass) -> bool:
    return request_class.effect == "keyed" and request_class.group != "all"


def check_rules(
    account: dict[str, Any],
    attempts: Sequence[Sequence[str]],
    request_classes: Iterable[RequestClass],
    unexpected_responses: int = 0,
) -> dict[str, Any]:
    """Count the breaches of each rule, 0 if it was kept, and say in "kept" whether all were.

    attempts: rows of AttemptLogEntry, of all attempts. unexpected_responses: that no attempt waited for.
    """
    known = {one.name: one for one in request_classes}
    announcements = [(one.server, one.announced_at, one.until) for one in _drains(account)]
    late_sends, latest_s = sends_after_drain(announcements, _sends(account))
    slow_start = slow_start_breaches(account["births"], account["arrivals"])
    rules = {
        **_response_breaches(account, attempts, known, unexpected_responses),
        "unsafe requests run twice": _unsafe_run_twice(account, known),
        "keyed requests with two effects": effects_twice(account["runs"], known, account["window_s"]),
        "two attempts of one request at once": account["overlapping"],
        "drain breaches": late_sends,
        "cold breaches": slow_start["over"],
    }
    return {
        "rules": rules,
        "kept": not any(rules.values()),
        "latest_send_after_drain_ms": round(latest_s * 1000, 1),
        "cold": slow_start,
        "drains": len(account["drains"]),
        "runs": len(account["runs"]),
        "turned_away": account["turned_away"],
    }


def _drains(account: dict[str, Any]) -> list[Drain]:
    return [Drain(*row) for row in account["drains"]]


def _sends(account: dict[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield server and moment of each attempt that reached a server."""
    for server, rows in account["arrivals"].items():
        for at, _ in rows:
            yield server, at


def _response_breaches(
    account: dict[str, Any],
    attempts: Sequence[Sequence[str]],
    known: dict[str, RequestClass],
    unexpected_responses: int,
) -> dict[str, int]:
    """Count responses that are missing, are too many, or don't agree with what the servers ran."""
    runs = Counter(attempt_id for _, attempt_id, *_ in account["runs"])
    run_once = {name for name, one in known.items() if not one.may_repeat}
    return {
        "lost: no whole answer": sum(outcome == LOST for _, _, outcome in attempts),
        "answered twice": unexpected_responses,
        "served but run by nobody": sum(
            outcome == SERVED and not runs[attempt_id] for attempt_id, _, outcome in attempts
        ),
        "refused though it ran": sum(
            outcome == REFUSED and runs[attempt_id] > 0 and name in run_once
            for attempt_id, name, outcome in attempts
        ),
    }


def _unsafe_run_twice(account: dict[str, Any], known: dict[str, RequestClass]) -> int:
    unsafe = {name for name, one in known.items() if one.effect == "unsafe"}
    runs = Counter(request_id(attempt_id) for _, attempt_id, name, *_ in account["runs"] if name in unsafe)
    return sum(count > 1 for count in runs.values())
