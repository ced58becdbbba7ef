"""The last list on a disk: its form, what may be done with it at what age, and the file that holds it."""

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
    usable,
)
from quartzford.membership.snapshot_writer import SnapshotWriter, write_snapshot
from quartzford.membership.start_times import StartTimes

RULE = SnapshotAgeLimits(most_age=3_600.0, fresh_age=60.0)
TABLE: dict[str, Any] = {
    "seq": 7,
    "whole": True,
    "hosts": [LIST_ROW, LIST_ROW | {"host": "s1", "born_ms": 9_000_000}],
}
ONE = Snapshot("127.0.0.1:8500", 1_000_000.0, TABLE)


def test_what_is_written_is_read_again() -> None:
    assert decode(encode(ONE)) == ONE


@given(st.binary(max_size=200))
def test_bytes_of_any_kind_are_refused_with_a_reason(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        decode(data)


@pytest.mark.parametrize("keep", [0, 1, 40, 150, -1, -30])
def test_one_that_is_cut_off_is_refused(keep: int) -> None:
    with pytest.raises(SnapshotError):
        decode(encode(ONE)[:keep])


def test_every_single_bit_that_turns_is_found_or_changes_nothing_that_is_used() -> None:
    data = encode(ONE)
    for at in range(len(data)):
        for bit in (1, 64):
            turned = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
            try:
                one = decode(turned)
            except SnapshotError:
                continue
            assert one.table == TABLE, "a damaged list was used"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"format": 2}, "format 2"),
        ({"bytes": 3}, "cut off"),
        ({"sha256": "0"}, "damaged"),
        ({"service": 5}, "missing"),
        ({"taken_ms": None}, "missing"),
        ({"taken_ms": True}, "missing"),
        ({"taken_ms": float("nan")}, "not a moment"),
    ],
)
def test_a_head_that_is_wrong_is_refused_with_its_reason(change: dict[str, Any], reason: str) -> None:
    line, _, body = encode(ONE).partition(b"\n")
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
        ("127.0.0.1:8501", 1.0, 0.0, "it is of 127.0.0"),
    ],
)
def test_ages_and_services(service: str, after_s: float, age: float, reason: str) -> None:
    now = ONE.taken_ms + after_s * 1000.0
    if reason:
        with pytest.raises(SnapshotError, match=reason):
            usable(ONE, service, now, RULE)
    else:
        assert usable(ONE, service, now, RULE) == age


def test_past_the_fresh_age_or_from_the_future_upstreams_count_as_just_started() -> None:
    ages = (0.0, 60.0, 60.1, -0.9, -1.1, -30.0, -3_600.0)
    assert [RULE.cold(age) for age in ages] == [False, False, True, False, True, True, True]
    listing, times = read_listing(TABLE), StartTimes()
    times.presume_started(listing, 5_000.0)
    assert times.starts_of(listing.entries) == {"s0": 5_000.0, "s1": 5_000.0}
    times.date_listing(listing, 20_000.0, 9_100_000.0)  # the service confirms both incarnations
    assert times.starts_of(listing.entries) == {"s0": 0.0, "s1": 9_000_000.0}


def kept(testbed: BalancerTestbed, path: Path, rule: SnapshotAgeLimits = RULE) -> SnapshotWriter:
    """The node of a testbed keeps its list there."""
    node = testbed.node
    node.snapshot_writer = SnapshotWriter(
        str(path),
        rule,
        lambda: "the list",
        node.registry.table,
        node.watch.is_current,
        node.clock,
        node.log,
        node.loop,
    )
    return node.snapshot_writer


class Kept(BalancerTestbed):
    """A testbed whose balancer keeps its list; discovery is silent at its start if so wanted."""

    def __init__(
        self, path: Path, rule: SnapshotAgeLimits = RULE, service_silent: bool = False, **settings: Any
    ) -> None:
        super().__init__(2, registryMode="subscribe", **settings)
        self.path, self.rule, self.initial_list = path, rule, {"seq": 0, "whole": True, "hosts": []}
        if service_silent:
            self.discovery.script = never_responds

    async def start_balancer(self, heard: bool = True, listener: Any = None) -> None:
        begin = keeping_node(self)
        try:
            await super().start_balancer(heard and self.discovery.script is not never_responds, listener)
        finally:
            begin()


