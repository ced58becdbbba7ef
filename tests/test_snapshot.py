"""Snapshots of the last list: file format, age limits, and the writer of the file."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import LIST_ROW, BalancerTestbed, Message, async_test, never_responds, request, wait_until

from quartzford.membership import snapshot_writer as writing
from quartzford.membership.listing import read_listing
from quartzford.membership.snapshot import (
    Snapshot,
    SnapshotAgeLimits,
    SnapshotError,
    decode,
    encode,
    validated_age_s,
)
from quartzford.membership.snapshot_writer import SnapshotWriter, write_snapshot
from quartzford.membership.start_times import StartTimes

AGE_LIMITS = SnapshotAgeLimits(max_age_s=3_600.0, fresh_age_s=60.0)
TABLE: dict[str, Any] = {
    "seq": 7,
    "whole": True,
    "hosts": [LIST_ROW, LIST_ROW | {"host": "s1", "born_ms": 9_000_000}],
}
SNAPSHOT = Snapshot("127.0.0.1:8500", 1_000_000.0, TABLE)


def test_encode_decode_round_trip() -> None:
    assert decode(encode(SNAPSHOT)) == SNAPSHOT


@given(st.binary(max_size=200))
def test_decode_random_bytes_raises_snapshot_error(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        decode(data)


@pytest.mark.parametrize("length", [0, 1, 40, 150, -1, -30])
def test_decode_truncated_snapshot_raises_snapshot_error(length: int) -> None:
    with pytest.raises(SnapshotError):
        decode(encode(SNAPSHOT)[:length])


def test_decode_flipped_bit_is_detected_or_leaves_list_unchanged() -> None:
    data = encode(SNAPSHOT)
    for at in range(len(data)):
        for bit in (1, 64):
            damaged = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
            try:
                snapshot = decode(damaged)
            except SnapshotError:
                continue
            assert snapshot.table == TABLE, "a damaged list was used"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"format": 2}, "format 2"),
        ({"bytes": 3}, "truncated"),
        ({"sha256": "0"}, "damaged"),
        ({"service": 5}, "missing"),
        ({"taken_ms": None}, "missing"),
        ({"taken_ms": True}, "missing"),
        ({"taken_ms": float("nan")}, "not finite"),
    ],
)
def test_decode_invalid_header_raises_snapshot_error_with_reason(change: dict[str, Any], reason: str) -> None:
    line, _, body = encode(SNAPSHOT).partition(b"\n")
    with pytest.raises(SnapshotError, match=reason):
        decode(json.dumps(json.loads(line) | change).encode() + b"\n" + body)


@pytest.mark.parametrize(
    ("service", "after_s", "age", "reason"),
    [
        ("127.0.0.1:8500", 0.0, 0.0, ""),
        ("127.0.0.1:8500", 3_600.0, 3_600.0, ""),
        ("127.0.0.1:8500", -30.0, -30.0, ""),
        ("127.0.0.1:8500", -3_600.0, -3_600.0, ""),
        ("127.0.0.1:8500", 3_601.0, 0.0, "3601 s old"),
        ("127.0.0.1:8501", 1.0, 0.0, "it belongs to 127.0.0"),
    ],
)
def test_validated_age_checks_age_and_service(service: str, after_s: float, age: float, reason: str) -> None:
    now = SNAPSHOT.taken_ms + after_s * 1000.0
    if reason:
        with pytest.raises(SnapshotError, match=reason):
            validated_age_s(SNAPSHOT, service, now, AGE_LIMITS)
    else:
        assert validated_age_s(SNAPSHOT, service, now, AGE_LIMITS) == age


def test_snapshot_not_fresh_or_from_future_upstreams_count_as_just_started() -> None:
    ages = (0.0, 60.0, 60.1, -0.9, -1.1, -30.0, -3_600.0)
    assert [AGE_LIMITS.is_cold(age) for age in ages] == [False, False, True, False, True, True, True]
    listing, times = read_listing(TABLE), StartTimes()
    times.presume_started(listing, 5_000.0)
    assert times.starts_of(listing.entries) == {"s0": 5_000.0, "s1": 5_000.0}
    times.date_listing(listing, 20_000.0, 9_100_000.0)  # the service confirms both incarnations
    assert times.starts_of(listing.entries) == {"s0": 0.0, "s1": 9_000_000.0}


def add_snapshot_writer(
    testbed: BalancerTestbed, path: Path, age_limits: SnapshotAgeLimits = AGE_LIMITS
) -> SnapshotWriter:
    """Give the node of a testbed a snapshot writer for this path."""
    node = testbed.node
    node.snapshot_writer = SnapshotWriter(
        str(path),
        age_limits,
        lambda: "the list",
        node.registry.table,
        node.watch.is_current,
        node.clock,
        node.log,
        node.loop,
    )
    return node.snapshot_writer


class SnapshotTestbed(BalancerTestbed):
    """A testbed whose balancer writes snapshots. service_silent: discovery does not answer at the start."""

    def __init__(
        self,
        path: Path,
        age_limits: SnapshotAgeLimits = AGE_LIMITS,
        service_silent: bool = False,
        **settings: Any,
    ) -> None:
        super().__init__(2, registryMode="subscribe", **settings)
        self.path, self.age_limits, self.initial_list = (
            path,
            age_limits,
            {"seq": 0, "whole": True, "hosts": []},
        )
        if service_silent:
            self.discovery.script = never_responds

    async def start_balancer(self, wait_for_list: bool = True, listener: Any = None) -> None:
        restore_start_of_node = patch_node_start(self)
        try:
            await super().start_balancer(
                wait_for_list and self.discovery.script is not never_responds, listener
            )
        finally:
            restore_start_of_node()


def patch_node_start(testbed: SnapshotTestbed) -> Any:
    """Make all nodes write snapshots from now on; return a function that undoes this."""
    from quartzford import node as module

    start = module.Node.start

    async def start_with_writer(self: Any) -> None:
        testbed.node = self
        if self.snapshot_writer is None:
            add_snapshot_writer(testbed, testbed.path, testbed.age_limits)
        await start(self)

    module.Node.start = start_with_writer  # type: ignore[method-assign]

    def restore_start() -> None:
        module.Node.start = start  # type: ignore[method-assign]

    return restore_start


def test_snapshot_is_written_and_next_start_serves_from_it_without_list_service(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(writing, "WRITE_INTERVAL_S", 0.02)
    path = tmp_path / "last"

    @async_test
    async def test() -> None:
        first = SnapshotTestbed(path)
        async with first:
            await wait_until(path.exists)
        stored = decode(path.read_bytes())
        assert {row["host"] for row in stored.table["hosts"]} == {"s0", "s1"}
        second = SnapshotTestbed(path, service_silent=True)
        # The upstreams of the second start listen at the addresses of the first.
        for old, new in zip(first.upstreams, second.upstreams, strict=True):
            await new.start(old.port)
            new.start = already_started  # type: ignore[method-assign]
        async with second:
            assert second.node.ready() and not second.node.watch.ever_answered
            assert (await second.submit(request())).status == 200

    test()


async def already_started(port: int = 0) -> None:
    """Replace Peer.start for a peer that is already started."""


@pytest.mark.parametrize(
    ("age_s", "age_limits"),
    [(5.0, SnapshotAgeLimits(3_600.0, 0.0)), (-3_600.0, AGE_LIMITS)],
    ids=["old", "from the future"],
)
def test_cold_snapshot_upstreams_are_in_slow_start_until_service_answers(
    tmp_path: Path, age_s: float, age_limits: SnapshotAgeLimits
) -> None:
    """The service answers with changes to the stored list, which also end the slow start of its upstreams."""
    path = tmp_path / "last"

    @async_test
    async def test() -> None:
        testbed = SnapshotTestbed(path, age_limits, service_silent=True)
        for peer in testbed.upstreams:
            await peer.start()
            peer.start = already_started  # type: ignore[method-assign]
        table = testbed.endpoint_list(testbed.list_row(0), testbed.list_row(1))
        write_snapshot(str(path), Snapshot("the list", (time.time() - age_s) * 1000.0, table))

        async with testbed:
            endpoints = testbed.node.engine.balancer.endpoints
            assert len(endpoints.ready) == 2 and len(endpoints.slow_start.cold) == 2
            upstream = testbed.node.pool.upstreams["s0"]

            async def send_changes(message: Message, writer: asyncio.StreamWriter) -> None:
                assert "index=1" in message.line
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                testbed.watches.append(writer)
                testbed.send_line(
                    {"seq": 2, "whole": False, "hosts": [testbed.list_row(1, "draining")]}, writer
                )

            testbed.discovery.script = send_changes
            for writer in testbed.discovery.writers:
                writer.transport.abort()
            await wait_until(lambda: len(endpoints.ready) == 1)
            assert (await testbed.submit(request())).status == 200
            assert not endpoints.slow_start.cold and endpoints.ready[0].entry.server == "s0"
            assert testbed.node.pool.upstreams["s0"] is upstream  # the same incarnation

    test()


@pytest.mark.parametrize("how", ["no folder", "garbage", "a folder"])
def test_disk_failure_balancer_logs_and_keeps_serving(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(writing, "WRITE_INTERVAL_S", 0.02)
    path = tmp_path / "last"
    if how == "no folder":
        path = tmp_path / "missing" / "last"
    elif how == "garbage":
        path.write_bytes(b"not a list")
    else:
        path.mkdir()

    @async_test
    async def test() -> None:
        testbed = SnapshotTestbed(path)
        async with testbed:
            assert (await testbed.submit(request())).status == 200
            writer = testbed.node.snapshot_writer
            assert writer is not None
            await wait_until(lambda: writer.last_error or writer.write_count)
            assert bool(writer.write_count) == (how == "garbage")

    test()
    assert ("is not used" in capsys.readouterr().err) == (how == "garbage")
    assert not list(tmp_path.glob("last.*"))
