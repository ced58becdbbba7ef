"""Scripts of what is done to a run's processes.

Events are lines such as `1 kill nodes[:4] back 0.5` (started again so many seconds later), `2 term nodes[3]`,
`2 stop nodes[0]`, `4 cont nodes[0]`, `3 move nodes` (SIGHUP with discovery at another address), or
`0 loop nodes[:3] every 1 until 8` (killed and started again, over and over). Times are seconds from the
release. Members are named as in rig.faults.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from rig.faults import ScriptError, group_members


class EventKind(StrEnum):
    """What is done to processes. START is never written in a script; it follows from `back`."""

    KILL = "kill"
    TERM = "term"
    STOP = "stop"
    CONT = "cont"
    MOVE = "move"
    LOOP = "loop"
    START = "start"


SCRIPT_KINDS = tuple(kind for kind in EventKind if kind is not EventKind.START)
OPTIONS = frozenset({"back", "every", "until"})
NEVER = -1.0


@dataclass(frozen=True)
class ProcessEvent:
    """Something done to processes at a time. back: how much later they are started again."""

    at: float
    kind: EventKind
    targets: frozenset[str]
    back: float = NEVER
    every: float = 0.0
    until: float = 0.0


def _read_event(line: str, groups: dict[str, int]) -> ProcessEvent:
    words = line.split()
    at, kind, targets = float(words[0]), words[1], group_members(words[2], groups)
    rest = words[3:]
    options = {rest[n]: float(rest[n + 1]) for n in range(0, len(rest), 2)}
    if kind not in SCRIPT_KINDS or set(options) - OPTIONS:
        raise ScriptError(f"no such event; there are {', '.join(SCRIPT_KINDS)}")
    return ProcessEvent(at, EventKind(kind), targets, **options)


def read_events(text: str, groups: dict[str, int]) -> list[ProcessEvent]:
    """Return the events of a script in order of time; ScriptError names a line that is wrong."""
    events = []
    for line in filter(None, (line.partition("#")[0].strip() for line in text.splitlines())):
        try:
            events.append(_read_event(line, groups))
        except (IndexError, ValueError) as error:
            raise ScriptError(f"{line!r}: {error}") from None
    return sorted(events, key=lambda event: event.at)
