"""Wrong or stepped wall clocks: slow start, replacement, snapshot, tokens, Retry-After and traces."""

from __future__ import annotations

import asyncio
import json
import time
from email.utils import formatdate
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from peers import SETTINGS, BalancerTestbed, Message, async_test, reserved_port, wait_until
from test_extproc_decisions import FakeClock, MemoryLog

from quartzford.control import ControlSide, InheritedStarts, assemble
from quartzford.decision import interface as io
from quartzford.decision.memory import shift_times
from quartzford.engine import LoopClock
from quartzford.fronts.extproc.token import InvalidToken, Tokens
from quartzford.membership import start_times
from quartzford.membership.listing import Listing, read_listing
from quartzford.membership.start_times import StartTimes
from quartzford.membership.subset import Subset
from quartzford.node import Node
from quartzford.recording import Recorder
from quartzford.replacement import state as wire
from quartzford.replacement.errors import StateFormatError
from quartzford.settings.configuration import read_config

HOUR_MS = 3_600_000.0
UNIX_MS = 1_796_083_200_000.0
SLOW_START_MS = 8_000.0
GUARANTEES = SETTINGS["guarantees"] | {"coldMs": SLOW_START_MS, "startCapacity": 0.1}
CLOCK_SKEWS = pytest.mark.parametrize("skew_ms", [0.0, -HOUR_MS, HOUR_MS], ids=["equal", "behind", "ahead"])


class AnchoredClock(FakeClock):
    """Reads Unix time once, at the start, as LoopClock does; machine_ms is the machine's time then."""

    def __init__(self, machine_ms: float = UNIX_MS) -> None:
        super().__init__()
        self.anchor_ms = machine_ms - self.at * 1000.0

    def unix_ms(self) -> float:
        return self.at * 1000.0 + self.anchor_ms


def row(number: int, born_ms: float = 0.0, health: str = "ready") -> dict[str, Any]:
    return {
        "host": f"s{number}",
        "dial": f"10.0.0.1:{8000 + number}",
        "site": "north",
        "class": "std",
        "block": number,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def make_listing(version: int, *rows: dict[str, Any], complete: bool = False) -> Listing:
    return read_listing({"seq": version, "whole": complete, "hosts": list(rows)})


class ControlSideHarness:
    """A control side with simulated list updates and traffic, on a clock that the test advances."""

    def __init__(self, clock: AnchoredClock, subset: Subset | None = None) -> None:
        self.clock, self.requests = clock, 0
        config = read_config(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:1",
                    "discovery": "127.0.0.1:2",
                    "seed": "5",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": {},
                    "settings": SETTINGS | {"guarantees": GUARANTEES},
                }
            )
        )
        self.side: ControlSide = assemble(config, asyncio.AbstractEventLoop(), clock, MemoryLog(), subset)
        self.side.watch.start = lambda: None  # type: ignore[method-assign]
        self.balancer = self.side.engine.balancer

    def receive_listing(self, listing: Listing) -> None:
        self.side.listed(listing)
        self.side.watch.last_line_at = self.clock.now()

    def count_sends(self, name: str, seconds: float, rate: float = 150.0) -> int:
        """Return how many requests reach this upstream, with answers in 5 ms and a heartbeat every 2 s."""
        count = 0
        for number in range(int(seconds * rate)):
            self.clock.at += 1.0 / rate
            if number % int(2 * rate) == 0:
                self.side.watch.last_line_at = self.clock.now()
            self.requests += 1
            now = self.clock.unix_ms()
            for action in self.balancer.handle(now, io.Request(self.requests, "read", 2_500.0)):
                if isinstance(action, io.Send):
                    count += action.server == name
                    end = io.AttemptEnded(self.requests, 0, action.server, "ok", 5.0, True)
                    self.balancer.handle(now + 5.0, end)
        return count

    def age_ms(self, name: str) -> float:
        """Return the time since slow start began, in milliseconds."""
        return self.clock.unix_ms() - self.balancer.servers[name].slow_start_from_ms


