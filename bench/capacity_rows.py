"""Rows of the capacity tables: a quantity, how it follows, and the bound that it is held against. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

ARITHMETIC = "arithmetic"


class RowKind(StrEnum):
    """The resource that a row is about, as the page names it."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR_TIME = "processor time"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    LATENCY = "latency"


class Unit(StrEnum):
    """The unit of a quantity; the model has no others."""

    BYTES = "bytes"
    BYTES_PER_S = "bytes/s"
    SECONDS = "s"
    CORES = "cores"
    SHARE = "share"
    NUMBER = "number"
    PER_S = "1/s"


class Basis(NamedTuple):
    """A quantity in the model's units, or None if it was not measured.

    derivation: how it follows, in words. run: the command whose figures back it.
    """

    value: float | None
    derivation: str
    run: str


class Bound(NamedTuple):
    """The most that a quantity may come to, in the same unit, and its source; None: nobody has given one."""

    value: float | None
    source: str


NO_BOUND = Bound(None, "")
NOT_OURS = Bound(None, "not ours")
NOT_GIVEN = Bound(None, "its own, not given")
ONE_CORE = Bound(1.0, "a process has one loop")
UNKNOWN = Basis(None, "", "")


@dataclass(frozen=True)
class Row:
    """One line of a role's table.

    what: the quantity, in words. carried_by: what provides it in today's program. mechanism: the one of the
    ranking that would have to provide it at the target's size; empty if the row has no part in the ranking.
    """

    role: str
    kind: RowKind
    what: str
    basis: Basis
    unit: Unit
    bound: Bound = NO_BOUND
    carried_by: str = "-"
    mechanism: str = ""

    def factor(self) -> float | None:
        """The quantity over its bound: more than 1 is missing; None where either is not known."""
        if self.basis.value is None or not self.bound.value:
            return None
        return self.basis.value / self.bound.value


def from_target(value: float, derivation: str) -> Basis:
    """A quantity that follows from the target alone."""
    return Basis(float(value), derivation, ARITHMETIC)
