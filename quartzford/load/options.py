"""What is to be played, and against which target. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.trace import TraceRow

MAX_LATENESS_MS = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests are sent.

    connections: the most that a worker opens; 0: no limit. head: further header lines, each with its CRLF.
    initial_connections: of each worker, opened before its first request.
    """

    host: str
    port: int
    path: str = "/api"
    connections: int = 0
    head: str = ""
    initial_connections: int = 0


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """A run of the load generator. Arrivals come from a shape, from the rows of a trace or from a closed
    loop.

    spacing: of a shape's arrivals, "poisson" or "fixed". keys: how many session keys requests are drawn from;
    0: none. size: of request bodies, in bytes. speed: the offsets of a trace are divided by it.
    max_lateness_ms: a run whose generator was later than this at p99 is reported as unsound. warm_up_s:
    requests that are due before it are played and not measured. keep_think_times: requests of one tenant and
    key in a trace follow each other's responses, with their gaps. closed_clients: of each worker, clients
    that wait for their responses, in place of arrivals. keep_attempt_log: keep the outcome of each attempt by
    its id. report_progress: workers report how far they are while they run.
    """

    target: Target
    shape: str = "constant:100"
    seconds: float = 10.0
    spacing: str = "poisson"
    seed: int = 1
    workers: int = 1
    request_classes: tuple[RequestClass, ...] = DEFAULT_CLASSES
    tenants: tuple[tuple[str, float], ...] = ()
    keys: int = 0
    size: int = 0
    behaviour: ClientBehaviour = field(default_factory=ClientBehaviour)
    rows: tuple[TraceRow, ...] = ()
    speed: float = 1.0
    max_lateness_ms: float = MAX_LATENESS_MS
    warm_up_s: float = 0.0
    keep_think_times: bool = False
    closed_clients: int = 0
    keep_attempt_log: bool = False
    report_progress: bool = False
