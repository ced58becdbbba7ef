"""The four rules, read from the books of clients and nodos. No I/O.

A fleet account (standins.upstream, Registry.account): version; runs [when, id, class, key, block, dropped];
arrivals {nodo: [[when, life], ...]}; drains [nodo, address, told from, until or null]; births [nodo, life,
when, capacity, start_share, warm_s]; turned_away; overlapping; window_s. Times in seconds on the machine's
monotonic clock. A client's book: [id of the try, class, end] for every try.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from quartzford.load.clients import LOST, REFUSED, SERVED, RequestClass

DRAIN_S, SLACK_S = 0.25, 0.05
FALL_S, TIP = 2.0, 4.0


def request_of(identity: str) -> str:
    """A try's id without the number of the try: one client request."""
    return identity.rpartition("-")[0] or identity


def sends_after_drain(
    drains: Sequence[Any], sends: Iterable[tuple[str, float]], bound_s: float = DRAIN_S + SLACK_S
) -> tuple[int, float]:
    """Sends to a nodo (or an address, as the drains name it) later than the bound after its drain was told.

    The number of them, and the latest of all sends to a draining nodo, in seconds.
    """
    spans: dict[str, list[tuple[float, float]]] = {}
    for name, begun, until in drains:
        spans.setdefault(name, []).append((begun, float("inf") if until is None else until))
    count, latest = 0, 0.0
    for name, at in sends:
        for begun, until in spans.get(name, ()):
            if begun < at < until:
                latest = max(latest, at - begun)
                count += at - begun > bound_s
    return count, latest


def slow_start_breaches(
    births: Iterable[Any], arrivals: dict[str, Any], fall_s: float = FALL_S, tip: float = TIP
) -> dict[str, float]:
    """Fresh lives that were sent over `tip` times what they could do in `fall_s`, and the worst multiple."""
    lives, worst, over = 0, 0.0, 0
    for name, life, born, capacity, start_share, warm_up_s in births:
        lives += 1
        times = [at for at, of in arrivals.get(name, ()) if of == life and at - born < warm_up_s]
        most, first = 0.0, 0
        for last, at in enumerate(times):
            while times[first] < at - fall_s:
                first += 1
            middle = max(0.0, at - fall_s / 2 - born)
            able = capacity * min(1.0, start_share + (1 - start_share) * middle / warm_up_s)
            most = max(most, (last - first + 1) / (able * fall_s))
        worst, over = max(worst, most), over + (most > tip)
    return {"lives": lives, "worst_multiple": round(worst, 2), "over": over}


def effects_twice(runs: Iterable[Any], request_classes: dict[str, RequestClass], window_s: float) -> int:
    """Requests of keyed classes whose group is a block, that took effect twice."""
    effects: dict[str, list[tuple[float, int]]] = {}
    for at, _, name, key, block, _ in runs:
        kind = request_classes.get(name)
        if kind is None or kind.effect != "keyed" or kind.group == "all" or not key:
            continue
        done = effects.setdefault(key, [])
        if not any(where == block and at - when <= window_s for when, where in done):
            done.append((at, block))
    return sum(len(done) > 1 for done in effects.values())


def check_rules(
    account: dict[str, Any],
    tries: Sequence[Sequence[str]],
    request_classes: Iterable[RequestClass],
    twice: int = 0,
) -> dict[str, Any]:
    """What broke a rule, by rule; all 0 if none did. tries, twice: what the clients' books say."""
    known = {kind.name: kind for kind in request_classes}
    unsafe = {name for name, kind in known.items() if kind.effect == "unsafe"}
    guarded = unsafe | {n for n, kind in known.items() if kind.effect == "keyed" and kind.group != "all"}
    ran = Counter(identity for _, identity, *_ in account["runs"])
    by_request = Counter(request_of(i) for _, i, name, *_ in account["runs"] if name in unsafe)
    sends = ((name, at) for name, rows in account["arrivals"].items() for at, _ in rows)
    drained, latest = sends_after_drain([(d[0], d[2], d[3]) for d in account["drains"]], sends)
    cold = slow_start_breaches(account["births"], account["arrivals"])
    rules = {
        "lost: no whole answer": sum(end == LOST for _, _, end in tries),
        "answered twice": twice,
        "served but run by nobody": sum(end == SERVED and not ran[i] for i, _, end in tries),
        "refused though it ran": sum(end == REFUSED and ran[i] > 0 for i, n, end in tries if n in guarded),
        "unsafe requests run twice": sum(count > 1 for count in by_request.values()),
        "keyed requests with two effects": effects_twice(account["runs"], known, account["window_s"]),
        "two attempts of one request at once": account["overlapping"],
        "drain breaches": drained,
        "cold breaches": cold["over"],
    }
    return {
        "rules": rules,
        "kept": not any(rules.values()),
        "latest_send_after_drain_ms": round(latest * 1000, 1),
        "cold": cold,
        "drains": len(account["drains"]),
        "runs": len(account["runs"]),
        "turned_away": account["turned_away"],
    }
