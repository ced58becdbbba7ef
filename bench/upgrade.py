"""Replacements under load, measured: python -m bench.upgrade [--quick] [--json FILE].

A balancer is replaced again and again as the platform does it (a second process beside it, SIGTERM to the
old one at the new one's yes) between stand-in nodos and an open-loop client with kept connections, long
answers among the short ones, and nodos out by hand over every other replacement. The client writes its own
book: each connection that was refused, reset, or closed with nothing answered counts, also where asking again
would have helped. Then: how long P takes to be as good as before, with the state handed over and without; and
how long the second address takes to answer while the balancer's core is full.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from bench.common import ROOT, quantile, report, saturate
from quartzford.load.options import Target
from standins.site import MIX, config, free_port

RATE = 250.0  # requests a second
LONG_SHARE, LONG_BYTES = 0.03, 300_000
KEPT = 60  # clients' connections that stand from the start
NODOS, MANY = 12, 42  # of the replacements, and of what is learnt anew; a third is slow
WATCHED_S, QUARTER_S = 4.0, 0.25
GRACE_S = 0.25


class Line:
    """A balancer's processes, one after the other."""

    def __init__(self, discovery: int, known: Any, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        self.config = config(self.port, discovery, known)
        self.admin = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.common = folder / "common0"  # what a process and its successor have in common

    def start(self, shared: bool = True) -> subprocess.Popen[bytes]:
        """One more process; shared: in the folder that it has in common with the one before."""
        self.starts += 1
        self.admin = free_port()
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        if not shared:
            self.common = self.folder / f"common{self.starts}"
        self.common.mkdir(exist_ok=True)
        env = {
            **os.environ,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.common),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
        }
        return subprocess.Popen(
            [sys.executable, "-m", "quartzford"], cwd=ROOT, env=env, stderr=subprocess.DEVNULL
        )

    def call(self, method: str, path: str, body: str = "") -> int:
        return call(self.admin, method, path, body)

    def replace(self, shared: bool = True) -> dict[str, float]:
        """The platform's way; when the new one was started, said yes, and the old one had ended."""
        old, began = self.process, time.monotonic()
        self.process = self.start(shared)
        while True:
            with suppress(OSError, http.client.HTTPException):
                if self.call("GET", "/status") == 200:
                    break
            if time.monotonic() > began + 20:
                raise RuntimeError("the new process never said yes")
            time.sleep(0.01)
        yes = time.monotonic()
        if old is not None:
            old.send_signal(signal.SIGTERM)
            old.wait(20)
        return {"began": began, "yes": yes, "ended": time.monotonic()}

    def stop(self) -> None:
        if self.process is not None:
            self.process.terminate()
            self.process.wait(20)


def call(port: int, method: str, path: str, body: str = "") -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    finally:
        connection.close()


