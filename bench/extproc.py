"""The external processor under load: python -m bench.extproc [--quick] [--rate 2600] [--json FILE].

Stand-in calling proxies ask it for every attempt at an open-loop rate and send to stand-in nodos, which die,
drain, fall silent and come back cold meanwhile; a part of the callers' streams is dropped on the way. All
peers keep books on the machine's one monotonic clock, and the four rules are read from those books alone.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import os
import random
import re
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from itertools import pairwise
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from bench.common import ROOT, children, cpu_seconds, quantile, report
from quartzford.load.reconciliation import sends_after_drain, slow_start_breaches
from standins.caller import STAGES, CallerPolicy, CallerProxy, Exchange, request_rows
from standins.fleet import Fleet
from standins.fleet import Plan as FleetPlan
from standins.site import FALL_S, MIX, START_SHARE, TIP, WARM_S, config, free_port

LEAD_S = 2.0  # from the last process's start to the first arrival
WARM_UP_S = 3.0  # arrivals that are not measured: the module learns its fleet
CONNECTIONS = 4  # of each caller, as a proxy has one for each of its threads
SPARE = 1.7  # capacity of the healthy fleet over the rate


class Plan(NamedTuple):
    """One run."""

    nodos: int
    rate: float
    seconds: float
    workers: int
    callers: int
    opener: bool
    drops: float
    seed: int
    honours: bool = False  # the callers keep to the end of a decision's validity; Envoy can't
    hogs: int = 0  # processes that do nothing but take the machine's time


# ---- the fleet's process


async def run_fleet(plan: Plan, pipe: Connection) -> None:
    capacity = plan.rate * SPARE / plan.nodos
    one = Fleet(
        FleetPlan(
            plan.nodos,
            capacity,
            queue=max(8, int(capacity * 0.4)),
            start_share=START_SHARE,
            warm_s=WARM_S,
            seed=plan.seed,
            trouble="random",
        )
    )
    await one.start()
    pipe.send((one.registry.port, one.registry.complete()))
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, pipe.recv)  # go
    one.begin()
    await loop.run_in_executor(None, pipe.recv)  # stop
    one.stop()
    journal = one.journal
    pipe.send(
        one.account()
        | {
            "twice": {c: len(journal.duplicate_executions(c)) for c, _ in MIX},
            "effects_twice": len(journal.duplicate_effects("reserva", journal.window_s)),
        }
    )


# ---- a caller's process


async def run_caller(plan: Plan, pipe: Connection, number: int, target: str, start: float) -> None:
    rng = random.Random(plan.seed * 1000 + number)
    proxies = [
        CallerProxy(
            target,
            CallerPolicy(
                opener=plan.opener, route_timeout_s=2.0, message_timeout_s=2.5, honours=plan.honours
            ),
            rng,
        )
        for _ in range(CONNECTIONS)
    ]
    rate = plan.rate / plan.callers
    names, weights = [n for n, _ in MIX], [w for _, w in MIX]
    tasks: list[asyncio.Task[Exchange]] = []
    late: list[float] = []
    due, count = start, 0
    while due < start + WARM_UP_S + plan.seconds:
        now = time.monotonic()
        if due > now:
            await asyncio.sleep(due - now)
        elif count % 64 == 0:
            await asyncio.sleep(0)
        late.append(max(0.0, time.monotonic() - due))
        identity, name = f"{number:02x}{count:08x}", rng.choices(names, weights)[0]
        drop = rng.choice(STAGES) if rng.random() < plan.drops else ""
        key = f"k{identity}" if name == "reserva" else ""
        rows = request_rows(identity, name, 2.0, "", key)
        exchange = Exchange(identity, name, due)
        tasks.append(asyncio.ensure_future(proxies[count % len(proxies)].handle(exchange, rows, 2.2, drop)))
        count += 1
        due += rng.expovariate(rate)
    done = await asyncio.gather(*tasks, return_exceptions=True)
    broken = [repr(d) for d in done if isinstance(d, BaseException)]
    for proxy in proxies:
        await proxy.close()
    rows_out = [
        (
            e.intended,
            e.service_class,
            e.statuses,
            e.ended,
            e.decision_s,
            e.report_s,
            e.dropped,
            e.reason,
            [(a.at, a.address, a.ended, a.requested_at, a.decided_at, a.outcome) for a in e.attempts],
            e.identity,
        )
        for e in done
        if isinstance(e, Exchange)
    ]
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cores = (usage.ru_utime + usage.ru_stime) / (time.monotonic() - start)
    pipe.send(
        {"cores": cores, "rows": rows_out, "late": quantile(late, 0.99), "broken": broken[:3], "count": count}
    )


def process_main(kind: str, plan: Plan, pipe: Connection, *extra: Any) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    while kind == "hog":
        if sum(range(100_000)) and pipe.poll():
            return
    uvloop.run(run_fleet(plan, pipe) if kind == "fleet" else run_caller(plan, pipe, *extra))


# ---- the run


def play(plan: Plan) -> dict[str, Any]:
    context = mp.get_context("spawn")
    spawned: list[Any] = []

    def spawn(kind: str, *extra: Any) -> Connection:
        ours, theirs = context.Pipe()
        process = context.Process(target=process_main, args=(kind, plan, theirs, *extra), daemon=True)
        process.start()
        spawned.append(process)
        return ours

    with tempfile.TemporaryDirectory() as folder:
        pipe = spawn("fleet")
        discovery, known = pipe.recv()
        port = free_port()
        (Path(folder) / "balancer.json").write_text(json.dumps(config(free_port(), discovery, known)))
        operator = Path(folder) / "operator.toml"
        operator.write_text(
            f'config = "balancer.json"\n[extproc]\nlisten = "127.0.0.1:{port}"\nworkers = {plan.workers}\n'
            'cookie = "sid"\nmost_streams = 20000\n'
        )
        environment = {k: v for k, v in os.environ.items() if k != "EDGE_CONFIG"}
        with (Path(folder) / "log").open("wb") as log:
            balancer = subprocess.Popen(
                [sys.executable, "-m", "quartzford", "serve", "--operator", str(operator)],
                cwd=ROOT,
                env=environment,
                stderr=log,
            )
        try:
            while b"listening on port" not in (Path(folder) / "log").read_bytes():
                time.sleep(0.05)
                if balancer.poll() is not None:
                    raise RuntimeError((Path(folder) / "log").read_text())
            time.sleep(1.0)  # the other workers
            hogs = [spawn("hog") for _ in range(plan.hogs)]
            start = time.monotonic() + LEAD_S
            pipes = [spawn("caller", n, f"127.0.0.1:{port}", start) for n in range(plan.callers)]
            time.sleep(max(0.0, start + WARM_UP_S - time.monotonic()))
            pipe.send("go")
            family = [balancer.pid, *children(balancer.pid)]
            before, at = {pid: cpu_seconds(pid) for pid in family}, time.monotonic()
            time.sleep(plan.seconds)
            spent = {pid: cpu_seconds(pid) - before[pid] for pid in family}
            span = time.monotonic() - at
            results = [p.recv() for p in pipes]
            for hog in hogs:
                hog.send("stop")
            pipe.send("stop")
            journal = pipe.recv()
            balancer.send_signal(signal.SIGTERM)
            ended = balancer.wait(20)
        finally:
            if balancer.poll() is None:
                balancer.kill()
            for process in spawned:
                process.join(5)
                if process.is_alive():
                    process.terminate()
        said = (Path(folder) / "log").read_text()
    cores = {"decider": spent[family[0]] / span, "workers": [spent[p] / span for p in family[1:]]}
    return judge(plan, start + WARM_UP_S, results, journal, cores, ended, said)


def judge(
    plan: Plan, since: float, results: list[Any], journal: Any, cores: Any, ended: int, said: str
) -> dict[str, Any]:
    """The books of all peers laid side by side."""
    rows = [row for result in results for row in result["rows"]]
    measured = [row for row in rows if row[0] >= since]
    stayed = [row for row in rows if not row[6]]
    added = [(row[4] + row[5]) * 1000 for row in measured if row[4] >= 0 and not row[6]]
    decided = [row[4] * 1000 for row in measured if row[4] >= 0]
    attempts = [a for row in measured for a in row[8]]
    answer = [(decided_at - requested_at) * 1000 for _, _, _, requested_at, decided_at, _ in attempts]
    caller = [(at - decided_at) * 1000 for at, _, _, _, decided_at, _ in attempts if at >= 0]
    classes = {}
    for name, _ in MIX:
        mine = [row for row in measured if row[1] == name and not row[6]]
        counts = {str(s): sum(row[2] == [s] for row in mine) for s in sorted({x for r in mine for x in r[2]})}
        classes[name] = {"asked": len(mine), "answers": counts}
    attempts_all = [attempt for row in rows for attempt in row[8]]
    expired = sum(attempt[5] == "expired" for attempt in attempts_all)
    drains = [(address, since, until) for _, address, since, until in journal["drains"]]
    # A drain counts to a send's first byte: a connection that never came up is none.
    sent = [attempt for attempt in attempts_all if attempt[0] >= 0]
    drained, latest = sends_after_drain(drains, ((a[1], a[0]) for a in sent))
    drained_here, _ = sends_after_drain(drains, ((a[1], a[4]) for a in sent))
    _, latest_told = sends_after_drain(drains, ((a[1], a[4]) for a in attempts_all))
    cold = slow_start_breaches(journal["births"], journal["arrivals"], FALL_S, TIP)
    ran = {identity for _, identity, *_ in journal["runs"]}
    refused_ran = sum(
        row[1] != "consulta" and row[2] in ([503], [429]) and row[9] in ran and not row[6] for row in rows
    )
    last = max((row[0] for row in measured), default=since)
    rules = {
        "not answered exactly once": sum(len(row[2]) != 1 for row in stayed),
        "cobros run twice": journal["twice"]["cobro"],
        "reservas with two effects": journal["effects_twice"],
        "refused though it ran (cobro, reserva)": refused_ran,
        "attempts of one request at once": journal["overlapping"]
        + sum(later[4] < sooner[2] for row in rows for sooner, later in pairwise(row[8])),
        "drain breaches": drained,
        "cold breaches": cold["over"],
        "callers broken": sum(len(result["broken"]) for result in results),
        "balancer's exit": ended,
    }
    return {
        "plan": plan._asdict(),
        "rate": round(len(measured) / max(last - since, 1e-9), 1),
        "decisions_s": round(len([a for row in measured for a in row[8]]) / max(last - since, 1e-9), 1),
        "attempts_per_request": round(sum(len(r[8]) for r in measured) / max(1, len(measured)), 3),
        "generator_late_p99_ms": round(max(r["late"] for r in results) * 1000, 1),
        "caller_cores": [round(r["cores"], 2) for r in results],
        "decision_ms": {f"p{q}": round(quantile(decided, q / 100), 2) for q in (50, 99, 99.9)},
        "added_ms": {f"p{q}": round(quantile(added, q / 100), 2) for q in (50, 99, 99.9)},
        "cores": {
            "decider": round(cores["decider"], 2),
            "workers": [round(c, 2) for c in cores["workers"]],
            "all": round(cores["decider"] + sum(cores["workers"]), 2),
        },
        "classes": classes,
        "reasons": Counter(f"{row[2]} {row[7]}" for row in stayed if row[2] != [200]).most_common(6),
        "dropped": sum(bool(row[6]) for row in rows),
        "faults": sum(what != "cold" for _, what, _ in journal["events"]),
        "cold": cold,
        "latest_send_after_drain_ms": round(latest * 1000, 1),
        "latest_decision_read_after_drain_ms": round(latest_told * 1000, 1),
        "drain_breaches_read_late": drained_here,
        "answer_ms": {f"p{q}": round(quantile(answer, q / 100), 2) for q in (50, 99, 99.9)},
        "caller_ms": {f"p{q}": round(quantile(caller, q / 100), 2) for q in (50, 99, 99.9)},
        "expired_unsent": expired,
        "written_too_late": late_writes(said),
        "rules": rules,
        "kept": not any(rules.values()),
        "log": [line for line in said.splitlines() if not line.startswith("summary")][-5:],
    }


def late_writes(said: str) -> int:
    """Decisions that the workers gave back unwritten, by the balancer's own summaries."""
    return sum(int(count) for count in re.findall(r"written too late[^0-9]*(\d+)", said))


