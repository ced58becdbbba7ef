"""Adapter between the simulator and the decision module: `python -m quartzford.wirehost`.

Translates the simulator's messages into events and the actions back into messages, with one Balancer per
simulated instance. Decides nothing.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from quartzford.decision import interface as io
from quartzford.decision.columns import load_arrays
from quartzford.decision.logic import Balancer
from quartzford.settings.decision_settings import read_settings

ENDPOINT_STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
LIST_UPDATE_KINDS = {"D": "changes", "F": "whole", "C": "stale", "X": "failed"}
WORK_HINT_BIT, REPEAT_BIT = 1, 2  # in the options of a request


class WireError(Exception):
    """A malformed message of the simulator."""


def _read_endpoint(row: list[Any]) -> io.Endpoint:
    server, zone, kind, cell, state, units, started_ms = row
    return io.Endpoint(server, zone, kind, cell, ENDPOINT_STATES[state], units or 1.0, started_ms or 0.0)


def _read_request(values: list[Any]) -> io.Event:
    request, key, hint, class_name, options, budget_ms, tenant = values
    work_ms = (hint or 0.0) if options & WORK_HINT_BIT else 0.0
    return io.Request(
        request, class_name, budget_ms, tenant or "", key or "", work_ms, bool(options & REPEAT_BIT)
    )


def _read_attempt_end(values: list[Any]) -> io.Event:
    request, attempt, server, code, spent_ms, final, report = values
    return io.AttemptEnded(request, attempt, server, code, spent_ms, bool(final), tuple(report or ()))


def _read_health_check(values: list[Any]) -> io.Event:
    code, spent_ms, server, report = values
    return io.HealthChecked(server, code, spent_ms, tuple(report or ()))


def _read_list_update(values: list[Any]) -> io.Event:
    return io.EndpointListUpdate(
        LIST_UPDATE_KINDS[values[1]], tuple(_read_endpoint(row) for row in values[2] or ())
    )


# Message name: (number of values after the instance, function that reads them into an event)
EVENTS: dict[str, tuple[int, Callable[[list[Any]], io.Event | None]]] = {
    "TOPOLOGY": (3, _read_list_update),
    "KNOCK": (7, _read_request),
    "TIMEOUT_FIRED": (1, lambda values: io.Timer(values[0])),
    "VERDICT": (7, _read_attempt_end),
    "VANISHED": (1, lambda values: io.ClientDisconnected(values[0])),
    "ACK_FIRST": (4, lambda values: io.ResponseStarted(*values)),
    "PONG": (4, _read_health_check),
    "PEER": (2, lambda values: None),  # ignored: instances share no state
}


def write_action(instance: int, action: io.Action) -> list[Any]:
    """Return the message for an action of one instance."""
    match action:
        case io.Send(request, server, time_out_ms, _):
            return ["ROUTE", instance, request, server, time_out_ms]
        case io.Shed(request, pause_ms, _):
            return ["NOT_NOW", instance, request, pause_ms]
        case io.Fail(request):
            return ["DROP_REQUEST", instance, request]
        case io.Cancel(request, attempt):
            return ["CANCEL", instance, request, attempt]
        case io.HealthCheck(server):
            return ["INSPECT", instance, server]
        case io.SetTimer(after_ms, token):
            return ["WAKE_ME", instance, after_ms, token]
        case io.Watch():
            return ["OBSERVE", instance, True]
        case io.Log(text):
            return ["EMIT", instance, text]


class Host:
    """The balancer instances of one process."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.balancers: dict[int, Balancer] = {}

    def handle(self, message: Any) -> list[list[Any]]:
        """Process one message and return the resulting actions; raise WireError if it is malformed."""
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError("not an array that begins with a message name")
        name, values = message[0], message[1:]
        if name == "TICK":
            self._check_count(name, values, 1)
            self.now_ms = float(values[0])
            return []
        if name == "BEGIN":
            self._check_count(name, values, 3)
            instance, salt, config = values
            return self._run_guarded(instance, lambda: self._begin(instance, salt, config))
        if name == "CRASH_NOW":
            self._check_count(name, values, 1)
            self._balancer_of(values[0])
            del self.balancers[values[0]]
            return []
        if name not in EVENTS:
            raise WireError(f"unknown message {name!r}")
        count, reader = EVENTS[name]
        self._check_count(name, values, count + 1)
        balancer = self._balancer_of(values[0])
        try:
            event = reader(values[1:])
        except (TypeError, ValueError, KeyError, IndexError) as error:
            raise WireError(f"{name}: {error!r}") from error
        if event is None:
            return []
        return self._run_guarded(values[0], lambda: balancer.handle(self.now_ms, event))

    def _begin(self, instance: int, salt: int, config: dict[str, Any]) -> list[io.Action]:
        self.balancers[instance] = Balancer(read_settings(config), salt)
        return []

    def _run_guarded(self, instance: int, call: Callable[[], list[io.Action]]) -> list[list[Any]]:
        """Return the messages for a call's actions; an exception in it becomes the instance's BUG message."""
        try:
            return [write_action(instance, action) for action in call()]
        except Exception as error:
            return [["BUG", instance, f"{type(error).__name__}: {error}"]]

    def _balancer_of(self, instance: Any) -> Balancer:
        if not isinstance(instance, int) or instance not in self.balancers:
            raise WireError(f"instance {instance!r} was never started")
        return self.balancers[instance]

    @staticmethod
    def _check_count(name: str, values: list[Any], expected: int) -> None:
        if len(values) != expected:
            raise WireError(f"{name}: {len(values)} values, {expected} expected")


def run(source: TextIO, sink: TextIO) -> None:
    """Answer each batch of messages, one per line, until the source ends.

    Raises a WireError with the line number if a line is malformed.
    """
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
            replies.extend(json.dumps(action) for action in host.handle(message))
        except (WireError, json.JSONDecodeError, ValueError, TypeError) as error:
            raise WireError(f"line {number}: {error}") from error


def main() -> int:
    """Serve standard input until it ends; return the exit status, which is 1 after a malformed line."""
    load_arrays()  # once for all instances
    try:
        run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
