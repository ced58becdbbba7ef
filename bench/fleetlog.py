"""The count lines of all balancers of a run, added up by the second: python -m bench.fleetlog FOLDER.

Reads the lines that `QUARTZFORD_COUNTS_S=1` makes a balancer write (quartzford/metrics.py) out of every file
*.log in the folder, and nothing else of what the files hold. --zone Z: of the balancers of that zone alone.

Where the balancers wrote ways too (`QUARTZFORD_WAYS=1`): --id ID follows one request, with the news that its
balancer had of the servers that it was sent to; --cold S is the most that each cold server was sent by all
balancers in any S seconds.
"""

from __future__ import annotations

import argparse
import json
import sys
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

SUMS = ("held", "idle", "out")
MEANS = ("ready", "cold_now", "report", "ejected", "suspect", "shed", "late", "retry_budget", "entropy")


def lines(folder: Path, mark: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Lines of one topic with their file's name; broken ones (a process killed half way) are left out."""
    for path in sorted(folder.glob("*.log")):
        with path.open(errors="replace") as file:
            for line in file:
                _, found, text = line.partition(mark + ": ")
                try:
                    row = json.loads(text) if found else None
                except ValueError:
                    continue
                if isinstance(row, dict) and isinstance(row.get("at"), int | float):
                    yield path.stem, row


def read(folder: Path, zone: str = "") -> list[dict[str, Any]]:
    """Every count line, oldest first; of one zone's balancers, if one is named."""
    found = [row for _, row in lines(folder, "counts") if zone in ("", row.get("zone"))]
    return sorted(found, key=lambda row: int(row["at"]))


def follow(folder: Path, wanted: str) -> list[str]:
    """One request through every balancer that ended it, and what these knew of the servers it was sent to."""
    told = []
    for name, way in lines(folder, "way"):
        if way["id"] != wanted:
            continue
        told.append(
            (way["at"], f"{name}: {way['how']}, class {way['class']}, {way['left'] - way['at']:.0f} ms left")
        )
        for server, sent, *rest in way["tries"]:
            written, ended, code = rest or (None, None, "out")
            late = f"written after {written - sent:.1f} ms" if written is not None else "never written"
            after = f", {code} after {ended - sent:.1f} ms" if ended is not None else ", still out"
            told.append((sent, f"{name}: sent to {server}, {late}{after}"))
        servers = {row[0] for row in way["tries"]}
        for other, news in lines(folder, "news"):
            if other != name:
                continue
            for row in news["rows"]:
                if row[0] in servers:
                    told.append(
                        (news["at"], f"{name}: hears that {row[0]} is {row[4]}, started {row[6]:.0f}")
                    )
            told += [
                (news["at"], f"{name}: hears that {gone} is gone") for gone in servers & {*news["missing"]}
            ]
    return [f"{at:.1f} {text}" for at, text in sorted(told)]


def cold(folder: Path, span_s: float, slow_start_ms: float) -> dict[str, tuple[int, float]]:
    """By server that started in the run: the most sends written in any such span, and its age then, in ms.

    A window begins with a send: no other holds more.
    """
    started: dict[str, float] = {}
    for _, news in lines(folder, "news"):
        started.update({row[0]: max(row[6], started.get(row[0], 0.0)) for row in news["rows"] if row[6] > 0})
    sends: dict[str, list[float]] = {name: [] for name in started}
    for _, way in lines(folder, "way"):
        for server, _, *rest in way["tries"]:
            if (
                rest
                and rest[0] is not None
                and 0 <= rest[0] - started.get(server, rest[0] + 1) < slow_start_ms
            ):
                sends[server].append(rest[0])
    most: dict[str, tuple[int, float]] = {}
    for name, times in sends.items():
        times.sort()
        counts = [(bisect_left(times, at + span_s * 1000.0) - i, at) for i, at in enumerate(times)]
        if counts:
            number, at = max(counts, key=lambda pair: pair[0])
            most[name] = (number, at - started[name])
    return most


def merge(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """One row a second over the fleet: counts added up, gauges summed or averaged over those that wrote."""
    seconds: dict[int, list[dict[str, Any]]] = {}
    for row in rows:
        seconds.setdefault((row["at"] - rows[0]["at"]) // 1000, []).append(row)
    table = []
    for second, part in sorted(seconds.items()):
        out: dict[str, Any] = {"second": second, "balancers": len(part)}
        for name in ("list", "ends", "causes", "sends", "classes", "process"):
            total: Counter[str] = Counter()
            for row in part:
                total.update(row.get(name, {}))
            out[name] = dict(sorted(total.items()))
        for name in ("opened", "cold", "held_at"):
            by: Counter[str] = Counter()
            for row in part:
                by.update(row.get(name, {}))
            out[name], out[f"{name}_most"] = sum(by.values()), max(by.values(), default=0)
        out.update({name: sum(row[name] for row in part) for name in SUMS})
        out.update({name: round(sum(row[name] for row in part) / len(part), 2) for name in MEANS})
        for name in ("shed", "memory_kb"):
            out[f"{name}_most"] = max(row.get(name, 0) for row in part)
        out["cpu_us_most"] = max(row.get("process", {}).get("cpu_us", 0) for row in part)
        usual: Counter[str] = Counter()
        for row in part:
            usual.update(row["usual"])
        knowing = {name: sum(name in row["usual"] for row in part) for name in usual}
        out["usual"] = {name: round(usual[name] / knowing[name]) for name in usual}
        table.append(out)
    return table


def show(table: list[dict[str, Any]]) -> None:
    def said(counts: dict[str, int]) -> str:
        return ", ".join(f"{name} {count}" for name, count in counts.items()) or "-"

    for row in table:
        gauges = {name: row[name] for name in ("shed_most", *MEANS)}
        print(f"{row['second']:3} s  {row['balancers']} balancers; list: {said(row['list'])}")
        print(f"       sends: {said(row['sends'])}; cold {row['cold']} (at one {row['cold_most']}); ", end="")
        print(f"opened {row['opened']} (at one {row['opened_most']}), ", end="")
        print(f"held {row['held']} (at one {row['held_at_most']}), idle {row['idle']}, out {row['out']}")
        print(f"       ends: {said(row['ends'])}")
        print(f"       by class: {said(row['classes'])}")
        each = {name: round(count / row["balancers"]) for name, count in row["process"].items()}
        most = f"{row['cpu_us_most']} us, {row['memory_kb_most']} kB"
        print(f"       a balancer: {said(each)}, at the most {most}")
        print(f"       given up: {said(row['causes'])}; usual {said(row['usual'])}; {said(gauges)}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--zone", default="", help="of this zone's balancers alone")
    parser.add_argument("--id", help="follow one request")
    parser.add_argument(
        "--cold", type=float, metavar="S", help="the most sent to each cold server in so long"
    )
    parser.add_argument("--cold-ms", type=float, default=24_000.0, help="how long a server counts as cold")
    options = parser.parse_args()
    if options.id:
        print("\n".join(found := follow(options.folder, options.id)))
        return 0 if found else 1
    if options.cold:
        most = cold(options.folder, options.cold, options.cold_ms)
        for name, (number, age) in sorted(most.items(), key=lambda item: -item[1][0]):
            print(f"{name}: {number} sends, {age / 1000.0:.1f} s after its start")
        return 0 if most else 1
    rows = read(options.folder, options.zone)
    if not rows:
        print(f"{options.folder}: no count lines", file=sys.stderr)
        return 1
    table = merge(rows)
    show(table)
    if options.json:
        options.json.write_text(json.dumps(table, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
