"""The fixed figures of bench.fleetmodel, the modules' settings, and the plan of a play."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.decision import interface as io

START, COLD_MS, TIP, FALL_MS = 0.13, 24_000.0, 4.0, 2_000.0
HANDSHAKE_MS, CAP, CORES = 1.2, 180, 4
CONNECT_MS, DEADLINE_MS, WAIT = 250.0, 2_000.0, 0.45
NOTICE_MS, SPREAD_MS = 4_000.0, 400.0
CALL_MS, TURN_MS = 8.0, 2_000.0
ZONES = ("north", "south", "east")
CLASSES = (
    io.ServiceClass("consulta", 500.0, DEADLINE_MS, priority_weight=1.0, effect="free"),
    io.ServiceClass(
        "reserva", 600.0, DEADLINE_MS, priority_weight=10.0, effect="keyed", group="cell", window_ms=2e3
    ),
    io.ServiceClass("cobro", 600.0, DEADLINE_MS, priority_weight=8.0, effect="unsafe"),
)
SHARES, WORK_MS = (0.47, 0.43, 0.10), (115.0, 150.0, 130.0)
MEAN_MS = sum(share * work for share, work in zip(SHARES, WORK_MS, strict=True))
LOAD = 0.6
BURST_MS = (6_000.0, 9_000.0)  # from and until, on the play's clock
DEPLOYED, DEPLOY_STEPS, DEPLOY_MS = 0.85, 5, 20_000.0
EPOCH_MS = 1e6  # the clock's start: times near 0 stand for long ago in the list


def settings(zone: str, balancers: int, asked: bool) -> io.Settings:
    return io.Settings(
        zone=zone,
        balancers=balancers,
        classes=CLASSES,
        report_fields=("depth",),
        polls_list=asked,
        prices=io.Prices(cross_zone=0.06, waste=0.05, handshake=0.08),
        rules=io.Rules(5.0, 250.0, 10_000.0, START, COLD_MS, TIP, FALL_MS),
        limits=io.Limits(max_attempts=4, may_cancel=True, retry_after=True, max_retry_after_ms=2_000.0),
    )


class Plan(NamedTuple):
    """What happens to whom.

    event: zone, join, deploy, restart, cold restart, newcomer, handover, bad or calm, at 4 s; cold start,
    at 0.

    rate: the part of the usual traffic. uneven: of the balancers a tenth sees five times what the others do.
    burst: the traffic during BURST_MS, as a multiple. cores: of each upstream.
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
