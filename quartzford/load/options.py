"""The settings of a run of the load generator, and its target. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from quartzford.load.clients import DEFAULT_CLASSES, ClientBehaviour, RequestClass
from quartzford.load.trace import TraceRow

MAX_LATENESS_MS = 5.0


@dataclass(frozen=True, slots=True)
class Target:
    """The server to which requests are sent.

    connections: the maximum number of connections of a worker; 0: no limit. head: additional header lines,
    each with its CRLF. initial_connections: the number of connections that each worker opens before its first
    request.
    """

    host: str
    port: int
    path: str = "/api"
    connections: int = 0
    head: str = ""
    initial_connections: int = 0


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The settings of a run. Arrivals come from a shape, from the rows of a trace or from a closed loop.

    spacing: the spacing of a shape's arrivals, "poisson" or "fixed". keys: the number of different session
    keys; 0: requests have no key. size: the length of request bodies, in bytes. speed: the offsets of a trace
    are divided by this factor. max_lateness_ms: if the p99 of the generator's own lateness is higher, the
    result of the run is reported as unreliable. warm_up_s: requests that are due in the first warm_up_s
    seconds are sent but not measured. keep_think_times: of the requests in a trace with the same tenant and
    key, each is sent after the response to the previous one, with the gap that the trace has.
    closed_clients: if not 0, each worker runs this number of clients in a closed loop, which wait for the
    response before the next request. keep_attempt_log: keep the outcome of each attempt by its id.
    report_progress: workers report their progress during the run.
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
