"""The count lines of all balancers of a run, added up by the second: python -m bench.fleetlog FOLDER.

Reads the lines that `QUARTZFORD_COUNTS_S=1` makes a balancer write (quartzford/metrics.py) out of every file
*.log in the folder, and nothing else of what the files hold. --zone Z: of the balancers of that zone alone.

Where the balancers wrote traces too (`QUARTZFORD_WAYS=1`): --id ID follows one request, with the list updates
that its balancer had of the servers that it was sent to; --cold S is the most that each cold server was sent
by all balancers in any S seconds.
"""

from __future__ import annotations

import argparse
import json
import sys
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

COUNTS, TRACE, LIST_UPDATE = "counts", "way", "news"  # topics of lines
ADDED_UP = ("list", "ends", "causes", "sends", "classes", "process")  # counts by name
ADDED_UP_BY_SERVER = ("opened", "cold", "held_at")
SUMS = ("held", "idle", "out")
MEANS = ("ready", "cold_now", "report", "ejected", "suspect", "shed", "late", "retry_budget", "entropy")

Row = dict[str, Any]  # a line's JSON; quartzford/metrics.py documents its keys


class ListedServer(NamedTuple):
    """The columns of a list update's row that are used here."""

    name: str
    state: str
    started_ms: float  # 0: unknown or long ago


class TracedAttempt(NamedTuple):
    """An attempt of a trace; times as the balancer's clock has them, in ms; None: it did not happen."""

    server: str
    sent: float
    written: float | None
    ended: float | None
    outcome: str


def read_topic(folder: Path, topic: str) -> Iterator[tuple[str, Row]]:
    """Lines of one topic with their file's name; broken ones (a process killed half way) are left out."""
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as file:
            for line in file:
                _, found, text = line.partition(topic + ": ")
                try:
                    row = json.loads(text) if found else None
                except ValueError:
                    continue
                if isinstance(row, dict) and isinstance(row.get("at"), int | float):
                    yield path.stem, row


def read_counts(folder: Path, zone: str = "") -> list[Row]:
    """Every count line, oldest first; of one zone's balancers, if one is named."""
    found = [row for _, row in read_topic(folder, COUNTS) if zone in ("", row.get("zone"))]
    return sorted(found, key=lambda row: int(row["at"]))


def attempts_of(trace: Row) -> list[TracedAttempt]:
    """The attempts of a trace, in order."""
    attempts = []
    for server, sent, *rest in trace["tries"]:
        written, ended, outcome = rest or (None, None, "out")
        attempts.append(TracedAttempt(server, sent, written, ended, outcome))
    return attempts


def listed_servers(update: Row) -> list[ListedServer]:
    """The servers that a list update names, without those that are gone."""
    return [ListedServer(row[0], row[4], row[6]) for row in update["rows"]]


# ---- one request


def attempt_text(attempt: TracedAttempt) -> str:
    """An attempt in words."""
    sent, written, ended = attempt.sent, attempt.written, attempt.ended
    late = f"written after {written - sent:.1f} ms" if written is not None else "never written"
    after = f", {attempt.outcome} after {ended - sent:.1f} ms" if ended is not None else ", still out"
    return f"sent to {attempt.server}, {late}{after}"


def update_texts(update: Row, servers: set[str]) -> list[str]:
    """What a list update says of these servers, in words."""
    listed = [
        f"hears that {server.name} is {server.state}, started {server.started_ms:.0f}"
        for server in listed_servers(update)
        if server.name in servers
    ]
    return listed + [f"hears that {gone} is gone" for gone in servers & {*update["missing"]}]


def follow(folder: Path, wanted: str) -> list[str]:
    """One request through every balancer that ended it, and the list updates these had of its servers."""
    events: list[tuple[float, str]] = []
    for name, trace in read_topic(folder, TRACE):
        if trace["id"] != wanted:
            continue
        left_ms = trace["left"] - trace["at"]
        end = f"{name}: {trace['how']}, class {trace['class']}, {left_ms:.0f} ms left"
        events.append((trace["at"], end))
        attempts = attempts_of(trace)
        events += [(attempt.sent, f"{name}: {attempt_text(attempt)}") for attempt in attempts]
        servers = {attempt.server for attempt in attempts}
        for other, update in read_topic(folder, LIST_UPDATE):
            if other == name:
                events += [(update["at"], f"{name}: {text}") for text in update_texts(update, servers)]
    return [f"{at:.1f} {text}" for at, text in sorted(events)]


# ---- cold servers


class ColdPeak(NamedTuple):
    """The most sends to a cold server in any window, and its age as that window began."""

    sends: int
    age_ms: float


def started_servers(folder: Path) -> dict[str, float]:
    """Servers that started in the run: when the latest life of each began, in ms."""
    started: dict[str, float] = {}
    for _, update in read_topic(folder, LIST_UPDATE):
        for server in listed_servers(update):
            if server.started_ms > 0:
                started[server.name] = max(server.started_ms, started.get(server.name, 0.0))
    return started


def cold_sends(folder: Path, started: dict[str, float], slow_start_ms: float) -> dict[str, list[float]]:
    """When each of the servers was sent something within so long after its start; in order."""
    sends: dict[str, list[float]] = {name: [] for name in started}
    for _, trace in read_topic(folder, TRACE):
        for attempt in attempts_of(trace):
            if attempt.written is None or attempt.server not in started:
                continue
            if 0 <= attempt.written - started[attempt.server] < slow_start_ms:
                sends[attempt.server].append(attempt.written)
    for times in sends.values():
        times.sort()
    return sends