def harness_in_service(skew_ms: float = 0.0) -> ControlSideHarness:
    """Return a harness with four old upstreams that have served for ten seconds."""
    harness = ControlSideHarness(AnchoredClock())
    old = [row(n, 0.0 if n % 2 else UNIX_MS + skew_ms - 9 * HOUR_MS) for n in range(4)]
    harness.side.begin(make_listing(0, complete=True))
    harness.receive_listing(make_listing(1, *old, complete=True))
    harness.count_sends("s0", 10.0)
    return harness


# ---- slow start


@CLOCK_SKEWS
def test_new_upstream_gets_slow_start_at_any_skew_of_the_list_service(skew_ms: float) -> None:
    harness = harness_in_service(skew_ms)
    harness.receive_listing(make_listing(2, row(4, harness.clock.unix_ms() + skew_ms)))
    first, _, after = (harness.count_sends("s4", seconds) for seconds in (2.0, 8.0, 4.0))
    assert 0 < first <= 16 and 60 <= after <= 180, (first, after)
    assert harness.balancer.servers["s4"] not in harness.balancer.endpoints.slow_start.cold


@CLOCK_SKEWS
@pytest.mark.parametrize(
    "between",
    [
        [(row, 4, "draining"), (row, 4, "ready")],
        [(row, 4, "ready"), (row, 4, "ready")],
        [(row, 4, "gone"), (row, 4, "ready")],
        ["whole"],
        ["empty", "whole"],
    ],
    ids=[
        "drained and ready",
        "sent again",
        "removed and ready",
        "complete list",
        "complete list after an empty one",
    ],
)
def test_repeated_rows_neither_restart_nor_skip_slow_start(skew_ms: float, between: list[Any]) -> None:
    harness = harness_in_service(skew_ms)
    born_ms = harness.clock.unix_ms() + skew_ms
    harness.receive_listing(make_listing(2, row(4, born_ms)))
    harness.count_sends("s4", 1.0)
    old_born_ms = UNIX_MS + skew_ms - 9 * HOUR_MS
    complete = [*(row(n, 0.0 if n % 2 else old_born_ms) for n in range(4)), row(4, born_ms)]
    for version, step in enumerate(between, 3):
        if isinstance(step, str):
            harness.receive_listing(
                make_listing(version, *(complete if step == "whole" else []), complete=True)
            )
        else:
            harness.receive_listing(make_listing(version, row(4, born_ms, step[2])))
        harness.clock.at += 1.0
    expected = 1_000.0 + 1_000.0 * len(between)
    assert harness.age_ms("s4") == pytest.approx(expected, abs=1.0)
    harness.count_sends("s4", 0.1)
    assert {server.entry.server for server in harness.balancer.endpoints.slow_start.cold} == {"s4"}


def test_changed_born_ms_is_a_new_incarnation_even_if_earlier() -> None:
    harness = harness_in_service()
    harness.receive_listing(make_listing(2, row(4, UNIX_MS + 5_000.0)))
    harness.count_sends("s4", 12.0)
    assert harness.balancer.servers["s4"] not in harness.balancer.endpoints.slow_start.cold
    harness.receive_listing(make_listing(3, row(4, UNIX_MS - HOUR_MS)))
    assert harness.age_ms("s4") == 0.0
    assert 0 < harness.count_sends("s4", 2.0) <= 16


def test_start_times_after_a_list_outage_are_bounded_by_the_outage() -> None:
    harness = harness_in_service()
    harness.clock.at += 100.0
    now = harness.clock.unix_ms()
    listing = make_listing(2, row(4, now - 50_000.0), row(5, now - HOUR_MS), row(6, now + HOUR_MS))
    harness.receive_listing(listing)
    assert harness.side.start_times.starts_of(listing.entries) == {"s4": now - 50_000.0, "s5": now, "s6": now}
    assert harness.balancer.servers["s4"].started_ms == now - 50_000.0


@CLOCK_SKEWS
def test_start_times_of_the_initial_list_are_not_in_the_future(skew_ms: float) -> None:
    """At the process's start born_ms is the only source. If it is in the future, slow start begins now."""
    harness = ControlSideHarness(AnchoredClock())
    harness.side.begin(make_listing(1, row(0), row(1, UNIX_MS + skew_ms), complete=True))
    harness.receive_listing(make_listing(1, row(0), row(1, UNIX_MS + skew_ms), complete=True))
    harness.clock.at += 1.0
    harness.receive_listing(make_listing(2, row(1, UNIX_MS + skew_ms)))
    assert harness.age_ms("s1") == pytest.approx(1_000.0 + max(0.0, -skew_ms))
    harness.count_sends("s1", SLOW_START_MS / 1000.0)
    assert not harness.balancer.endpoints.slow_start.cold


