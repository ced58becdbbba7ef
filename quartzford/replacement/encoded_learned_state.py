"""Encoding of the learned state for a successor.

Each record in this module corresponds to a record of the decision module, with the same fields in the same
order. Other versions of the program read the encoded bytes, so encoded names and field order must not change.
`rename` maps an attribute to its encoded name if the two differ. New fields come last and have a default.
"""

from __future__ import annotations

import msgspec

from quartzford.decision import interface as io


class EncodedRate(msgspec.Struct, frozen=True):
    """The encoded form of a LearnedRate."""

    start: float = 0.0
    last: float = 0.0
    value: float = 0.0

    @classmethod
    def encode(cls, rate: io.LearnedRate) -> EncodedRate:
        """Return the encoded form of a rate."""
        return cls(rate.start, rate.last, rate.value)

    def decode(self) -> io.LearnedRate:
        """Return the rate; raise ValueError if a value is out of bounds."""
        return io.LearnedRate(self.start, self.last, self.value)


class EncodedEndpoint(
    msgspec.Struct, frozen=True, rename={"failure_rate": "failing", "slow_start_from_ms": "cold_from"}
):
    """The encoded form of a LearnedEndpoint."""

    name: str
    started_ms: float
    p: float
    cost: float
    latency: float
    report: float
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    suspect: bool = False
    tokens: float = 0.0
    tokens_ms: float = 0.0
    slow_start_from_ms: float = 0.0

    @classmethod
    def encode(cls, endpoint: io.LearnedEndpoint) -> EncodedEndpoint:
        """Return the encoded form of an endpoint."""
        return cls(*(getattr(endpoint, name) for name in cls.__struct_fields__))

    def decode(self) -> io.LearnedEndpoint:
        """Return the endpoint; raise ValueError if a value is out of bounds."""
        return io.LearnedEndpoint(**msgspec.structs.asdict(self))


class EncodedLearnedState(
    msgspec.Struct,
    frozen=True,
    rename={
        "in_maintenance": "by_hand",
        "maintenance_ended": "back",
        "typical_latencies": "usual",
        "completed_work": "ends",
        "in_time_work": "good",
        "shed_work": "refused",
        "shed_share": "shed",
        "decayed_ms": "shed_ms",
        "marginal_weight": "marginal",
    },
):
    """The encoded form of a LearnedState."""

    servers: tuple[EncodedEndpoint, ...] = ()
    in_maintenance: tuple[str, ...] = ()
    maintenance_ended: dict[str, float] = msgspec.field(default_factory=dict)
    arrivals: EncodedRate = EncodedRate()
    answers: EncodedRate = EncodedRate()
    typical_latencies: dict[str, float] = msgspec.field(default_factory=dict)
    peaks: tuple[tuple[float, float], ...] = ()
    retry_budget: float = 0.0
    tenants: dict[str, EncodedRate] = msgspec.field(default_factory=dict)
    completed_work: float = 0.0
    in_time_work: float = 0.0
    shed_work: float = 0.0
    shed_share: float = 0.0
    decayed_ms: float = 0.0
    marginal_weight: float = 0.5
    offers: tuple[tuple[float, str], ...] = ()

    @classmethod
    def encode(cls, state: io.LearnedState) -> EncodedLearnedState:
        """Return the encoded form of a state."""
        values = {name: getattr(state, name) for name in cls.__struct_fields__}
        values["servers"] = tuple(EncodedEndpoint.encode(server) for server in state.servers)
        values["arrivals"] = EncodedRate.encode(state.arrivals)
        values["answers"] = EncodedRate.encode(state.answers)
        values["tenants"] = {name: EncodedRate.encode(rate) for name, rate in state.tenants.items()}
        return cls(**values)

    def decode(self) -> io.LearnedState:
        """Return the state; raise ValueError if a value is out of bounds."""
        values = msgspec.structs.asdict(self)
        values["servers"] = tuple(server.decode() for server in self.servers)
        values["arrivals"] = self.arrivals.decode()
        values["answers"] = self.answers.decode()
        values["tenants"] = {name: rate.decode() for name, rate in self.tenants.items()}
        return io.LearnedState(**values)
