"""The fixed figures of bench.fleetmodel, the decision modules' settings, and the plan of a play."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.decision import interface as io

EPOCH_MS = 1e6  # the clock's start: times near 0 are long ago in the list
EVENT_MS = 4_000.0  # from there to the mass event

# Slow start, as io.Rules has it.
SLOW_START_CAPACITY, SLOW_START_MS = 0.13, 24_000.0
OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS = 4.0, 2_000.0

# Upstreams.
CORES, CELL_SIZE, MAX_CONNECTIONS = 4, 4, 180
FAST_SHARE, FAST_SPEED, SLOW_SPEED = 0.61, (1.3, 1.7), (0.85, 1.1)
HANDSHAKE_MS = 1.2  # of an upstream's work
LOAD_SHARE = 0.6  # of all upstreams' capacity, in the usual traffic

# The network: one way within a zone and between two, and the factor that is drawn.
ZONES = ("north", "south", "east")
SAME_ZONE_MS, OTHER_ZONE_MS, NETWORK_SPREAD = 0.25, 1.0, (0.8, 1.3)
CONNECT_TIMEOUT_MS = 250.0

# Clients.
DEADLINE_MS = 2_000.0
CLIENT_TIMEOUT_MS = 0.45 * DEADLINE_MS  # of one request
MAX_REQUESTS = 3  # of a client for one wish
HEEDS_PAUSE_SHARE, RETRY_PAUSES_MS = 1 / 3, (1.0, 100.0)
BURST_MS = (6_000.0, 9_000.0)  # from and until, on the play's clock
HOT_EVERY, HOT_WEIGHT = 10, 5.0  # uneven traffic: one balancer in so many gets so many times the others' part

# Discovery.
NOTIFICATION_MS, NOTIFICATION_SPREAD_MS = 4_000.0, 400.0
LIST_CALL_MS, MAX_LIST_WAIT_MS = 8.0, 2_000.0
MAX_CALL_PAUSE_S = 10.0

CLASSES = (
    io.ServiceClass("consulta", 500.0, DEADLINE_MS, priority_weight=1.0, effect="free"),
    io.ServiceClass(
        "reserva", 600.0, DEADLINE_MS, priority_weight=10.0, effect="keyed", group="cell", window_ms=2e3
    ),
    io.ServiceClass("cobro", 600.0, DEADLINE_MS, priority_weight=8.0, effect="unsafe"),
)
CLASS_SHARES, WORK_MS = (0.47, 0.43, 0.10), (115.0, 150.0, 130.0)  # by class; work at speed 1
WORK_LOG_MEAN, WORK_LOG_DEVIATION = -0.1, 0.45  # of the lognormal factor on it
MEAN_WORK_MS = sum(share * work for share, work in zip(CLASS_SHARES, WORK_MS, strict=True))


def settings(zone: str, balancers: int, polls_list: bool) -> io.Settings:
    """The settings of a decision module in a zone, one of so many."""
    return io.Settings(
        zone=zone,
        balancers=balancers,
        classes=CLASSES,
        report_fields=("depth",),
        polls_list=polls_list,
        prices=io.Prices(cross_zone=0.06, waste=0.05, handshake=0.08),
        rules=io.Rules(
            answer_slack_ms=5.0,
            drain_grace_ms=250.0,
            poll_interval_ms=10_000.0,
            slow_start_capacity=SLOW_START_CAPACITY,
            slow_start_ms=SLOW_START_MS,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window_ms=OVERLOAD_WINDOW_MS,
        ),
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=2_000.0),
    )


class Plan(NamedTuple):
    """What happens to whom. The fields are keys of bench.fleetmodel's argument, also in earlier checkouts.

    event: zone, join, deploy, restart, cold restart, newcomer, handover, bad or calm, at 4 s; cold start,
    at 0. asked: balancers poll the list. rate: the part of the usual traffic. uneven: of the balancers a
    tenth sees five times what the others do. burst: the traffic during BURST_MS, as a multiple. cores: of
    each upstream.
    """

    balancers: int
    upstreams: int
    event: str
    seconds: float = 20.0
    seed: int = 1
    asked: bool = False
    rate: float = 1.0
    uneven: bool = False
    burst: float = 1.0
    cores: int = CORES