def test_upstream_added_to_the_subset_later_gets_no_slow_start() -> None:
    harness = ControlSideHarness(AnchoredClock(), subset=Subset("n0", 2))
    rows = [row(n, UNIX_MS - HOUR_MS) for n in range(4)]
    harness.side.begin(make_listing(0, complete=True))
    harness.receive_listing(make_listing(1, *rows, complete=True))
    initial = {server.entry.server for server in harness.balancer.ready}
    harness.count_sends("s0", 4.0)
    changes = [row(int(name[1:]), UNIX_MS - HOUR_MS, "draining") for name in initial]
    harness.receive_listing(make_listing(2, *changes))
    replacements = {server.entry.server for server in harness.balancer.ready}
    harness.count_sends("s0", 0.1)
    assert (
        len(replacements) == 2
        and not replacements & initial
        and not harness.balancer.endpoints.slow_start.cold
    )


def test_list_of_another_service_dates_upstreams_by_born_ms() -> None:
    times, now = StartTimes(), 100_000.0
    times.date_listing(make_listing(1, row(0, 5.0), complete=True), -float("inf"), now)
    times.note_source_change()
    other = make_listing(1, row(7, 10.0), row(8, now * 2), complete=True)
    times.date_listing(other, now - 1_000.0, now)
    assert times.starts_of(other.entries) == {"s7": 10.0, "s8": now}
    times.note_source_change()
    same = make_listing(2, row(7, 10.0), row(9, 10.0), complete=True)  # the same fleet at another address
    times.date_listing(same, now - 1_000.0, now)
    assert times.starts_of(same.entries) == {"s7": 10.0, "s9": now}


def test_removed_incarnations_beyond_the_limit_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(start_times, "MIN_REMEMBERED_REMOVALS", 3)
    times = StartTimes()
    for number in range(10):
        times.date_listing(make_listing(number, row(number, 5.0)), 50.0, 100.0)
        times.date_listing(make_listing(number, row(number, 5.0, "gone")), 50.0, 100.0)
    assert list(times._removed) == ["s7", "s8", "s9"] and not times.started_after(0.0)
    entries = [row(number, 5.0) for number in range(20)]
    times.date_listing(make_listing(20, *entries, complete=True), 50.0, 100.0)
    times.date_listing(make_listing(21, complete=True), 50.0, 100.0)
    assert len(times._removed) == 20


# ---- replacement


def test_handed_over_times_are_shifted_to_the_successor_clock() -> None:
    rate = io.LearnedRate(1_000.0, 2_000.0, 3.0)
    server = io.LearnedEndpoint("s0", 9.0, 0.5, 1.0, 1.0, 0.0, 0.1, 1, 2_500.0, False, 0.3, 1_900.0, 1_500.0)
    warm = io.LearnedEndpoint("s1", 0.0, 0.5, 1.0, 1.0, 0.0)
    memory = io.LearnedState(
        servers=(server, warm),
        maintenance_ended={"s2": 1_200.0},
        arrivals=rate,
        peaks=((1_700.0, 30.0),),
        tenants={"acme": rate},
        decayed_ms=1_800.0,
        offers=((1.0, "read"),),
    )
    moved = shift_times(memory, HOUR_MS)
    first, second = moved.servers
    assert (first.ejected_until, first.tokens_ms, first.slow_start_from_ms) == tuple(
        at + HOUR_MS for at in (2_500.0, 1_900.0, 1_500.0)
    )
    assert (first.started_ms, second) == (9.0, warm)
    assert moved.maintenance_ended == {"s2": 1_200.0 + HOUR_MS}
    assert moved.peaks == ((1_700.0 + HOUR_MS, 30.0),)
    assert moved.tenants["acme"] == io.LearnedRate(1_000.0 + HOUR_MS, 2_000.0 + HOUR_MS, 3.0)
    assert moved.arrivals == moved.tenants["acme"] and moved.decayed_ms == 1_800.0 + HOUR_MS
    assert shift_times(moved, -HOUR_MS) == memory and moved.answers == memory.answers