def cold_peaks(folder: Path, window_s: float, slow_start_ms: float) -> dict[str, ColdPeak]:
    """The peak of each server that started in the run and got something within slow_start_ms.

    Windows begin with a send: no other holds more.
    """
    started = started_servers(folder)
    peaks: dict[str, ColdPeak] = {}
    for name, times in cold_sends(folder, started, slow_start_ms).items():
        counts = [(bisect_left(times, at + window_s * 1000.0) - i, at) for i, at in enumerate(times)]
        if counts:
            number, at = max(counts, key=lambda pair: pair[0])
            peaks[name] = ColdPeak(number, at - started[name])
    return peaks


# ---- all counts


def added_up(rows: Iterable[Row], name: str) -> Counter[str]:
    """The sum of one group of counts over rows; a row may lack it."""
    total: Counter[str] = Counter()
    for row in rows:
        total.update(row.get(name, {}))
    return total


def usual_latencies(rows: Sequence[Row]) -> dict[str, int]:
    """By class the mean over the balancers that have one."""
    sums: Counter[str] = Counter()
    for row in rows:
        sums.update(row["usual"])
    balancers = {name: sum(name in row["usual"] for row in rows) for name in sums}
    return {name: round(sums[name] / balancers[name]) for name in sums}


def merge_second(second: int, rows: Sequence[Row]) -> Row:
    """The row of the whole fleet for one second, from those of the balancers that wrote in it."""
    out: Row = {"second": second, "balancers": len(rows)}
    for name in ADDED_UP:
        out[name] = dict(sorted(added_up(rows, name).items()))
    for name in ADDED_UP_BY_SERVER:
        counts = added_up(rows, name)
        out[name], out[f"{name}_most"] = sum(counts.values()), max(counts.values(), default=0)
    out.update({name: sum(row[name] for row in rows) for name in SUMS})
    out.update({name: round(sum(row[name] for row in rows) / len(rows), 2) for name in MEANS})
    for name in ("shed", "memory_kb"):
        out[f"{name}_most"] = max(row.get(name, 0) for row in rows)
    out["cpu_us_most"] = max(row.get("process", {}).get("cpu_us", 0) for row in rows)
    out["usual"] = usual_latencies(rows)
    return out


def merge(rows: list[Row]) -> list[Row]:
    """One row a second over the fleet: counts added up, gauges summed or averaged over those that wrote."""
    seconds: dict[int, list[Row]] = {}
    for row in rows:
        seconds.setdefault((row["at"] - rows[0]["at"]) // 1000, []).append(row)
    return [merge_second(second, part) for second, part in sorted(seconds.items())]


def counts_text(counts: dict[str, Any]) -> str:
    """Names with their counts."""
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "-"


def show_second(row: Row) -> None:
    """Print the row of one second."""
    gauges = {name: row[name] for name in ("shed_most", *MEANS)}
    each = {name: round(count / row["balancers"]) for name, count in row["process"].items()}
    most = f"{row['cpu_us_most']} us, {row['memory_kb_most']} kB"
    print(f"{row['second']:3} s  {row['balancers']} balancers; list: {counts_text(row['list'])}")
    print(
        f"       sends: {counts_text(row['sends'])}; cold {row['cold']} (at one {row['cold_most']}); "
        f"opened {row['opened']} (at one {row['opened_most']}), "
        f"held {row['held']} (at one {row['held_at_most']}), idle {row['idle']}, out {row['out']}"
    )
    print(f"       ends: {counts_text(row['ends'])}")
    print(f"       by class: {counts_text(row['classes'])}")
    print(f"       a balancer: {counts_text(each)}, at the most {most}")
    causes, usual = counts_text(row["causes"]), counts_text(row["usual"])
    print(f"       given up: {causes}; usual {usual}; {counts_text(gauges)}")


def read_options() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--zone", default="", help="of this zone's balancers alone")
    parser.add_argument("--id", help="follow one request")
    parser.add_argument(
        "--cold", type=float, metavar="S", help="the most sent to each cold server in so long"
    )
    parser.add_argument("--cold-ms", type=float, default=24_000.0, help="how long a server counts as cold")
    return parser.parse_args()


def show_request(folder: Path, wanted: str) -> int:
    """Print the way of a request; the exit status is 1 where no line has it."""
    found = follow(folder, wanted)
    print("\n".join(found))
    return 0 if found else 1


def show_cold(folder: Path, window_s: float, slow_start_ms: float) -> int:
    """Print the peaks of cold servers; the exit status is 1 where there are none."""
    peaks = cold_peaks(folder, window_s, slow_start_ms)
    for name, peak in sorted(peaks.items(), key=lambda item: -item[1].sends):
        print(f"{name}: {peak.sends} sends, {peak.age_ms / 1000.0:.1f} s after its start")
    return 0 if peaks else 1


def main() -> int:
    """Read, add up, print and report; the exit status is 1 where nothing was found."""
    options = read_options()
    if options.id:
        return show_request(options.folder, options.id)
    if options.cold:
        return show_cold(options.folder, options.cold, options.cold_ms)
    rows = read_counts(options.folder, options.zone)
    if not rows:
        print(f"{options.folder}: no count lines", file=sys.stderr)
        return 1
    table = merge(rows)
    for row in table:
        show_second(row)
    if options.json:
        options.json.write_text(json.dumps(table, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