def show(result: dict[str, Any]) -> None:
    plan = result["plan"]
    print(
        f"\n{plan['nodos']} nodos, {plan['workers']} workers, {plan['callers']} callers, asked for"
        f" {plan['rate']:.0f}/s for {plan['seconds']:.0f} s, {100 * plan['drops']:.0f}% of streams dropped,"
        f" {result['faults']} faults, {'two hops' if plan['opener'] else 'one stream an attempt'},"
        f" callers {'keep' if plan['honours'] else 'do not keep'} to the end of validity, {plan['hogs']} hogs"
    )
    print(f"  rate {result['rate']}/s, attempts a request {result['attempts_per_request']}")
    print(f"  the callers' generators were late by {result['generator_late_p99_ms']} ms (p99)")
    for name in ("decision_ms", "added_ms"):
        print(f"  {name} from the intended send: {result[name]}")
    print(f"  cores: {result['cores']}, of the callers {result['caller_cores']}")
    for name, row in result["classes"].items():
        print(f"  {name}: {row['asked']} asked, answers {row['answers']}")
    print(f"  cold lives {result['cold']}")
    print(
        f"  after a drain was told: latest decision read {result['latest_decision_read_after_drain_ms']} ms,"
        f" latest send {result['latest_send_after_drain_ms']} ms; of the breaches, decisions read too late:"
        f" {result['drain_breaches_read_late']}"
    )
    print(
        f"  from the ask's writing to the decision's reading {result['answer_ms']},"
        f" from there to the send {result['caller_ms']}"
    )
    print(
        f"  decisions given back: unwritten by the workers {result['written_too_late']},"
        f" unsent by the callers {result['expired_unsent']}"
    )
    print(f"  not served, and why: {result['reasons']}")
    for name, count in result["rules"].items():
        print(f"  {name}: {count}")
    for line in result["log"]:
        print(f"  log: {line}")


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.extproc")
    parser.add_argument("--quick", action="store_true", help="shorter runs: under 50 s in all")
    parser.add_argument("--rate", type=float, default=2600.0)
    parser.add_argument("--nodos", type=int, action="append", help="fleet size; may be given more than once")
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--callers", type=int, default=4)
    parser.add_argument("--two-hops", action="store_true", help="a stream opens each request beforehand")
    parser.add_argument("--honours", action="store_true", help="callers keep to the end of validity")
    parser.add_argument("--hogs", type=int, default=0, help="processes that take the machine's time")
    parser.add_argument("--drops", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    seconds = options.seconds or (10.0 if options.quick else 30.0)
    results = []
    for nodos in options.nodos or [24, 97]:
        plan = Plan(
            nodos,
            options.rate,
            seconds,
            options.workers,
            options.callers,
            options.two_hops,
            options.drops,
            options.seed,
            options.honours,
            options.hogs,
        )
        results.append(play(plan))
        show(results[-1])
    report({"runs": results}, options.json)
    return 0 if all(result["kept"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
