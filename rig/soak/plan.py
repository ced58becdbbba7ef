"""What happens in one soak, drawn from its seed: the same seed always gives the same plan."""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass
from typing import Any, NamedTuple

LONGEST_DEADLINE_S = 2.0  # of the classes of standins.site
KILL_MARGIN_S = 0.7  # the platform's, from the longest deadline to SIGKILL
TERM_TO_KILL_S = LONGEST_DEADLINE_S + KILL_MARGIN_S
RESTART_S = 1.0  # from a SIGKILL to the next start
LEAST_MEMORY_MB = 32
UPGRADE_MEMORY_MB = 192
DESCRIPTORS = 1024
WARM_UP_S = 2.0

CROWDS = (
    "idle",
    "endless_heads",
    "half_bodies",
    "slow_bodies",
    "slow_readers",
    "unread_answers",
    "short_fields",
    "mixed",
)
FLOODS = ("safe", "unsafe", "tenants", "fields", "bodies", "health", "one_id", "unsound")


class SignalPlan(NamedTuple):
    """A signal to the balancer. kind: "kill", "term" (SIGKILL follows), "upgrade" or "reload"."""

    at_s: float
    kind: str


class CrowdPlan(NamedTuple):
    """Many connections of one kind, from begin_s to end_s."""

    kind: str
    connections: int
    begin_s: float
    end_s: float


class FloodPlan(NamedTuple):
    """Clients at full speed, each a process with one connection, from begin_s to end_s."""

    kind: str
    processes: int
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class SoakPlan:
    """One soak. shares_core: the balancer shares one core with a busy process.

    upstream_queue: requests that wait at an upstream; above that it turns requests away. long_share: share of
    the usual clients' requests whose answers are long, slow or late.
    """

    seed: int
    seconds: float
    memory_mb: int
    descriptors: int
    shares_core: bool
    upstreams: int
    upstream_queue: int
    clients: int
    long_share: float
    signals: tuple[SignalPlan, ...] = ()
    crowds: tuple[CrowdPlan, ...] = ()
    floods: tuple[FloodPlan, ...] = ()

    def to_table(self) -> dict[str, Any]:
        """Return the plan as a JSON object."""
        return asdict(self)

    @classmethod
    def from_table(cls, table: dict[str, Any]) -> SoakPlan:
        """Return the plan that `to_table` has written."""
        return cls(
            **{
                **table,
                "signals": tuple(SignalPlan(*row) for row in table["signals"]),
                "crowds": tuple(CrowdPlan(*row) for row in table["crowds"]),
                "floods": tuple(FloodPlan(*row) for row in table["floods"]),
            }
        )


def make_plan(seed: int, seconds: float = 20.0) -> SoakPlan:
    """Return the plan of a seed."""
    rng = random.Random(f"soak {seed}")
    upgrades = rng.random() < 0.2
    memory_mb = UPGRADE_MEMORY_MB if upgrades else rng.choice((LEAST_MEMORY_MB, LEAST_MEMORY_MB, 64, 192))
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        memory_mb=memory_mb,
        descriptors=DESCRIPTORS,
        shares_core=rng.random() < 0.5 and not upgrades,  # in an upgrade there are twice the cores
        upstreams=rng.choice((6, 12, 20)),
        upstream_queue=rng.choice((12, 100)),
        clients=rng.choice((20, 60, 120)),
        long_share=rng.choice((0.0, 0.05, 0.2)),
        signals=_signals(rng, seconds, upgrades),
        crowds=_crowds(rng, seconds),
        floods=_floods(rng, seconds),
    )


def _signals(rng: random.Random, seconds: float, upgrades: bool) -> tuple[SignalPlan, ...]:
    """Return a series of signals: each comes when the process before it has been up for a while."""
    signals: list[SignalPlan] = []
    at = WARM_UP_S + rng.uniform(0.5, 5.0)
    while at < seconds - TERM_TO_KILL_S - 1.0 and rng.random() < 0.8:
        kind = rng.choice(("kill", "term", "reload"))
        if upgrades:
            kind = "upgrade"
        signals.append(SignalPlan(round(at, 3), kind))
        at += {"kill": RESTART_S, "term": TERM_TO_KILL_S + RESTART_S, "upgrade": 6.0}.get(kind, 0.0)
        at += rng.choice((rng.uniform(0.3, 1.0), rng.uniform(1.0, 6.0)))
    return tuple(signals)


def _crowds(rng: random.Random, seconds: float) -> tuple[CrowdPlan, ...]:
    crowds = []
    for _ in range(rng.choice((0, 1, 1, 2))):
        begin, end = _span(rng, seconds)
        crowds.append(CrowdPlan(rng.choice(CROWDS), rng.choice((100, 200, 330)), begin, end))
    return tuple(crowds)


def _floods(rng: random.Random, seconds: float) -> tuple[FloodPlan, ...]:
    floods = []
    for _ in range(rng.choice((0, 1, 1, 2))):
        begin, end = _span(rng, seconds)
        floods.append(FloodPlan(rng.choice(FLOODS), rng.choice((1, 3, 6)), begin, end))
    return tuple(floods)


def _span(rng: random.Random, seconds: float) -> tuple[float, float]:
    begin = rng.uniform(WARM_UP_S, max(WARM_UP_S, seconds - 8.0))
    return round(begin, 3), round(min(seconds - 1.0, begin + rng.uniform(4.0, 7.0)), 3)
