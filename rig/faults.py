"""Faults of links by a script, with times counted from the release. No I/O.

A script is lines of text, such as

    5 cut nodes[:100] lists until 9        # nothing passes, new connections hang
    5 silent lists nodes[0] until 9        # one direction only: what lists say to nodes[0] is held back
    0 delay 0.2~0.1 nodes lists until 30   # seconds, and how much more at most
    2 loss 0.2 nodes nodes until 12        # of datagrams; TCP has its own remedy, and gets a delay
    2 trickle 4000 lists nodes             # bytes a second, both ways
    6 reset nodes lists                    # what stands breaks, once

Members are named by group: `nodes`, `nodes[3]`, `nodes[10:20]`, `lists`, or any other group of the run. A
line without `until` holds to the end. What several lines say of one link adds up.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

KINDS = ("cut", "silent", "refuse", "delay", "loss", "double", "reorder", "trickle", "reset")
KINDS_WITH_VALUE = ("delay", "loss", "double", "reorder", "trickle")
MEMBERS = re.compile(r"(\w+)(?:\[(-?\d*)(:?)(-?\d*)\])?\Z")
REORDER_S = 0.05  # how far a reordered datagram falls behind


class ScriptError(ValueError):
    """A line that can't be played; the text names it and the reason."""


@dataclass(frozen=True)
class Fault:
    """One line. From every member of `first` to every member of `second`: both ways, but for silent."""

    at: float
    kind: str
    first: frozenset[str]
    second: frozenset[str]
    until: float = float("inf")
    value: float = 0.0
    jitter: float = 0.0


class Conditions(NamedTuple):
    """What becomes of bytes from one end of a link to the other at some moment."""

    passes: bool = True
    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    rate: float = 0.0  # bytes a second; 0: no bound


class Link(NamedTuple):
    """Who talks to whom, by name: `nodes[3]`, `lists[0]`."""

    first: str
    second: str


def group_members(text: str, groups: Mapping[str, int]) -> frozenset[str]:
    """The names that a word of the script stands for."""
    found = MEMBERS.match(text)
    if found is None or found[1] not in groups:
        raise ScriptError(f"{text!r}: no such members; there are {', '.join(groups)}")
    size, name = groups[found[1]], found[1]
    if found[3]:
        numbers = range(size)[int(found[2]) if found[2] else None : int(found[4]) if found[4] else None]
    elif found[2]:
        if not 0 <= int(found[2]) < size:
            raise ScriptError(f"{text!r}: {name} are {size}")
        numbers = range(int(found[2]), int(found[2]) + 1)
    else:
        numbers = range(size)
    return frozenset(f"{name}[{n}]" for n in numbers)


def _number(text: str, line: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ScriptError(f"{line!r}: {text!r} is not a number") from None
    if not 0.0 <= value < float("inf"):
        raise ScriptError(f"{line!r}: {text!r} is not 0 or more")
    return value


def read_line(line: str, groups: Mapping[str, int]) -> Fault:
    """One line of a script as a fault; ScriptError names what is wrong with it."""
    words = line.split()
    try:
        at, kind, *rest = words
    except ValueError:
        raise ScriptError(f"{line!r}: a time, a fault and who is meant are wanted") from None
    if kind not in KINDS:
        raise ScriptError(f"{line!r}: no fault {kind!r}; there are {', '.join(KINDS)}")
    value, jitter = 0.0, 0.0
    if kind in KINDS_WITH_VALUE:
        if not rest:
            raise ScriptError(f"{line!r}: {kind} wants a figure")
        first, _, second = rest.pop(0).partition("~")
        value, jitter = _number(first, line), _number(second or "0", line)
        if kind in ("loss", "double", "reorder") and value > 1.0:
            raise ScriptError(f"{line!r}: {value} is not a share")
    until = float("inf")
    if len(rest) == 4 and rest[2] == "until":
        until = _number(rest[3], line)
        del rest[2:]
    if len(rest) != 2:
        raise ScriptError(f"{line!r}: two groups are wanted, and `until` a time or nothing")
    one, other = (group_members(word, groups) for word in rest)
    if until <= _number(at, line):
        raise ScriptError(f"{line!r}: it ends before it begins")
    return Fault(_number(at, line), kind, one, other, until, value, jitter)


def read_script(text: str, groups: Mapping[str, int]) -> tuple[Fault, ...]:
    """Every line that is not empty or a comment, in order of time."""
    lines = (line.partition("#")[0].strip() for line in text.splitlines())
    return tuple(sorted((read_line(line, groups) for line in lines if line), key=lambda f: f.at))


class Script:
    """What holds on a link at a moment."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)

    def affects(self, link: Link) -> bool:
        """Whether any line is about this link, so that it has to go through the fault proxy."""
        return any(True for _ in self._of(link))

    def _of(self, link: Link) -> Iterable[tuple[Fault, bool]]:
        """The faults of a link, and whether each names its ends in the link's order."""
        for fault in self.faults:
            if link.first in fault.first and link.second in fault.second:
                yield fault, True
            elif link.second in fault.first and link.first in fault.second:
                yield fault, False

    def conditions(self, link: Link, now: float, outbound: bool) -> Conditions:
        """What holds from link.first to link.second (outbound), or from second to first."""
        found = Conditions()
        for fault, same_direction in self._of(link):
            if not fault.at <= now < fault.until:
                continue
            match fault.kind:
                case "cut":
                    found = found._replace(passes=False)
                case "silent" if same_direction == outbound:
                    found = found._replace(passes=False)
                case "delay":
                    found = found._replace(
                        delay=found.delay + fault.value, jitter=found.jitter + fault.jitter
                    )
                case "loss":
                    found = found._replace(loss=1.0 - (1.0 - found.loss) * (1.0 - fault.value))
                case "double":
                    found = found._replace(double=max(found.double, fault.value))
                case "reorder":
                    found = found._replace(reorder=max(found.reorder, fault.value))
                case "trickle":
                    found = found._replace(rate=min(found.rate or float("inf"), fault.value))
        return found

    def opens(self, link: Link, now: float) -> str:
        """A new connection at this moment: "yes", "hangs" or "refused"."""
        kinds = {fault.kind for fault, _ in self._of(link) if fault.at <= now < fault.until}
        return "refused" if "refuse" in kinds else "hangs" if "cut" in kinds else "yes"

    def resets(self, link: Link) -> list[float]:
        """When what stands on a link breaks."""
        return [fault.at for fault, _ in self._of(link) if fault.kind == "reset"]

    def changes(self) -> list[float]:
        """Moments at which anything may change."""
        ends = (fault.until for fault in self.faults if fault.until < float("inf"))
        return sorted({fault.at for fault in self.faults} | set(ends))


def datagram_delays(conditions: Conditions, rng: random.Random) -> list[float]:
    """When copies of a datagram arrive, in seconds from now; none where it is lost."""
    if not conditions.passes or rng.random() < conditions.loss:
        return []
    copies = 2 if rng.random() < conditions.double else 1
    late = [conditions.delay + conditions.jitter * rng.random() for _ in range(copies)]
    return [at + (REORDER_S if rng.random() < conditions.reorder else 0.0) for at in late]


def stream_delay(conditions: Conditions, size: int, rng: random.Random, round_trip: float = 0.2) -> float:
    """How long a piece of a stream takes more: delay, what its length costs, and a loss's retransmission."""
    sending = size / conditions.rate if conditions.rate else 0.0
    wait = conditions.delay + conditions.jitter * rng.random() + sending
    tries = 0
    while tries < 6 and rng.random() < conditions.loss:
        wait += round_trip * 2.0**tries
        tries += 1
    return wait