@CLOCK_SKEWS
def test_successor_keeps_start_times_of_the_predecessor(skew_ms: float) -> None:
    predecessor = harness_in_service(skew_ms)
    born_ms = predecessor.clock.unix_ms() + skew_ms
    listing = (*(row(n) for n in range(4)), row(4, born_ms))
    predecessor.receive_listing(make_listing(2, *listing, complete=True))
    predecessor.count_sends("s4", 1.0)
    memory, starts = predecessor.side.engine.hand_over(), predecessor.side.start_times.started_after(0.0)
    # The machine's clock was stepped between the two starts.
    successor = ControlSideHarness(AnchoredClock(UNIX_MS - skew_ms))
    successor.clock.at = predecessor.clock.at
    by_ms = successor.clock.anchor_ms - predecessor.clock.anchor_ms
    inherited = InheritedStarts(
        predecessor.side.list_known_ms() + by_ms, {name: at + by_ms for name, at in starts.items()}
    )
    successor.side.begin(make_listing(2, *listing, complete=True), 2, shift_times(memory, by_ms), inherited)
    assert successor.age_ms("s4") == pytest.approx(predecessor.age_ms("s4"), abs=1.0)
    assert successor.balancer.servers["s4"].tokens == predecessor.balancer.servers["s4"].tokens
    successor.receive_listing(make_listing(3, row(5, born_ms)))
    assert successor.age_ms("s5") == 0.0
    successor.count_sends("s4", SLOW_START_MS / 1000.0)
    assert not successor.balancer.endpoints.slow_start.cold


class EarlierState(msgspec.Struct):
    """The form of the state in an earlier version, without the last three fields."""

    format: int
    listing: dict[str, Any]
    version: int | None
    discovery: list[str | int]
    heard: bool
    busy: int
    memory: dict[str, Any]


def test_state_is_compatible_with_an_earlier_version_in_both_directions() -> None:
    state = wire.BalancerState(
        wire.STATE_FORMAT, {}, 1, ["a", 1], True, 0, io.LearnedState(), 5.0, 7.0, {"s0": 6.0}
    )
    assert wire.decode_state(b"".join(wire.split_state(state))) == state
    data = b"".join(wire.split_state(state))
    earlier = msgspec.msgpack.decode(data, type=EarlierState)
    memory = msgspec.msgpack.decode(data)["memory"]
    assert memory["by_hand"] == [] and memory["marginal"] == 0.5
    assert earlier == EarlierState(wire.STATE_FORMAT, {}, 1, ["a", 1], True, 0, memory)
    read = wire.decode_state(msgspec.msgpack.encode(earlier))
    assert (read.anchor_ms, read.list_known_ms, read.start_times_ms, read.memory) == (
        None,
        None,
        {},
        io.LearnedState(),
    )


@pytest.mark.parametrize("changes", [{"anchor_ms": float("nan")}, {"starts": {"s0": float("inf")}}])
def test_state_with_non_finite_times_is_rejected(changes: dict[str, Any]) -> None:
    state = wire.BalancerState(wire.STATE_FORMAT, {}, 1, ["a", 1], True, 0, io.LearnedState())
    table = msgspec.msgpack.decode(b"".join(wire.split_state(state)))
    with pytest.raises(StateFormatError, match="not finite"):
        wire.decode_state(msgspec.msgpack.encode(table | changes))


def step_machine_clock(monkeypatch: pytest.MonkeyPatch, by_ms: float) -> None:
    """Step the machine's clock: clocks created from now on read the stepped time as their anchor."""
    stepped = SimpleNamespace(time=lambda: time.time() + by_ms / 1000.0, monotonic=time.monotonic)
    monkeypatch.setattr("quartzford.engine.clock.time", stepped)


