"""What a scale run's events came to: notification times, bytes, calls and processor time of each role."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from bench.common import quantile
from quartzford.load.record import quantile_ms
from rig.meter import Counts, MeterLog, VersionTime
from rig.relays import relay_address
from rig.scale import Notification, ObservedEvent, Sample
from rig.scale_plan import FIRST_VERSION, ScaleEventKind, ScalePlan

Times = list[float | None]  # in seconds; None: it never happened
RELAY_ADDRESSES = "127.11"
BALANCER_ADDRESSES = ("127.10", "127.0")  # hollow balancers have addresses of their own
assert relay_address(0).startswith(RELAY_ADDRESSES)


class PerBalancer(NamedTuple):
    """Calls and bytes of one balancer on average."""

    calls: float
    bytes_in: float
    bytes_out: float


class Pair(NamedTuple):
    """A figure of hollow balancers, and the same of real ones."""

    hollow: float
    real: float

    def as_row(self) -> dict[str, float | None]:
        """Return both and their ratio, for JSON; no ratio where the real figure is 0."""
        return {
            "hollow": round(self.hollow, 3),
            "real": round(self.real, 3),
            "ratio": round(self.hollow / self.real, 3) if self.real else None,
        }


def first_at(versions: Sequence[tuple[float, int]], version: int, since: float = 0.0) -> float | None:
    """Return when this version, or a later one, came; None if it did not."""
    return min((at for at, found in versions if found >= version and at >= since), default=None)


def spread(times: Sequence[float | None]) -> dict[str, Any]:
    """Return p50, p99 and last in seconds, and for how many it never happened."""
    known = [time for time in times if time is not None]
    return {
        "p50_s": round(quantile(known, 0.5), 4),
        "p99_s": round(quantile(known, 0.99), 4),
        "last_s": round(max(known, default=0.0), 4),
        "missing": len(times) - len(known),
        "of": len(times),
    }


def _times_since(
    notified: Sequence[Notification], versions: Sequence[VersionTime], first: float | None
) -> Times:
    """Return seconds from each change to its version, for a balancer that first had the list at `first`.

    Changes from before that are left out.
    """
    times: Times = []
    for version, at in notified:
        if version == FIRST_VERSION or (first is not None and first < at):
            found = first_at(versions, version)
            times.append(None if found is None else max(0.0, found - at))
    return times


class ScaleReport:
    """A scale run's result, by event."""

    def __init__(self, result: dict[str, Any]) -> None:
        self.result = result
        self.plan: ScalePlan = result["plan"]
        self.began: float = result["began"]
        self.observed: list[ObservedEvent] = result["observed"]
        self.meter_logs: list[MeterLog] = result["meter_logs"]
        self.first_list_at = self._first_list_at()
        self.idle_bytes_s = self._idle_bytes_s()

    def _first_list_at(self) -> Times:
        """Return when each hollow balancer first had the list in force."""
        first: Times = [None] * self.plan.hollow
        for observed in self.observed:
            for number, versions in enumerate(observed.after.hollow.applied):
                if first[number] is None:
                    first[number] = first_at(versions, FIRST_VERSION)
        return first

    def _idle_bytes_s(self) -> float:
        """Return the bytes per second that a hollow balancer receives while nothing happens."""
        for observed in self.observed:
            if observed.event.what == ScaleEventKind.QUIET and observed.event.at > 0:
                grown = grown_by(observed.before, observed.after)
                seconds = observed.after.at - observed.before.at
                return sum(one.bytes_in for one in grown) / max(1, len(grown)) / seconds
        return 0.0

    # ---- times of one event

    def notified(self, observed: ObservedEvent) -> Sequence[Notification]:
        """Return the changes of an event; at the start, the list itself."""
        if observed.event.at == 0 and not observed.notified:
            return [Notification(FIRST_VERSION, self.began)]
        return observed.notified

    def hollow_times(self, observed: ObservedEvent, received: bool = False) -> Times:
        """Return seconds from a change until in force, or received, for hollow balancers that had a list.

        For those that were cut off, they count from the end of the cut.
        """
        reading = observed.after.hollow
        times: Times = []
        cut = self.plan.hollow // 3 if observed.event.what == ScaleEventKind.CUT else 0
        for version, at in self.notified(observed):
            for number, versions in enumerate(reading.received if received else reading.applied):
                first = self.first_list_at[number]
                since = observed.restored_at if number < cut else at
                if version == FIRST_VERSION or (first is not None and first < at):
                    found = first_at(versions, version)
                    times.append(None if found is None else max(0.0, found - since))
        return times

    def real_times(self, observed: ObservedEvent) -> Times:
        """Return seconds from a change until in force for real balancers."""
        times: Times = []
        for log in self.meter_logs:
            versions = [row for row in log.applied if row.at <= observed.after.at]
            times += _times_since(self.notified(observed), versions, first_at(versions, FIRST_VERSION))
        return times

    def lone_times(self, observed: ObservedEvent) -> Times:
        """Return seconds until in force for the hollow balancer that has a process of its own."""
        if observed.after.lone is None:
            return []
        applied = [one.after.lone.applied[0] for one in self.observed if one.after.lone is not None]
        first = min((at for versions in applied if (at := first_at(versions, FIRST_VERSION))), default=None)
        return _times_since(self.notified(observed), observed.after.lone.applied[0], first)

    # ---- counts of one event

    def real_counts(self, before: float, after: float) -> PerBalancer:
        """Return what a real balancer did on average between two times."""
        rows = [(log.counts_at(before), log.counts_at(after)) for log in self.meter_logs]
        return _average([_difference(earlier, later) for earlier, later in rows], len(rows))

    def hollow_counts(self, before: Sample, after: Sample) -> PerBalancer:
        """Return what a hollow balancer did on average between two samples."""
        return _average(grown_by(before, after), self.plan.hollow)

    def requests(self, observed: ObservedEvent) -> dict[str, Any]:
        """Return what became of the requests due in an event's time."""
        event = observed.event
        steps: Counter[int] = Counter()
        unserved: Counter[str] = Counter()
        for second in range(int(event.at), int(event.at + event.window)):
            steps.update({int(step): n for step, n in self.result["steps"].get(second, {}).items()})
            unserved.update(self.result["unserved"].get(second, {}))
        return {
            "served": sum(steps.values()),
            "unserved": dict(unserved),
            "p50_ms": quantile_ms(steps, 0.5),
            "p99_ms": quantile_ms(steps, 0.99),
        }

    def source_calls(self, observed: ObservedEvent, since: float | None = None) -> dict[str, int]:
        """Return the calls at the list service in an event's time, by who made them."""
        begin = observed.before.at if since is None else since
        calls = Counter(
            "relays" if caller.startswith(RELAY_ADDRESSES) else "balancers"
            for at, caller, _ in self.result["source_calls"]
            if begin <= at < observed.after.at
        )
        return {"relays": calls["relays"], "balancers": calls["balancers"]}

    def bytes_over_change(self, observed: ObservedEvent, bytes_in: float) -> float | None:
        """Return the bytes that a balancer received, without its idle ones, over the bytes of the change.

        The latter are what the same change took while nothing else happened, where the run has that: who
        passes it on may write it shorter than the list service does. None where nothing changed.
        """
        if not observed.notified_bytes:
            return None
        usual = observed.notified_bytes
        for other in self.observed:
            event = other.event
            same = (event.rows, event.gone) == (observed.event.rows, observed.event.gone)
            if event.what == ScaleEventKind.CHANGE and same:
                grown = grown_by(other.before, other.after)
                usual = self._change_bytes(other, sum(one.bytes_in for one in grown) / self.plan.hollow)
        return round(self._change_bytes(observed, bytes_in) / usual, 3)

    def _change_bytes(self, observed: ObservedEvent, bytes_in: float) -> int:
        seconds = observed.after.at - observed.before.at
        return max(1, round(bytes_in - self.idle_bytes_s * seconds))

    # ---- all of one event

    def event(self, observed: ObservedEvent) -> dict[str, Any]:
        """Return all figures of one event, for JSON."""
        before, after = observed.before, observed.after
        cpu = {role: round(after.cpu[role] - before.cpu[role], 3) for role in after.cpu}
        hollow = _average(grown_by(before, after), max(1, self.plan.hollow))
        return {
            "event": observed.event.name,
            "what": observed.event.what,
            "seconds": round(after.at - before.at, 2),
            **self._event_times(observed),
            "hollow_each": self._hollow_row(after, hollow, cpu),
            "real_each": self._real_row(observed, cpu),
            "source": self._source_row(observed, cpu),
            "cpu_s": cpu,
            "memory_mb": after.memory_mb,
            "relay_peak_mb": round(after.relay_peak_mb, 1),
            "bytes_over_change": self.bytes_over_change(observed, hollow.bytes_in),
            "hollow_stall_s": after.hollow.stall_s,
            "requests": self.requests(observed),
        }

    def _event_times(self, observed: ObservedEvent) -> dict[str, Any]:
        first = [None if at is None else at - self.began for at in self.first_list_at]
        return {
            "hollow": spread(self.hollow_times(observed)),
            "real": spread(self.real_times(observed)),
            "hollow_heard": spread(self.hollow_times(observed, received=True)),
            "hollow_lone": spread(self.lone_times(observed)),
            "first_list": spread(first) if observed.event.at == 0 else None,
        }

    def _hollow_row(self, after: Sample, each: PerBalancer, cpu: dict[str, float]) -> dict[str, float]:
        hollow = max(1, self.plan.hollow)
        lines = sum(len(versions) for versions in after.hollow.received)
        return {
            "calls": round(each.calls, 3),
            "lines": round(lines / hollow, 3),
            "bytes_in": round(each.bytes_in, 1),
            "bytes_out": round(each.bytes_out, 1),
            "cpu_ms": round(1000 * cpu["hollow"] / hollow, 3),
        }

    def _real_row(self, observed: ObservedEvent, cpu: dict[str, float]) -> dict[str, float]:
        each = self.real_counts(observed.before.at, observed.after.at)
        idle = max(1, self.plan.idle)
        return {
            "calls": round(each.calls, 3),
            "bytes_in": round(each.bytes_in, 1),
            "bytes_out": round(each.bytes_out, 1),
            "cpu_ms_idle": round(1000 * cpu["real idle"] / idle, 1),
        }

    def _source_row(self, observed: ObservedEvent, cpu: dict[str, float]) -> dict[str, Any]:
        before, after, restored_at = observed.before.source, observed.after.source, observed.restored_at
        return {
            "calls": self.source_calls(observed),
            "cpu_s": cpu["source"],
            "bytes": by_role(before["bytes"], after["bytes"]),
            "lines": by_role(before["lines"], after["lines"]),
            "calls_after_return": self.source_calls(observed, restored_at) if restored_at else None,
        }

    # ---- real against hollow

    def agreement(self) -> dict[str, Any]:
        """Compare hollow with real balancers: calls, bytes, time; processor time of those without requests.

        Up to a cut, which is of hollow ones alone. Nothing where there are none of one kind.
        """
        if len(self.observed) < 2 or not self.plan.idle or not self.plan.hollow:
            return {}
        before, after = self.observed[1].before, self._last_before_cut().after
        pairs = self._count_pairs(before, after) | self._time_pairs() | self._cpu_pairs(before, after)
        return {name: pair.as_row() for name, pair in pairs.items()}

    def _last_before_cut(self) -> ObservedEvent:
        cuts = [n for n, one in enumerate(self.observed) if one.event.what == ScaleEventKind.CUT]
        return self.observed[min(cuts, default=len(self.observed)) - 1]

    def _count_pairs(self, before: Sample, after: Sample) -> dict[str, Pair]:
        hollow, real = self.hollow_counts(before, after), self.real_counts(before.at, after.at)
        hollow_all = _average(after.hollow.counts, self.plan.hollow)
        real_all = self.real_counts(0.0, after.at)
        return {
            "calls, all": Pair(hollow_all.calls, real_all.calls),
            "bytes in, all": Pair(hollow_all.bytes_in, real_all.bytes_in),
            "bytes out, all": Pair(hollow_all.bytes_out, real_all.bytes_out),
            "bytes in, after the start": Pair(hollow.bytes_in, real.bytes_in),
        }

    def _time_pairs(self) -> dict[str, Pair]:
        changes = [one for one in self.observed if one.event.what == ScaleEventKind.CHANGE]
        hollow, real, lone = (
            1000 * quantile([t for one in changes for t in times_of(one) if t is not None], 0.5)
            for times_of in (self.hollow_times, self.real_times, self.lone_times)
        )
        return {
            "change in force, p50 ms": Pair(hollow, real),
            "change in force, p50 ms, one hollow in a process": Pair(lone, real),
        }

    def _cpu_pairs(self, before: Sample, after: Sample) -> dict[str, Pair]:
        spent_ms = {role: 1000 * (after.cpu[role] - before.cpu[role]) for role in after.cpu}
        idle_ms = spent_ms["real idle"] / self.plan.idle
        return {
            "processor ms, after the start": Pair(spent_ms["hollow"] / self.plan.hollow, idle_ms),
            "processor ms, one hollow in a process": Pair(spent_ms["hollow lone"], idle_ms),
        }

    def summary(self) -> dict[str, Any]:
        """Return the complete run, for JSON."""
        return {
            "real": self.plan.real,
            "hollow": self.plan.hollow,
            "rows": self.plan.rows,
            "relays": self.plan.relays,
            "share": self.plan.share,
            "rate": self.plan.rate,
            "rules": {name: n for name, n in self.result["rules"].items() if n},
            "kept": self.result["kept"],
            "crashes": self.result["crashes"],
            "ends": self.result["ends"],
            "rest_bytes_s": round(self.idle_bytes_s, 1),
            "real_memory_mb": self.result["memory_mb"],
            "events": [self.event(observed) for observed in self.observed],
            "agreement": self.agreement(),
        }


def _difference(before: Counts, after: Counts) -> Counts:
    return Counts(*(later - earlier for earlier, later in zip(before, after, strict=True)))


def _average(counts: Sequence[Counts], balancers: int) -> PerBalancer:
    """Return the sums of counts over so many balancers, or over one if there are none."""
    number = max(1, balancers)
    return PerBalancer(
        sum(one.calls for one in counts) / number,
        sum(one.bytes_in for one in counts) / number,
        sum(one.bytes_out for one in counts) / number,
    )


def grown_by(before: Sample, after: Sample) -> list[Counts]:
    """Return how much the counts of each hollow balancer grew between two samples."""
    pairs = zip(before.hollow.counts, after.hollow.counts, strict=True)
    return [_difference(earlier, later) for earlier, later in pairs]


def by_role(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """Return what counts by the first half of the callers' addresses grew by, under the roles' names."""
    prefixes_by_role = {"relays": (RELAY_ADDRESSES,), "balancers": BALANCER_ADDRESSES}
    return {
        role: sum(after.get(prefix, 0) - before.get(prefix, 0) for prefix in prefixes)
        for role, prefixes in prefixes_by_role.items()
    }
