"""Functions that drive a Balancer event by event, and the classes and rules of a sample site.

This is no simulator: each test supplies every event itself. All times are in milliseconds.
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
    """Return the settings of a small sample site, with these fields replaced."""
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
    """Return the endpoint s<number>. Two servers form a cell, and cells alternate between the zones."""
    cell = number // 2
    return io.Endpoint(f"s{number}", ZONES[cell % 2], "std", cell, state, units, started_ms)


def list_update(
    numbers: Iterable[int], kind: str = "stale", started_ms: float = 0.0
) -> io.EndpointListUpdate:
    """Return an endpoint list update with these servers. kind: a ListUpdateKind."""
    return io.EndpointListUpdate(kind, tuple(make_endpoint(n, started_ms=started_ms) for n in numbers))


def started_balancer(servers: int = 4, seed: int = 7, **changes: object) -> Balancer:
    """Return a balancer whose endpoint list has this many servers, all past their slow start."""
    balancer = Balancer(settings(**changes), seed)
    balancer.handle(0.0, list_update(range(servers)))
    return balancer


def use_all_servers(balancer: Balancer) -> Balancer:
    """Put all servers into the balancer's working set, whatever its request rate, and return the balancer."""
    balancer.endpoints.working_set.target_send_interval_ms = float("inf")
    balancer.endpoints.traffic.arrivals.add(0.0)
    balancer.endpoints.refresh_working_set(at_once=True)
    return balancer


def last_reported_load(server: Server) -> float:
    """Return the load in the server's last report; 0 if the server is not ready."""
    return float(server.owner.shares.reported_load[server.slot]) if server.slot >= 0 else 0.0


def sends(actions: list[io.Action]) -> list[io.Send]:
    """Return the attempts among these actions."""
    return [a for a in actions if isinstance(a, io.Send)]


def final_answers(actions: list[io.Action]) -> list[io.Action]:
    """Return the final answers among these actions that the balancer gives itself (Shed, Fail)."""
    return [a for a in actions if isinstance(a, io.Shed | io.Fail)]


def submit(
    balancer: Balancer, now: float, number: int, name: str = "read", budget_ms: float = 400.0
) -> Actions:
    """Return the balancer's actions for a new request. budget_ms: time until the request's deadline."""
    return balancer.handle(now, io.Request(number, name, budget_ms))


def attempt_ended(
    send: io.Send, attempt: int, code: str, spent_ms: float, final: bool = False
) -> io.AttemptEnded:
    """Return the event that ends an attempt. code: an Outcome."""
    return io.AttemptEnded(send.request, attempt, send.server, code, spent_ms, final or code == "ok")


def serve_request(
    balancer: Balancer, now: float, number: int, latency_ms: float = 10.0, name: str = "read"
) -> str:
    """Play a request that is answered after `latency_ms`, and return the name of its server."""
    send = sends(submit(balancer, now, number, name))[0]
    balancer.handle(now + latency_ms, attempt_ended(send, 0, "ok", latency_ms))
    return send.server
