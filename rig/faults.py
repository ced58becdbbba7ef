"""Faults of links by a script, with times counted from the release. No I/O.

A script is lines of text, such as

    5 cut nodes[:100] lists until 9        # nothing passes, new connections hang
    5 silent lists nodes[0] until 9        # one direction only: what lists send to nodes[0] is held back
    5 refuse nodes lists until 9           # new connections are refused
    0 delay 0.2~0.1 nodes lists until 30   # seconds, and the largest jitter
    2 loss 0.2 nodes nodes until 12        # of datagrams; TCP retransmits, which costs a delay
    2 trickle 4000 lists nodes             # bytes per second, both ways
    6 reset nodes lists                    # existing connections break, once

`double` and `reorder` take the share of datagrams that arrive twice, or late. Members are named by group:
`nodes`, `nodes[3]`, `nodes[10:20]`, `lists`, or any other group of the run. A line without `until` holds to
the end. What several lines say of one link adds up.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

FOREVER = float("inf")
MEMBERS = re.compile(r"(\w+)(?:\[(-?\d*)(:?)(-?\d*)\])?\Z")
REORDER_S = 0.05  # how far a reordered datagram falls behind
ROUND_TRIP_S = 0.2  # until the first retransmission of a lost piece of a stream
MAX_RETRANSMISSIONS = 6


class FaultKind(StrEnum):
    """The faults that a script can name."""

    CUT = "cut"
    SILENT = "silent"
    REFUSE = "refuse"
    DELAY = "delay"
    LOSS = "loss"
    DOUBLE = "double"
    REORDER = "reorder"
    TRICKLE = "trickle"
    RESET = "reset"


KINDS_WITH_SHARE = (FaultKind.LOSS, FaultKind.DOUBLE, FaultKind.REORDER)
KINDS_WITH_VALUE = (FaultKind.DELAY, *KINDS_WITH_SHARE, FaultKind.TRICKLE)


class Opening(StrEnum):
    """What becomes of a new connection."""

    ACCEPTED = "yes"
    HANGS = "hangs"
    REFUSED = "refused"


class ScriptError(ValueError):
    """A line that can't be played; the text names it and the reason."""


@dataclass(frozen=True)
class Fault:
    """One line, from every member of `first` to every member of `second`: both ways, unless it is silent.

    at, until: seconds from the release. value: seconds, a share or bytes per second, by the kind.
    """

    at: float
    kind: FaultKind
    first: frozenset[str]
    second: frozenset[str]
    until: float = FOREVER
    value: float = 0.0
    jitter: float = 0.0


class Conditions(NamedTuple):
    """What becomes of bytes from one end of a link to the other at some moment.

    delay and jitter are in seconds; loss, double and reorder are shares; rate is in bytes per second, and 0
    for no bound.
    """

    passes: bool = True
    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    rate: float = 0.0


class Link(NamedTuple):
    """The two ends of a link, by name: `nodes[3]`, `lists[0]`."""

    first: str
    second: str


def group_members(text: str, groups: Mapping[str, int]) -> frozenset[str]:
    """Return the names that a word of a script stands for; ScriptError if there are no such members."""
    found = MEMBERS.match(text)
    if found is None or found[1] not in groups:
        raise ScriptError(f"{text!r}: no such members; there are {', '.join(groups)}")
    name, first, colon, last = found.groups()
    size = groups[name]
    if colon:
        numbers = range(size)[int(first) if first else None : int(last) if last else None]
    elif first:
        if not 0 <= int(first) < size:
            raise ScriptError(f"{text!r}: {name} are {size}")
        numbers = range(int(first), int(first) + 1)
    else:
        numbers = range(size)
    return frozenset(f"{name}[{n}]" for n in numbers)


