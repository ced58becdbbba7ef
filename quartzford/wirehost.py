"""The simulator's wire: one Balancer per instance, nothing decided here. Run as a module."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.decision.logic import Balancer
from quartzford.settings.decision_settings import read_settings

STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
KINDS = {"D": "changes", "F": "whole", "C": "stale", "X": "failed"}
HINT, REPEAT = 1, 2  # bits of a request's options


class WireError(Exception):
    """A line that breaks the wire's form."""


def _entry(row: list[Any]) -> io.Endpoint:
    server, zone, kind, cell, state, units, started = row
    return io.Endpoint(server, zone, kind, cell, STATES[state], units or 1.0, started or 0.0)


def _request(i: list[Any]) -> io.Event:
    request, key, hint, name, bits, budget, tenant = i
    work = (hint or 0.0) if bits & HINT else 0.0
    return io.Request(request, name, budget, tenant or "", key or "", work, bool(bits & REPEAT))


def _outcome(v: list[Any]) -> io.Event:
    request, attempt, server, code, spent, final, report = v
    return io.AttemptEnded(request, attempt, server, code, spent, bool(final), tuple(report or ()))


def _probed(v: list[Any]) -> io.Event:
    code, spent, server, report = v
    return io.HealthChecked(server, code, spent, tuple(report or ()))


def _list(v: list[Any]) -> io.Event:
    return io.EndpointListUpdate(KINDS[v[1]], tuple(_entry(row) for row in v[2] or ()))


# name: (number of values after the instance, reader)
EVENTS: dict[str, tuple[int, Callable[[list[Any]], io.Event | None]]] = {
    "TOPOLOGY": (3, _list),
    "KNOCK": (7, _request),
    "TIMEOUT_FIRED": (1, lambda v: io.Timer(v[0])),
    "VERDICT": (7, _outcome),
    "VANISHED": (1, lambda v: io.ClientDisconnected(v[0])),
    "ACK_FIRST": (4, lambda v: io.ResponseStarted(*v)),
    "PONG": (4, _probed),
    "PEER": (2, lambda v: None),  # instances share nothing
}


def write_action(instance: int, action: io.Action) -> list[Any]:
    """An action of one instance in the form of the wire."""
    match action:
        case io.Send(request, server, time_out, _):
            return ["ROUTE", instance, request, server, time_out]
        case io.Shed(request, pause, _):
            return ["NOT_NOW", instance, request, pause]
        case io.Fail(request):
            return ["DROP_REQUEST", instance, request]
        case io.Cancel(request, attempt):
            return ["CANCEL", instance, request, attempt]
        case io.HealthCheck(server):
            return ["INSPECT", instance, server]
        case io.SetTimer(after, token):
            return ["WAKE_ME", instance, after, token]
        case io.Watch():
            return ["OBSERVE", instance, True]
        case io.Log(text):
            return ["EMIT", instance, text]


class Host:
    """The instances of one process."""

    def __init__(self) -> None:
        self.now = 0.0
        self.balancers: dict[int, Balancer] = {}

    def line(self, message: Any) -> list[list[Any]]:
        """Take one message, give back the actions it led to."""
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError("not an array that begins with a name")
        name, values = message[0], message[1:]
        if name == "TICK":
            self._count(name, values, 1)
            self.now = float(values[0])
            return []
        if name == "BEGIN":
            self._count(name, values, 3)
            instance, salt, config = values
            return self._guarded(instance, lambda: self._begin(instance, salt, config))
        if name == "CRASH_NOW":
            self._count(name, values, 1)
            self._known(values[0])
            del self.balancers[values[0]]
            return []
        if name not in EVENTS:
            raise WireError(f"unknown message {name!r}")
        count, reader = EVENTS[name]
        self._count(name, values, count + 1)
        balancer = self._known(values[0])
        try:
            event = reader(values[1:])
        except (TypeError, ValueError, KeyError, IndexError) as error:
            raise WireError(f"{name}: {error!r}") from error
        if event is None:
            return []
        return self._guarded(values[0], lambda: balancer.handle(self.now, event))

    def _begin(self, instance: int, salt: int, config: dict[str, Any]) -> list[io.Action]:
        self.balancers[instance] = Balancer(read_settings(config), salt)
        return []

    def _guarded(self, instance: int, call: Callable[[], list[io.Action]]) -> list[list[Any]]:
        """An exception in the module is that instance's BUG."""
        try:
            return [write_action(instance, action) for action in call()]
        except Exception as error:
            return [["BUG", instance, f"{type(error).__name__}: {error}"]]

    def _known(self, instance: Any) -> Balancer:
        if not isinstance(instance, int) or instance not in self.balancers:
            raise WireError(f"instance {instance!r} never began")
        return self.balancers[instance]

    @staticmethod
    def _count(name: str, values: list[Any], wanted: int) -> None:
        if len(values) != wanted:
            raise WireError(f"{name}: {len(values)} values, {wanted} wanted")


def run(source: TextIO, sink: TextIO) -> None:
    """Answer each batch of messages, one a line, until the source ends; WireError names a malformed line."""
    host = Host()
    replies: list[str] = []
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            message = json.loads(text)
            if isinstance(message, list) and message and message[0] == "FLUSH":
                replies.append('["YIELD"]\n')
                sink.write("\n".join(replies))
                sink.flush()
                replies = []
                continue
            replies.extend(json.dumps(action) for action in host.line(message))
        except (WireError, json.JSONDecodeError, ValueError, TypeError) as error:
            raise WireError(f"line {number}: {error}") from error


def main() -> int:
    """Serve standard input until it ends; 1 after a malformed line."""
    load_arrays()  # one load for many instances
    try:
        run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
