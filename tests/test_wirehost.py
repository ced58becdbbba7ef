"""Tests of the simulator adapter, started as in deploy/balancer.toml, on a hand-written transcript."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
CONFIG: dict[str, Any] = {
    "blend": {"whole": 1.0},
    "classes": [
        {"name": "read", "sloMs": 100.0, "deadlineMs": 400.0, "value": 1.0, "effect": "free", "group": "all"},
        {"name": "pay", "sloMs": 100.0, "deadlineMs": 400.0, "value": 3.0, "effect": "single_shot"},
        {
            "name": "feed",
            "sloMs": 100.0,
            "deadlineMs": 400.0,
            "value": 1.0,
            "effect": "free",
            "streaming": True,
        },
    ],
    "customers": [{"name": "one", "quotaPerS": 50.0, "share": 1.0}],
    "guarantees": {
        "answerSlackMs": 20.0,
        "askEveryMs": 1000.0,
        "coldMs": 5000.0,
        "drainGraceMs": 250.0,
        "fallMs": 2000.0,
        "startCapacity": 0.2,
        "tipMultiple": 3.0,
    },
    "limits": {"maxAttempts": 3, "mayCancel": True},
    "myZone": "a",
    "nInstances": 3,
    "prices": {},
    "registryMode": "subscribe",
    "report": {"fields": ["depth"], "source": "inline"},
    "tickMs": 1.0,
    "weightSource": "nominal",
    "someNewKey": [1, 2],
}
ENDPOINT_ROWS = [[f"u{n}", "a" if n % 2 else "b", "std", n // 2, "in_service", 1, None] for n in range(4)]


def transcript() -> list[list[list[Any]]]:
    """Return batches of events for three instances; one of them is killed and restarted within a batch."""
    batches = [[["BEGIN", i, 11 + i, CONFIG] for i in range(3)]]
    batches[0] += [["TOPOLOGY", i, 1, "C", ENDPOINT_ROWS] for i in range(3)]
    for n in range(40):
        i = n % 3
        name = ("read", "pay", "feed")[n % 3]
        batches.append([["KNOCK", i, n, f"k/{n}", None, name, 0, 300.0, "one"], ["TIMEOUT_FIRED", i, 0]])
        if n == 20:
            batches.append(
                [["CRASH_NOW", 1], ["BEGIN", 1, 77, CONFIG], ["TOPOLOGY", 1, 2, "C", ENDPOINT_ROWS]]
            )
            batches.append([["TOPOLOGY", 0, 3, "X", []], ["PONG", 2, "ok", 1.5, "u1", [3]]])
            batches.append([["VANISHED", 0, 999], ["PEER", 2, 1, "hello"]])
            removed_row = ["u0", "b", "std", 0, "terminated", 1, None]
            batches.append(
                [["TOPOLOGY", 2, 4, "D", [removed_row, ["u9", "a", "std", 9, "in_service", 1, 30.0]]]]
            )
    return batches


class Adapter:
    """A running adapter process."""

    def __init__(self) -> None:
        command = DEPLOY["sim"].replace(".venv/bin/python", f"{sys.executable} -B")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def batch(self, now_ms: float, events: list[list[Any]]) -> list[list[Any]]:
        """Send the events of one moment and return the actions."""
        assert self.process.stdin and self.process.stdout
        for message in [["TICK", now_ms], *events, ["FLUSH"]]:
            self.process.stdin.write(json.dumps(message) + "\n")
        self.process.stdin.flush()
        actions = []
        while (message := json.loads(self.process.stdout.readline())) != ["YIELD"]:
            actions.append(message)
        return actions

    def close(self) -> None:
        """End the input; the adapter must exit without an error."""
        _, errors = self.process.communicate(timeout=20)
        assert self.process.returncode == 0 and errors == ""


def play(instances: tuple[int, ...]) -> dict[int, list[Any]]:
    """Play the transcript to these instances in one process; return each one's actions with their times.

    Every attempt is answered in the next batch, one in five requests with a rejection.
    """
    adapter, actions_by_instance, now_ms = Adapter(), {i: [] for i in instances}, 0.0
    for events in transcript():
        now_ms += 1.0
        pending = [e for e in events if e[1] in instances]
        for _ in range(8):
            actions = adapter.batch(now_ms, pending)
            now_ms += 1.0
            pending = []
            for action in actions:
                actions_by_instance[action[1]].append([now_ms, action])
                if action[0] == "ROUTE":
                    code = "ok" if action[2] % 5 else "full"
                    attempt = (
                        sum(a[0] == "ROUTE" and a[2] == action[2] for _, a in actions_by_instance[action[1]])
                        - 1
                    )
                    if action[2] % 3 == 2 and code == "ok":
                        pending.append(["ACK_FIRST", action[1], action[2], attempt, action[3], 0.5])
                    pending.append(
                        ["VERDICT", action[1], action[2], attempt, action[3], code, 1.0, code == "ok", [2]]
                    )
    adapter.close()
    return actions_by_instance


def test_instances_in_one_process_and_in_three_act_identically() -> None:
    together = play((0, 1, 2))
    separate = {i: play((i,))[i] for i in range(3)}
    assert together == separate
    names = {action[0] for actions in together.values() for _, action in actions}
    assert {"ROUTE", "WAKE_ME", "OBSERVE"} <= names
    routed = {a[2] for actions in together.values() for _, a in actions if a[0] == "ROUTE"}
    assert routed == set(range(40))


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("nonsense", "line 1"),
        ('["WHAT",1]', "unknown message 'WHAT'"),
        ('["TICK"]', "0 values, 1 expected"),
        ('["TIMEOUT_FIRED",3,77]', "instance 3 was never started"),
        ("{}", "not an array"),
        ('["TICK","soon"]', "line 1"),
    ],
)
def test_malformed_line_ends_adapter_with_one_error_line(line: str, message: str) -> None:
    adapter = Adapter()
    out, errors = adapter.process.communicate(line + "\n", timeout=20)
    assert adapter.process.returncode == 1 and out == ""
    assert message in errors and errors.count("\n") == 1


def test_module_exception_becomes_bug_message_of_its_instance() -> None:
    broken = CONFIG | {"classes": [CONFIG["classes"][0] | {"sloMs": -1.0}]}
    adapter = Adapter()
    actions = adapter.batch(0.0, [["BEGIN", 4, 1, broken]])
    assert [a[:2] for a in actions] == [["BUG", 4]] and "latency_objective_ms" in actions[0][2]
    adapter.close()