def _number(text: str, line: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ScriptError(f"{line!r}: {text!r} is not a number") from None
    if not 0.0 <= value < FOREVER:
        raise ScriptError(f"{line!r}: {text!r} is not 0 or more")
    return value


def _kind(word: str, line: str) -> FaultKind:
    try:
        return FaultKind(word)
    except ValueError:
        raise ScriptError(f"{line!r}: no fault {word!r}; there are {', '.join(FaultKind)}") from None


def _take_value(kind: FaultKind, words: list[str], line: str) -> tuple[float, float]:
    """Take a fault's value and jitter off the front of the words, where its kind has them."""
    if kind not in KINDS_WITH_VALUE:
        return 0.0, 0.0
    if not words:
        raise ScriptError(f"{line!r}: {kind} wants a figure")
    first, _, second = words.pop(0).partition("~")
    value, jitter = _number(first, line), _number(second or "0", line)
    if kind in KINDS_WITH_SHARE and value > 1.0:
        raise ScriptError(f"{line!r}: {value} is not a share")
    return value, jitter


def read_line(line: str, groups: Mapping[str, int]) -> Fault:
    """Return one line of a script as a fault; ScriptError names what is wrong with it."""
    try:
        time, word, *words = line.split()
    except ValueError:
        raise ScriptError(f"{line!r}: a time, a fault and who is meant are wanted") from None
    kind = _kind(word, line)
    value, jitter = _take_value(kind, words, line)
    until = FOREVER
    if len(words) == 4 and words[2] == "until":
        until = _number(words[3], line)
        del words[2:]
    if len(words) != 2:
        raise ScriptError(f"{line!r}: two groups are wanted, and `until` a time or nothing")
    first, second = (group_members(word, groups) for word in words)
    at = _number(time, line)
    if until <= at:
        raise ScriptError(f"{line!r}: it ends before it begins")
    return Fault(at, kind, first, second, until, value, jitter)


def read_script(text: str, groups: Mapping[str, int]) -> tuple[Fault, ...]:
    """Return the faults of every line that is not empty or a comment, in order of time."""
    lines = (line.partition("#")[0].strip() for line in text.splitlines())
    faults = (read_line(line, groups) for line in lines if line)
    return tuple(sorted(faults, key=lambda fault: fault.at))


class Script:
    """What holds on a link at a moment."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)

    def affects(self, link: Link) -> bool:
        """Return whether any line is about this link, so that it has to go through the fault proxy."""
        return any(True for _ in self._faults_of(link))

    def _faults_of(self, link: Link) -> Iterable[tuple[Fault, bool]]:
        """Yield the faults of a link, and whether each names its ends in the link's order."""
        for fault in self.faults:
            if link.first in fault.first and link.second in fault.second:
                yield fault, True
            elif link.second in fault.first and link.first in fault.second:
                yield fault, False

    def conditions(self, link: Link, now: float, outbound: bool) -> Conditions:
        """Return what holds from link.first to link.second (outbound), or from second to first."""
        found = Conditions()
        for fault, same_direction in self._faults_of(link):
            if fault.at <= now < fault.until:
                found = _with_fault(found, fault, same_direction == outbound)
        return found

    def opening(self, link: Link, now: float) -> Opening:
        """Return what becomes of a new connection at this moment."""
        kinds = {fault.kind for fault, _ in self._faults_of(link) if fault.at <= now < fault.until}
        if FaultKind.REFUSE in kinds:
            return Opening.REFUSED
        return Opening.HANGS if FaultKind.CUT in kinds else Opening.ACCEPTED

    def resets(self, link: Link) -> list[float]:
        """Return when existing connections of a link break, in seconds from the release."""
        return [fault.at for fault, _ in self._faults_of(link) if fault.kind is FaultKind.RESET]

    def changes(self) -> list[float]:
        """Return the moments at which anything may change, in seconds from the release."""
        ends = (fault.until for fault in self.faults if fault.until < FOREVER)
        return sorted({fault.at for fault in self.faults} | set(ends))


def _with_fault(found: Conditions, fault: Fault, in_direction: bool) -> Conditions:
    """Add a fault to conditions. in_direction: whether the bytes go from its first to its second."""
    match fault.kind:
        case FaultKind.CUT:
            return found._replace(passes=False)
        case FaultKind.SILENT if in_direction:
            return found._replace(passes=False)
        case FaultKind.DELAY:
            return found._replace(delay=found.delay + fault.value, jitter=found.jitter + fault.jitter)
        case FaultKind.LOSS:
            return found._replace(loss=1.0 - (1.0 - found.loss) * (1.0 - fault.value))
        case FaultKind.DOUBLE:
            return found._replace(double=max(found.double, fault.value))
        case FaultKind.REORDER:
            return found._replace(reorder=max(found.reorder, fault.value))
        case FaultKind.TRICKLE:
            return found._replace(rate=min(found.rate or FOREVER, fault.value))
    return found


def datagram_delays(conditions: Conditions, rng: random.Random) -> list[float]:
    """Return when copies of a datagram arrive, in seconds from now; none if it is lost."""
    if not conditions.passes or rng.random() < conditions.loss:
        return []
    copies = 2 if rng.random() < conditions.double else 1
    delays = [conditions.delay + conditions.jitter * rng.random() for _ in range(copies)]
    return [at + (REORDER_S if rng.random() < conditions.reorder else 0.0) for at in delays]


def stream_delay(conditions: Conditions, size: int, rng: random.Random) -> float:
    """Return how much longer a piece of a stream takes, in seconds.

    This is the link's delay, the time that `size` bytes take, and the retransmissions after losses.
    """
    sending = size / conditions.rate if conditions.rate else 0.0
    wait = conditions.delay + conditions.jitter * rng.random() + sending
    retransmissions = 0
    while retransmissions < MAX_RETRANSMISSIONS and rng.random() < conditions.loss:
        wait += ROUND_TRIP_S * 2.0**retransmissions
        retransmissions += 1
    return wait