@CLOCK_SKEWS
def test_handover_after_a_clock_step_keeps_slow_start_ages(
    skew_ms: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        testbed = BalancerTestbed(4, guarantees=GUARANTEES)
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        testbed.served_list = testbed.endpoint_list(testbed.list_row(0), testbed.list_row(1), complete=True)
        config = read_config(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{reserved_port()}",
                    "seed": "5",
                    "discovery": f"127.0.0.1:{testbed.discovery.port}",
                    "known": testbed.served_list,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": testbed.settings,
                }
            )
        )
        loop = asyncio.get_running_loop()
        nodes = [Node(config, loop, folder=str(tmp_path))]
        await nodes[0].start()
        await wait_until(lambda: testbed.watches and nodes[0].watch.ever_answered)
        testbed.update(testbed.list_row(2, born=time.time() * 1000.0 + skew_ms))
        await wait_until(lambda: "s2" in nodes[0].engine.balancer.servers)

        step_machine_clock(monkeypatch, skew_ms)
        nodes.append(Node(config, loop, folder=str(tmp_path)))
        await nodes[1].start()
        ages = [
            node.clock.unix_ms() - node.engine.balancer.servers["s2"].slow_start_from_ms for node in nodes
        ]
        assert ages[1] == pytest.approx(ages[0], abs=100.0) and 0.0 <= ages[1] < SLOW_START_MS
        await wait_until(lambda: len(testbed.watches) > 1)
        testbed.update(testbed.list_row(3, born=time.time() * 1000.0 - HOUR_MS))
        await wait_until(lambda: "s3" in nodes[1].engine.balancer.servers)
        assert nodes[1].engine.balancer.servers["s3"] in nodes[1].engine.balancer.endpoints.slow_start.cold
        for node in reversed(nodes):
            node.control.stop()
            node.front.stop_listening()
            if node.handover is not None:
                node.handover.stop()
        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.stop()

    test()


# ---- the clock itself, tokens, traces


def test_clock_step_after_the_start_changes_no_clock_token_or_trace(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def test() -> None:
        clock = LoopClock(asyncio.get_running_loop())
        tokens = Tokens(b"k" * 16, b"life-one")
        recorder = Recorder(str(tmp_path / "trace"), "none", 10_000, clock, MemoryLog())
        start_ms, token = clock.unix_ms(), tokens.make(7, "c1", clock.unix_ms() + 60_000.0)
        for by_ms in (-HOUR_MS, HOUR_MS):
            step_machine_clock(monkeypatch, by_ms)
            recorder.record(io.Request(1, "read", 800.0), 0)
            assert 0.0 <= clock.unix_ms() - start_ms < 30_000.0
            assert tokens.read(token, "c1", clock.unix_ms()) == 7
        assert tokens.read(token, "c1", clock.unix_ms() + 61_000.0) is InvalidToken.STALE
        recorder.close()
        offsets = [
            float(line.split()[0])
            for line in (tmp_path / "trace").read_text().splitlines()
            if line[:1].isdigit()
        ]
        assert len(offsets) == 2 and all(0.0 <= at < 30e6 for at in offsets)  # microseconds

    test()


# ---- Retry-After


@CLOCK_SKEWS
def test_retry_after_date_is_relative_to_the_date_of_the_answer(skew_ms: float) -> None:
    @async_test
    async def test() -> None:
        retry_after_values: list[float] = []
        testbed = BalancerTestbed(1, registryMode="subscribe")

        async def reject_with_date(message: Message, writer: asyncio.StreamWriter) -> None:
            now = time.time() + skew_ms / 1000.0
            date, later = formatdate(now, usegmt=True), formatdate(now + 5.0, usegmt=True)
            writer.write(
                f"HTTP/1.1 503 no\r\nRetry-After: {later}\r\nDate: {date}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )

        for peer in (*testbed.upstreams, testbed.discovery):
            await peer.start()
        testbed.discovery.script = reject_with_date
        testbed.initial_list = testbed.endpoint_list(testbed.list_row(0), complete=True)
        starting = asyncio.ensure_future(testbed.start_balancer(wait_for_list=False))
        await wait_until(lambda: hasattr(testbed, "node"))
        delay_after = testbed.node.watch.policy.delay_after

        def recorded_delay(outcome: Any, elapsed_s: float, retry_after: float = 0.0) -> float:
            retry_after_values.append(retry_after)
            return delay_after(outcome, elapsed_s, retry_after)

        testbed.node.watch.policy.delay_after = recorded_delay  # type: ignore[method-assign]
        await wait_until(lambda: retry_after_values)
        assert retry_after_values[0] == 5.0
        await starting
        await testbed.__aexit__()

    test()
