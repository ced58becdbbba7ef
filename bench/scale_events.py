"""What a scale run's events came to: times until in force, bytes, calls and processor time of each role."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from bench.common import quantile
from quartzford.load.record import quantile_ms
from rig.relays import relay_address
from rig.scale import FIRST_VERSION, ObservedEvent, Sample, ScalePlan

Moments = list[tuple[float, int]]  # when, which version
RELAYS = "127.11"
BALANCERS = ("127.10", "127.0")  # hollow ones have addresses of their own
assert relay_address(0).startswith(RELAYS)


def first_at(moments: Moments, version: int, since: float = 0.0) -> float | None:
    """When this version, or a later one, came; None if it did not."""
    return min((at for at, found in moments if found >= version and at >= since), default=None)


def spread(times: Sequence[float | None]) -> dict[str, Any]:
    """p50, p99 and last in seconds, and for how many it never came."""
    came = [time for time in times if time is not None]
    return {
        "p50_s": round(quantile(came, 0.5), 4),
        "p99_s": round(quantile(came, 0.99), 4),
        "last_s": round(max(came, default=0.0), 4),
        "missing": len(times) - len(came),
        "of": len(times),
    }


class ScaleReport:
    """A scale run's result, by event."""

    def __init__(self, result: dict[str, Any]) -> None:
        self.result = result
        self.plan: ScalePlan = result["plan"]
        self.began: float = result["began"]
        self.seen: list[ObservedEvent] = result["seen"]
        self.readings = result["readings"]
        self.first = self._first()
        self.rest = self._rest()

    def _first(self) -> list[float | None]:
        """When each hollow balancer first had the list in force."""
        first: list[float | None] = [None] * self.plan.hollow
        for seen in self.seen:
            for number, moments in enumerate(seen.after.hollow.in_force):
                if first[number] is None:
                    first[number] = first_at(moments, FIRST_VERSION)
        return first

    def _rest(self) -> float:
        """Bytes a second that a hollow balancer hears while nothing happens."""
        for seen in self.seen:
            if seen.event.what == "quiet" and seen.event.at > 0:
                grown = grown_by(seen.before, seen.after, 1)
                return sum(grown) / max(1, len(grown)) / (seen.after.at - seen.before.at)
        return 0.0

    # ---- one event

    def told(self, seen: ObservedEvent) -> list[tuple[int, float]]:
        """Versions and when they were told; the list itself at the start."""
        if seen.event.at == 0 and not seen.notified:
            return [(FIRST_VERSION, self.began)]
        return seen.notified

    def hollow_times(self, seen: ObservedEvent, heard: bool = False) -> list[float | None]:
        """Seconds from a change to in force, or heard, for those that had a list.

        Of those that were cut off, from the cut's end.
        """
        sight = seen.after.hollow
        times: list[float | None] = []
        cut = self.plan.hollow // 3 if seen.event.what == "cut" else 0
        for version, at in self.told(seen):
            for number, moments in enumerate(sight.heard if heard else sight.in_force):
                first, since = self.first[number], seen.restored_at if number < cut else at
                if version == FIRST_VERSION or (first is not None and first < at):
                    found = first_at(moments, version)
                    times.append(None if found is None else max(0.0, found - since))
        return times

    def real_times(self, seen: ObservedEvent) -> list[float | None]:
        """The same of real balancers."""
        times: list[float | None] = []
        for reading in self.readings:
            moments = [row for row in reading.in_force if row[0] <= seen.after.at]
            times += self._since_told(seen, moments, first_at(moments, FIRST_VERSION))
        return times

    def _since_told(self, seen: ObservedEvent, moments: Moments, first: float | None) -> list[float | None]:
        """Of one balancer, for what was told after it first had the list."""
        times: list[float | None] = []
        for version, at in self.told(seen):
            if version == FIRST_VERSION or (first is not None and first < at):
                found = first_at(moments, version)
                times.append(None if found is None else max(0.0, found - at))
        return times

    def lone_times(self, seen: ObservedEvent) -> list[float | None]:
        """The same of the hollow balancer that has a process of its own."""
        if seen.after.lone is None:
            return []
        before = [one.after.lone.in_force[0] for one in self.seen if one.after.lone is not None]
        first = min((at for moments in before if (at := first_at(moments, FIRST_VERSION))), default=None)
        return self._since_told(seen, seen.after.lone.in_force[0], first)

    def real_counts(self, before: float, after: float) -> tuple[float, float, float]:
        """Calls, bytes in and bytes out of a real balancer, on average, between two moments."""
        rows = [(one.counts_at(before), one.counts_at(after)) for one in self.readings]
        calls, bytes_in, bytes_out = (
            sum(after_[k] - before_[k] for before_, after_ in rows) / max(1, len(rows)) for k in range(3)
        )
        return calls, bytes_in, bytes_out

    def requests(self, seen: ObservedEvent) -> dict[str, Any]:
        """What became of the requests due in an event's time."""
        moment = seen.event
        seconds = range(int(moment.at), int(moment.at + moment.window))
        steps: Counter[int] = Counter()
        unserved: Counter[str] = Counter()
        for second in seconds:
            steps.update({int(step): n for step, n in self.result["steps"].get(second, {}).items()})
            unserved.update(self.result["unserved"].get(second, {}))
        return {
            "served": sum(steps.values()),
            "unserved": dict(unserved),
            "p50_ms": quantile_ms(steps, 0.5),
            "p99_ms": quantile_ms(steps, 0.99),
        }

    def source_calls(self, seen: ObservedEvent, since: float | None = None) -> dict[str, int]:
        """Calls at the list service in an event's time, by who made them."""
        begin = seen.before.at if since is None else since
        calls = Counter(
            "relays" if who.startswith(RELAYS) else "balancers"
            for at, who, _ in self.result["source_calls"]
            if begin <= at < seen.after.at
        )
        return {"relays": calls["relays"], "balancers": calls["balancers"]}

    def event(self, seen: ObservedEvent) -> dict[str, Any]:
        """All figures of one event."""
        before, after, plan = seen.before, seen.after, self.plan
        hollow, idle = max(1, plan.hollow), max(1, plan.idle)
        calls, bytes_in, bytes_out = (sum(grown_by(before, after, k)) / hollow for k in range(3))
        real = self.real_counts(before.at, after.at)
        cpu = {role: round(after.cpu[role] - before.cpu[role], 3) for role in after.cpu}
        times = self.hollow_times(seen)
        first = [None if at is None else at - self.began for at in self.first]
        heard = [len(moments) for moments in after.hollow.heard]
        return {
            "event": seen.event.name,
            "what": seen.event.what,
            "seconds": round(after.at - before.at, 2),
            "hollow": spread(times),
            "real": spread(self.real_times(seen)),
            "hollow_heard": spread(self.hollow_times(seen, heard=True)),
            "hollow_lone": spread(self.lone_times(seen)),
            "first_list": spread(first) if seen.event.at == 0 else None,
            "hollow_each": {
                "calls": round(calls, 3),
                "lines": round(sum(heard) / hollow, 3),
                "bytes_in": round(bytes_in, 1),
                "bytes_out": round(bytes_out, 1),
                "cpu_ms": round(1000 * cpu["hollow"] / hollow, 3),
            },
            "real_each": {
                "calls": round(real[0], 3),
                "bytes_in": round(real[1], 1),
                "bytes_out": round(real[2], 1),
                "cpu_ms_idle": round(1000 * cpu["real idle"] / idle, 1),
            },
            "source": {
                "calls": self.source_calls(seen),
                "cpu_s": cpu["source"],
                "bytes": by_role(before.source["bytes"], after.source["bytes"]),
                "lines": by_role(before.source["lines"], after.source["lines"]),
                "calls_after_return": self.source_calls(seen, seen.restored_at) if seen.restored_at else None,
            },
            "cpu_s": cpu,
            "memory_mb": after.memory_mb,
            "relay_peak_mb": round(after.relay_peak_mb, 1),
            "bytes_over_change": self.over_change(seen, bytes_in),
            "hollow_stall_s": after.hollow.stall_s,
            "requests": self.requests(seen),
        }

    def over_change(self, seen: ObservedEvent, bytes_in: float) -> float | None:
        """Bytes that a balancer heard, less what it hears at rest, over the bytes of what changed.

        These are what the same change took while nothing else happened, where the run has that: whoever
        tells it may write it shorter than the list service does.
        """
        if not seen.notified_bytes:
            return None
        usual = seen.notified_bytes
        for other in self.seen:
            one = other.event
            if one.what == "change" and (one.rows, one.gone) == (seen.event.rows, seen.event.gone):
                usual = self._news(other, sum(grown_by(other.before, other.after, 1)) / self.plan.hollow)
        return round(self._news(seen, bytes_in) / usual, 3)

    def _news(self, seen: ObservedEvent, bytes_in: float) -> int:
        return max(1, round(bytes_in - self.rest * (seen.after.at - seen.before.at)))

    # ---- real against hollow

    def agreement(self) -> dict[str, Any]:
        """Hollow against real: calls, bytes, time; processor time of those without requests.

        Up to a cut, which concerns hollow ones alone.
        """
        if len(self.seen) < 2 or not self.plan.idle or not self.plan.hollow:
            return {}
        cuts = [number for number, seen in enumerate(self.seen) if seen.event.what == "cut"]
        before, after = self.seen[1].before, self.seen[min(cuts, default=len(self.seen)) - 1].after
        hollow = [sum(grown_by(before, after, k)) / self.plan.hollow for k in range(3)]
        real = self.real_counts(before.at, after.at)
        complete = self.real_counts(0.0, after.at)
        whole_hollow = [sum(side[k] for side in after.hollow.sides) / self.plan.hollow for k in range(3)]
        changes = [seen for seen in self.seen if seen.event.what == "change"]
        every = (self.hollow_times, self.real_times, self.lone_times)
        times = [
            1000 * quantile([t for seen in changes for t in of(seen) if t is not None], 0.5) for of in every
        ]
        spent = {role: 1000 * (after.cpu[role] - before.cpu[role]) for role in after.cpu}
        idle, lone = spent["real idle"] / self.plan.idle, spent["hollow lone"]
        pairs = {
            "calls, all": (whole_hollow[0], complete[0]),
            "bytes in, all": (whole_hollow[1], complete[1]),
            "bytes out, all": (whole_hollow[2], complete[2]),
            "bytes in, after the start": (hollow[1], real[1]),
            "change in force, p50 ms": (times[0], times[1]),
            "change in force, p50 ms, one hollow in a process": (times[2], times[1]),
            "processor ms, after the start": (spent["hollow"] / self.plan.hollow, idle),
            "processor ms, one hollow in a process": (lone, idle),
        }
        return {
            name: {
                "hollow": round(one, 3),
                "real": round(other, 3),
                "ratio": round(one / other, 3) if other else None,
            }
            for name, (one, other) in pairs.items()
        }

    def summary(self) -> dict[str, Any]:
        """The whole run, for JSON."""
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
            "rest_bytes_s": round(self.rest, 1),
            "real_memory_mb": self.result["memory_mb"],
            "events": [self.event(seen) for seen in self.seen],
            "agreement": self.agreement(),
        }


def grown_by(before: Sample, after: Sample, which: int) -> list[int]:
    """How much a count of each hollow balancer grew: 0 calls, 1 bytes in, 2 bytes out."""
    pairs = zip(before.hollow.sides, after.hollow.sides, strict=True)
    return [one[which] - other[which] for other, one in pairs]


def by_role(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """What counts by half of the callers' addresses grew by, under the roles' names."""
    names = {"relays": (RELAYS,), "balancers": BALANCERS}
    return {
        role: sum(after.get(half, 0) - before.get(half, 0) for half in halves)
        for role, halves in names.items()
    }