@contextmanager
def stand_in_fleet(nodos: int = NODOS) -> Iterator[tuple[int, Any]]:
    """A fleet of which a third is four times slower: its padrón's port, and the list."""
    plan = {
        "nodos": nodos,
        "capacity": 400.0,
        "cores": 4,
        "latency_s": 0.008,
        "slow": nodos // 3,
        "connect_s": 0.0,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.fleet", json.dumps(plan)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        told = json.loads(process.stdout.readline())
        yield told["port"], told["list"]
    finally:
        assert process.stdin is not None
        process.stdin.close()  # it waits there for a word to begin
        process.terminate()
        process.wait(10)


def books(port: int) -> dict[str, Any]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    connection.request("GET", "/books")
    found: dict[str, Any] = json.loads(connection.getresponse().read())
    connection.close()
    return found


class Crowd(threading.Thread):
    """Open-loop clients in a loop of their own. ends: how requests ended; times: (intended, seconds)."""

    def __init__(self, port: int, rate: float) -> None:
        super().__init__(daemon=True)
        self.port, self.rate = port, rate
        self.ends: Counter[str] = Counter()
        self.door: list[tuple[float, str]] = []
        self.times: list[tuple[float, float]] = []
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.over = threading.Event()
        self.rng = random.Random(11)
        self.number = 0

    def run(self) -> None:
        uvloop.run(self._run())

    async def _run(self) -> None:
        for _ in range(KEPT):
            self.idle.append(await asyncio.open_connection("127.0.0.1", self.port))
        due, tasks = time.monotonic(), set()
        while not self.over.is_set():
            due += self.rng.expovariate(self.rate)
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._ask(due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.wait([*tasks, asyncio.ensure_future(asyncio.sleep(0))], timeout=5)
        for _, writer in self.idle:
            writer.close()

    def _request(self) -> tuple[bytes, bool]:
        rng = self.rng
        name = rng.choices([n for n, _ in MIX], [w for _, w in MIX])[0]
        self.number += 1
        long = name == "consulta" and rng.random() < LONG_SHARE / 0.6
        head = f"{'GET' if name == 'consulta' else 'POST'} /api HTTP/1.1\r\nHost: app.svc\r\n"
        head += f"X-Correlation-Id: r{self.number}\r\nX-Service-Class: {name}\r\nX-Time-Left: 2000m\r\n"
        if name == "reserva":
            head += f"Idempotency-Key: k{self.number}\r\n"
        if name != "consulta":
            head += "Content-Length: 0\r\n"
        if long:
            head += f"X-Answer-Bytes: {LONG_BYTES}\r\n"
        return (head + "\r\n").encode(), long

    async def _ask(self, intended: float) -> None:
        data, long = self._request()
        try:
            # The one that has rested longest: what a replacement does to resting connections must show.
            pair = self.idle.pop(0) if self.idle else await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return self._at_the_door(intended, "refused")
        reader, writer = pair
        begun = False
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            begun = True
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
            left = int(fields[b"content-length"])
            while left:
                left -= len(part := await reader.read(min(left, 65_536)))
                if not part:
                    raise asyncio.IncompleteReadError(b"", left)
                if long:
                    await asyncio.sleep(0.02)  # a slow reader
        except (OSError, asyncio.IncompleteReadError, KeyError) as error:
            writer.close()
            if begun:
                self.ends["cut off"] += 1
                return
            reset = isinstance(error, ConnectionResetError)
            return self._at_the_door(intended, "reset" if reset else "unread")
        self.ends[head.split(b" ", 2)[1].decode()] += 1
        if not long:
            self.times.append((intended, time.monotonic() - intended))
        if fields.get(b"connection") == b"close":
            self.ends["closed after an answer"] += 1
            writer.close()
        else:
            self.idle.append(pair)

    def _at_the_door(self, intended: float, how: str) -> None:
        self.ends[how] += 1
        self.door.append((intended, how))


@contextmanager
def under_load(line: Line, settle_s: float) -> Iterator[Crowd]:
    """A balancer's first process and its clients, who have asked for so long; both end with the block."""
    line.replace()
    crowd = Crowd(line.port, RATE)
    crowd.start()
    try:
        time.sleep(settle_s)
        yield crowd
    finally:
        crowd.over.set()
        crowd.join(20)
        line.stop()


def replacements(count: int, discovery: int, known: Any, folder: Path) -> dict[str, Any]:
    """Replace so many times under load; bans over every other one."""
    line = Line(discovery, known, folder)
    rows: list[dict[str, float]] = []
    bans: list[tuple[str, float, float]] = []
    since = 0.0
    with under_load(line, 3.0) as crowd:
        calm_from = time.monotonic()
        time.sleep(2.0)
        calm_until = time.monotonic()
        for number in range(count):
            name = f"s{number % NODOS:04}"
            if number % 2:
                assert line.call("PUT", "/maintenance/enter", name) == 200
                since = time.monotonic()
            rows.append(line.replace())
            time.sleep(0.4)
            if number % 2:
                bans.append((name, since, time.monotonic()))
                assert line.call("PUT", "/maintenance/exit", name) == 200
            time.sleep(0.2)
    book = books(discovery)
    late = [
        (name, at - out)
        for name, out, until in bans
        for at, _ in book["arrivals"].get(name, [])
        if out + GRACE_S < at < until
    ]
    runs = Counter(identity for _, identity, name, *_ in book["runs"] if name == "cobro")
    calm = [spent for at, spent in crowd.times if calm_from <= at < calm_until]
    around = [spent for at, spent in crowd.times if any(r["began"] <= at <= r["ended"] for r in rows)]
    worst = [
        max((spent for at, spent in crowd.times if r["yes"] - 0.3 <= at <= r["ended"]), default=0.0)
        for r in rows
    ]
    return {
        "replacements": count,
        "asked": crowd.number,
        "ends": dict(crowd.ends),
        "lost": crowd.ends["cut off"] + sum(crowd.ends[k] for k in ("reset", "unread")),
        "door": len(crowd.door),
        "closed": crowd.ends["closed after an answer"],
        "bans": len(bans),
        "sent_to_banned": len(late),
        "cobro_twice": sum(n > 1 for n in runs.values()),
        "overlapping": book["overlapping"],
        "yes_s": median(r["yes"] - r["began"] for r in rows),
        "ended_s": median(r["ended"] - r["yes"] for r in rows),
        "calm_p50_ms": quantile(calm, 0.5) * 1000,
        "calm_worst_ms": max(calm, default=0.0) * 1000,
        "calm_p99_ms": quantile(calm, 0.99) * 1000,
        "around_p99_ms": quantile(around, 0.99) * 1000,
        "worst_ms": max(worst) * 1000,
        "worst_median_ms": median(worst) * 1000,
    }


def relearn(pairs: int, discovery: int, known: Any, folder: Path) -> dict[str, Any]:
    """Replacements with the state handed over and without, in turn under one load.

    before: share of requests at the slow third in the last second; after: by quarters of a second from the
    yes; as_good_after_s: from when on a second of it is within a tenth of before (None: not while watched).
    """
    line = Line(discovery, known, folder)
    with under_load(line, 5.0):
        rows: dict[str, list[dict[str, float]]] = {"with": [], "without": []}
        for _ in range(pairs):
            for key, shared in (("with", True), ("without", False)):
                rows[key].append(line.replace(shared))
                time.sleep(WATCHED_S)
    slow = {f"s{n:04}" for n in range(MANY // 3)}
    took = [(at, name in slow) for name, found in books(discovery)["arrivals"].items() for at, _ in found]

    def share(spans: list[tuple[float, float]]) -> float:
        hits = [s for at, s in took if any(since <= at < until for since, until in spans)]
        return sum(hits) / max(1, len(hits))

    result: dict[str, Any] = {}
    for key, made in rows.items():
        before = share([(r["began"] - 1.0, r["began"]) for r in made])
        steps = [n * QUARTER_S for n in range(int(WATCHED_S / QUARTER_S))]
        after = [share([(r["yes"] + s, r["yes"] + s + QUARTER_S) for r in made]) for s in steps]
        runs = [sum(after[n : n + 4]) / 4 for n in range(len(after) - 3)]
        good = next((s for s, value in zip(steps, runs, strict=False) if value <= 1.1 * before), None)
        result[key] = {"before": before, "after": after, "as_good_after_s": good}
    return result


def second_address(seconds: float, discovery: int, known: Any, folder: Path) -> dict[str, float]:
    """What callers wait while closed-loop clients keep the balancer's core full."""
    line = Line(discovery, known, folder)
    line.replace()
    waits: list[float] = []
    over = threading.Event()

    def poll() -> None:
        while not over.is_set():
            began = time.monotonic()
            assert call(line.admin, "GET", "/status/metrics") == 200
            waits.append(time.monotonic() - began)
            time.sleep(0.01)

    caller = threading.Thread(target=poll, daemon=True)
    caller.start()
    got = saturate(Target("127.0.0.1", line.port), seconds, 2, 48)
    over.set()
    caller.join(10)
    line.stop()
    return {
        "rate": got["rate"],
        "calls": len(waits),
        "p50_ms": quantile(waits, 0.5) * 1000,
        "p99_ms": quantile(waits, 0.99) * 1000,
        "worst_ms": max(waits) * 1000,
    }


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.upgrade")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    count, seconds = (5, 3.0) if options.quick else (50, 10.0)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        parts = [folder / part for part in ("replace", "relearn", "full")]
        for part in parts:
            part.mkdir()
        with stand_in_fleet() as told:
            got = replacements(count, *told, parts[0])
        print(f"{count} replacements at {RATE:.0f}/s: {got['asked']} asked, ends {got['ends']}")
        print(
            f"  yes after {got['yes_s']:.2f} s, the old one ended {got['ended_s']:.2f} s later\n"
            f"  calm p50 {got['calm_p50_ms']:.1f}, p99 {got['calm_p99_ms']:.1f}, "
            f"worst {got['calm_worst_ms']:.1f} ms; from start to end p99 {got['around_p99_ms']:.1f} ms\n"
            f"  worst around a replacement: median {got['worst_median_ms']:.1f}, "
            f"most {got['worst_ms']:.1f} ms\n"
            f"  {got['bans']} bans, {got['sent_to_banned']} sent there after {GRACE_S:.2f} s; "
            f"cobros twice {got['cobro_twice']}, overlapping attempts {got['overlapping']}"
        )
        with stand_in_fleet(MANY) as told:
            learnt = relearn(1 if options.quick else 6, *told, parts[1])
        for key, one in learnt.items():
            quarters = " ".join(f"{value:.2f}" for value in one["after"])
            print(f"{key} the state, {MANY} nodos: {one['before']:.3f} of requests at the slow third before;")
            print(f"  by quarters of a second after: {quarters}; as good after {one['as_good_after_s']} s")
        with stand_in_fleet() as told:
            full = second_address(seconds, *told, parts[2])
        print(
            f"second address at a full core ({full['rate']:.0f}/s served): {full['calls']} calls, p50 "
            f"{full['p50_ms']:.1f}, p99 {full['p99_ms']:.1f}, worst {full['worst_ms']:.1f} ms"
        )
    kept = not (got["lost"] or got["sent_to_banned"] or got["cobro_twice"] or got["overlapping"])
    kept = kept and full["worst_ms"] < 1_000
    good = {key: one["as_good_after_s"] for key, one in learnt.items()}
    print(
        f"upgrade: {'rules kept' if kept else 'A RULE BROKEN'}; lost {got['lost']}, "
        f"at the door {got['door']}, worst {got['worst_ms']:.0f} ms (calm {got['calm_worst_ms']:.0f}); "
        f"P as good after {good['with']} s with, {good['without']} s without; "
        f"second address p99 {full['p99_ms']:.1f} ms"
    )
    report({"replacements": got, "relearn": learnt, "second_address": full, "kept": kept}, options.json)
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
