"""Metrics lines of a balancer for experiments, and their aggregation over a fleet by bench.fleetlog."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
import uvloop
from peers import BalancerTestbed, Message, never_responds, reply, request, responds_with, wait_until

from bench import fleetlog
from quartzford.metrics import MetricsReporter, parse_interval_s
from quartzford.settings.configuration import ConfigError


def lines_of_topic(text: str, topic: str) -> list[dict[str, Any]]:
    return [
        json.loads(line.partition(": ")[2]) for line in text.splitlines() if line.startswith(topic + ": ")
    ]


def test_traced_request_line_lists_its_attempts_in_order(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """A request with a rejected and a successful attempt has one line with both, in order, with their times.

    A request whose client disconnects has a line too, and no trace of a completed request stays in memory.
    """
    monkeypatch.setenv("QUARTZFORD_WAYS", "1")

    async def test() -> None:
        async with BalancerTestbed(2) as testbed:
            reporter = MetricsReporter(testbed.node, 0.05)

            async def reject_once(message: Message, writer: asyncio.StreamWriter) -> None:
                testbed.upstreams[0].script = testbed.upstreams[1].script = responds_with(reply())
                writer.write(reply(b"", "503 Full", "X-Unprocessed: 1\r\n"))

            testbed.upstreams[0].script = testbed.upstreams[1].script = reject_once
            assert (await testbed.submit(request(identity="c1"))).status == 200
            await wait_until(
                lambda: reporter.previous_counts.get("ends", {}).get("ok")
            )  # a line was written, and a connection is idle
            testbed.upstreams[0].script = testbed.upstreams[1].script = never_responds
            reader, writer = await testbed.connect()
            writer.write(request("pay", b""))
            await wait_until(
                lambda: any(
                    up.received[-1:] and up.received[-1].line.startswith("POST") for up in testbed.upstreams
                )
            )
            writer.close()
            await wait_until(lambda: not testbed.node.engine.pending_requests)
            testbed.update(testbed.list_row(0, "draining"))
            await wait_until(lambda: not testbed.node.pool.upstreams["s0"].ready)
            count_names = len(testbed.node.engine.counts)
            await wait_until(lambda: len(reporter.previous_counts["ends"]) == count_names)
            assert reporter.attempt_traces == {}

    uvloop.run(asyncio.wait_for(test(), 60))
    text = capsys.readouterr().err
    served, aborted = lines_of_topic(text, "way")
    assert served["id"] == "c1" and served["how"] == "served" and served["class"] == "read"
    assert [row[4] for row in served["tries"]] == ["full in its answer", "ok"]
    times = [at for row in served["tries"] for at in row[1:4]]
    assert times == sorted(times) and served["at"] >= times[-1] - 0.1 and served["left"] > served["at"]
    assert aborted["how"] == "client gone" and aborted["class"] == "pay" and len(aborted["tries"][0]) == 2
    (update,) = lines_of_topic(text, "news")
    assert [row[:1] + row[4:5] for row in update["rows"]] == [["s0", "draining"]] and not update["whole"]
    counts = lines_of_topic(text, "counts")
    assert sum(row["classes"].get("served read", 0) for row in counts) == 1
    assert all(row["memory_kb"] > 1_000 for row in counts)
    assert sum(row["process"].get("cpu_us", 0) for row in counts) > 0
    assert max(sum(row["held_at"].values()) for row in counts) >= 1
    (tmp_path / "n0.log").write_text(text)
    followed = fleetlog.follow(tmp_path, "c1")
    assert any("ok after" in line for line in followed) and any("s0 is draining" in line for line in followed)


@pytest.mark.parametrize("text", ["", "x", "0", "0.01", "nan", "3601", "-1"])
def test_invalid_interval_raises_error_naming_the_variable(text: str) -> None:
    with pytest.raises(ConfigError, match="QUARTZFORD_COUNTS_S"):
        parse_interval_s(text)


def counts_line(**changes: Any) -> str:
    row: dict[str, Any] = {
        "at": 1_000,
        "zone": "a",
        "list": {},
        "ends": {},
        "causes": {},
        "sends": {},
        "classes": {},
        "process": {"cpu_us": 10},
        "opened": {},
        "cold": {},
        "held_at": {},
        "usual": {"x": 10.0},
        "memory_kb": 5,
        **dict.fromkeys((*fleetlog.SUMS, *fleetlog.MEANS), 0.0),
    }
    return "1.0 counts: " + json.dumps(row | changes) + "\n"


def test_counts_of_200_logs_are_merged_by_second_and_by_zone(tmp_path: Path) -> None:
    for number in range(200):
        text = counts_line(
            ends={"ok": 2}, held_at={"s1": 3}, held=3, zone="ab"[number % 2], shed=number / 200
        )
        text += counts_line(at=2_000, ends={"ok": 1}) + counts_line(at=2_500)[:60] + "\nnot a line\n"
        (tmp_path / f"n{number}.log").write_text(text)
    first, second = fleetlog.merge(fleetlog.read_counts(tmp_path))
    assert first["balancers"] == second["balancers"] == 200
    assert first["ends"] == {"ok": 400} and second["ends"] == {"ok": 200}
    assert first["held"] == 600 and first["held_at_most"] == 600 and first["shed_most"] == 0.995
    assert fleetlog.merge(fleetlog.read_counts(tmp_path, "b"))[0]["balancers"] == 100


def test_cold_peaks_add_sends_in_any_window_over_the_fleet(tmp_path: Path) -> None:
    """Ten balancers each make two sends while the server is cold. Sends before its start do not count."""
    for number in range(10):
        started_row = ["s1", "a", "std", 0, "ready", 1.0, 10_000.0]
        update = {
            "at": 10_000.0,
            "rows": [started_row, ["s2", "a", "std", 0, "ready", 1.0, 0.0]],
            "missing": [],
        }
        sends = [11_000.0 + 100.0 * number, 12_450.0 + 1_000.0 * number, 9_000.0]
        traces = [
            {"at": at, "id": "c", "tries": [["s1", at, at, at, "ok"], ["s2", at, at, at, "ok"]]}
            for at in sends
        ]
        text = "".join(f"1.0 way: {json.dumps(trace)}\n" for trace in traces)
        (tmp_path / f"n{number}.log").write_text(f"1.0 news: {json.dumps(update)}\n{text}")
    times = sorted([11_000.0 + 100.0 * n for n in range(10)] + [12_450.0 + 1_000.0 * n for n in range(10)])
    expected = max(sum(at <= other < at + 2_000.0 for other in times) for at in times)
    assert fleetlog.cold_peaks(tmp_path, 2.0, 24_000.0) == {"s1": (expected, 1_000.0)}
    assert fleetlog.cold_peaks(tmp_path, 2.0, 1_000.0) == {}