def keeping_node(testbed: Kept) -> Any:
    """Nodes that are made from now on keep their list; the way back."""
    from quartzford import node as module

    start = module.Node.start

    async def started(self: Any) -> None:
        testbed.node = self
        if self.snapshot_writer is None:
            kept(testbed, testbed.path, testbed.rule)
        await start(self)

    module.Node.start = started  # type: ignore[method-assign]

    def back() -> None:
        module.Node.start = start  # type: ignore[method-assign]

    return back


def test_a_list_is_kept_and_serves_the_next_start_while_the_service_is_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(writing, "WRITE_INTERVAL_S", 0.02)
    path = tmp_path / "last"

    @async_test
    async def test() -> None:
        first = Kept(path)
        async with first:
            await wait_until(path.exists)
        held = decode(path.read_bytes())
        assert {row["host"] for row in held.table["hosts"]} == {"s0", "s1"}
        second = Kept(path, service_silent=True)
        # The next life's upstreams are where the first one's were.
        for old, new in zip(first.upstreams, second.upstreams, strict=True):
            await new.start(old.port)
            new.start = still  # type: ignore[method-assign]
        async with second:
            assert second.node.ready() and not second.node.watch.ever_answered
            assert (await second.submit(request())).status == 200

    test()


async def still(port: int = 0) -> None:
    """It is up already."""


@pytest.mark.parametrize(
    ("age_s", "rule"),
    [(5.0, SnapshotAgeLimits(3_600.0, 0.0)), (-3_600.0, RULE)],
    ids=["old", "from the future"],
)
def test_a_list_of_doubtful_age_sends_little_until_the_service_has_spoken(
    tmp_path: Path, age_s: float, rule: SnapshotAgeLimits
) -> None:
    """Changes to the kept list are told; what its age made of the upstreams is forgotten with them."""
    path = tmp_path / "last"

    @async_test
    async def test() -> None:
        testbed = Kept(path, rule, service_silent=True)
        for up in testbed.upstreams:
            await up.start()
            up.start = still  # type: ignore[method-assign]
        table = testbed.endpoint_list(testbed.list_row(0), testbed.list_row(1))
        write_snapshot(str(path), Snapshot("the list", (time.time() - age_s) * 1000.0, table))

        async with testbed:
            fleet = testbed.node.engine.balancer.endpoints
            assert len(fleet.ready) == 2 and len(fleet.slow_start.cold) == 2
            upstream = testbed.node.pool.upstreams["s0"]

            async def speaks(message: Message, writer: asyncio.StreamWriter) -> None:
                assert "index=1" in message.line
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                testbed.watches.append(writer)
                testbed.send_line(
                    {"seq": 2, "whole": False, "hosts": [testbed.list_row(1, "draining")]}, writer
                )

            testbed.discovery.script = speaks
            for writer in testbed.discovery.writers:
                writer.transport.abort()
            await wait_until(lambda: len(fleet.ready) == 1)
            assert (await testbed.submit(request())).status == 200
            assert not fleet.slow_start.cold and fleet.ready[0].entry.server == "s0"
            assert testbed.node.pool.upstreams["s0"] is upstream  # the same incarnation

    test()


@pytest.mark.parametrize("how", ["no folder", "garbage", "a folder"])
def test_a_disk_that_fails_costs_a_line_and_not_the_service(
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
        testbed = Kept(path)
        async with testbed:
            assert (await testbed.submit(request())).status == 200
            writer = testbed.node.snapshot_writer
            assert writer is not None
            await wait_until(lambda: writer.last_error or writer.written)
            assert bool(writer.written) == (how == "garbage")

    test()
    assert ("is not used" in capsys.readouterr().err) == (how == "garbage")
    assert not list(tmp_path.glob("last.*"))
