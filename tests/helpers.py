"""Small tools for driving a Balancer by hand, and the classes and rules of a made-up site.

Not a simulator: every event is written by the test.
"""

from __future__ import annotations

from collections.abc import Iterable

from quartzford.decision import interface as io
from quartzford.decision.logic import Balancer
from quartzford.decision.server import Server

FREE = io.ServiceClass("read", 200.0, 800.0, priority_weight=1.0, effect="free")
KEYED_IN_CELL = io.ServiceClass(
    "book", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="cell", window_ms=60.0
)
KEYED_IN_ZONE = io.ServiceClass(
    "hold", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="zone", window_ms=300.0
)
KEYED_ANYWHERE = io.ServiceClass(
    "note", 200.0, 800.0, priority_weight=5.0, effect="keyed", group="all", window_ms=300.0
)
UNSAFE = io.ServiceClass("pay", 200.0, 800.0, priority_weight=8.0, effect="unsafe", window_ms=5_000.0)
STREAMING = io.ServiceClass("feed", 200.0, 800.0, priority_weight=1.0, effect="free", streaming=True)
CLASSES = (FREE, KEYED_IN_CELL, KEYED_IN_ZONE, KEYED_ANYWHERE, UNSAFE, STREAMING)
RULES = io.Rules(
    answer_slack_ms=20.0,
    drain_grace_ms=250.0,
    poll_interval_ms=10_000.0,
    slow_start_capacity=0.2,
    slow_start_ms=10_000.0,
    overload_multiple=3.0,
    overload_window_ms=2_000.0,
)
Actions = list[io.Action]
ZONES = ("north", "south")


def settings(**changes: object) -> io.Settings:
    """Settings of a small made-up site."""
    values: dict[str, object] = {
        "zone": "north",
        "balancers": 1,
        "classes": CLASSES,
        "rules": RULES,
        "limits": io.Limits(max_attempts=4, may_cancel=True),
    }
    values.update(changes)
    return io.Settings(**values)  # type: ignore[arg-type]


def make_endpoint(
    number: int, state: str = "ready", started_ms: float = 0.0, units: float = 1.0
) -> io.Endpoint:
    """Server s<number>; cells of two, zones in turn by cell."""
    cell = number // 2
    return io.Endpoint(f"s{number}", ZONES[cell % 2], "std", cell, state, units, started_ms)


def list_update(
    numbers: Iterable[int], kind: str = "stale", started_ms: float = 0.0
) -> io.EndpointListUpdate:
    """An update of the list with these servers; kind: a ListUpdateKind."""
    return io.EndpointListUpdate(kind, tuple(make_endpoint(n, started_ms=started_ms) for n in numbers))


def started_balancer(servers: int = 4, seed: int = 7, **changes: object) -> Balancer:
    """A balancer whose list has this many warm servers."""
    balancer = Balancer(settings(**changes), seed)
    balancer.handle(0.0, list_update(range(servers)))
    return balancer


def use_all_servers(balancer: Balancer) -> Balancer:
    """The same with all servers in its working set, however thin its traffic."""
    balancer.endpoints.working_set.target_send_interval_ms = float("inf")
    balancer.endpoints.traffic.arrivals.add(0.0)
    balancer.endpoints.refresh_working_set(at_once=True)
    return balancer


def last_reported_load(server: Server) -> float:
    """The load of its last report; 0 if it is not ready."""
    return float(server.owner.shares.reported_load[server.slot]) if server.slot >= 0 else 0.0


def sends(actions: list[io.Action]) -> list[io.Send]:
    """The attempts among these actions."""
    return [a for a in actions if isinstance(a, io.Send)]


def final_answers(actions: list[io.Action]) -> list[io.Action]:
    """The final answers among these actions that are not an upstream's."""
    return [a for a in actions if isinstance(a, io.Shed | io.Fail)]


def submit(
    balancer: Balancer, now: float, number: int, name: str = "read", budget_ms: float = 400.0
) -> Actions:
    """What the balancer does with a new request; budget_ms: its time left."""
    return balancer.handle(now, io.Request(number, name, budget_ms))


def attempt_ended(
    send: io.Send, attempt: int, code: str, spent: float, final: bool = False
) -> io.AttemptEnded:
    """The end of an attempt; code: an Outcome, spent: in milliseconds."""
    return io.AttemptEnded(send.request, attempt, send.server, code, spent, final or code == "ok")


def serve_request(
    balancer: Balancer, now: float, number: int, latency_ms: float = 10.0, name: str = "read"
) -> str:
    """A request that is answered after so many milliseconds; the server that it went to."""
    send = sends(submit(balancer, now, number, name))[0]
    balancer.handle(now + latency_ms, attempt_ended(send, 0, "ok", latency_ms))
    return send.server
