"""Tests of a balancer's watch over several relays on real sockets, with scripted relays and source."""

from __future__ import annotations

import asyncio
import json
import math
import random
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from peers import SETTINGS, LoopLag, Message, Peer, async_test, reply, wait_until

from quartzford.engine import LoopClock, StderrLog
from quartzford.membership.addresses import RelayAddresses, SingleAddress
from quartzford.membership.call_policy import SharedServiceCallPolicy
from quartzford.membership.list_watch import ListWatch
from quartzford.membership.listing import Listing
from quartzford.membership.relay_call_policy import RelayCallPolicy
from quartzford.node import Node
from quartzford.serve import Service
from quartzford.settings.configuration import read_config
from quartzford.settings.operator_checks import OperatorError

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def line(version: int, complete: bool, *hosts: str) -> bytes:
    rows = [
        {"host": host, "dial": "127.0.0.1:9", "site": "a", "class": "m", "block": 0, "health": "ready"}
        for host in hosts
    ]
    return json.dumps({"seq": version, "whole": complete, "hosts": rows}).encode() + b"\n"


class ScriptedRelay(Peer):
    """A list service at a given version. mode: how watch calls are answered."""

    def __init__(self, version: int) -> None:
        super().__init__(self._answer)
        self.version = version
        self.mode = "tell"  # "tell": a list or changes; "mute": no response; "lost": a 503 response
        self.indexes: list[int] = []
        self.complete_list_calls = 0  # calls for the list without a watch
        self.watches: list[asyncio.StreamWriter] = []
        self.heartbeat_tasks: set[asyncio.Task[None]] = set()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if "stream=1" not in message.line:
            self.complete_list_calls += 1
            return writer.write(reply(line(self.version, True, "w")))
        index = int(message.line.split("index=")[1].split()[0])
        self.indexes.append(index)
        if self.mode == "lost":
            writer.write(reply(b"", "503 Lost", "Retry-After: 1\r\n"))
        elif self.mode == "tell":
            self.answer_watch(writer, index)

    def answer_watch(self, writer: asyncio.StreamWriter, index: int) -> None:
        """Answer a watch with changes if the index is of this incarnation, otherwise with the complete list.

        A relay never sends a list that is older than the index.
        """
        writer.write(HEAD)
        self.watches.append(writer)
        self.send_line(line(self.version, not 0 < index <= self.version, "x"), writer)
        task = asyncio.ensure_future(self._send_heartbeats(writer))
        self.heartbeat_tasks.add(task)

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1.0)
            with suppress(RuntimeError, OSError):
                self.send_line(b"\n", writer)

    def send_line(self, data: bytes, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.watches[-1]).write(b"%x\r\n%b\r\n" % (len(data), data))

    def change(self, version: int) -> None:
        self.version = version
        self.send_line(line(version, False, "x"))

    def end_watches(self) -> None:
        """End all watches gracefully, as a relay does that has lost its source or is shutting down."""
        for writer in self.watches:
            writer.write(b"0\r\n\r\n")
            writer.close()

    async def stop(self) -> None:
        for task in self.heartbeat_tasks:
            task.cancel()
        await super().stop()


class WatchTestbed:
    """A balancer's watch over scripted relays and a source. relays: in the order in which it calls them."""

    def __init__(self, *versions: int, fleet_size: int = 10, return_delay_s: float = 600.0) -> None:
        self.peers = [ScriptedRelay(version) for version in versions]
        self.source = ScriptedRelay(max(versions))
        self.fleet_size, self.return_delay_s = fleet_size, return_delay_s
        self.listings: list[Listing] = []

    def listed(self, listing: Listing) -> None:
        self.listings.append(listing)

    async def __aenter__(self) -> WatchTestbed:
        for peer in (*self.peers, self.source):
            await peer.start()
        by_address = {("127.0.0.1", peer.port): peer for peer in self.peers}
        self.addresses = RelayAddresses("b1", by_address, lambda: ("127.0.0.1", self.source.port))
        versions = [peer.version for peer in self.peers]
        self.relays = [by_address[address] for address in self.addresses.order]
        for relay, version in zip(self.relays, versions, strict=True):
            relay.version = version
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        self.calls = RelayCallPolicy(self.addresses, self.fleet_size, 50.0, 10.0, random.Random(4), clock.now)
        self.calls.better_address_delay = lambda: self.return_delay_s  # type: ignore[method-assign]
        log = StderrLog(clock.now)
        self.watch = ListWatch(self, self.addresses, self.calls, clock, log, loop)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.watch.stop()
        for peer in (*self.peers, self.source):
            await peer.stop()

    async def wait_until_watching(self, peer: ScriptedRelay, seconds: float = 20.0) -> None:
        """Wait until the watch is current and connected to this peer."""
        port = peer.port

        def is_connected_to_peer() -> bool:
            call = self.watch.call
            return self.watch.is_current() and call is not None and call.target.address[1] == port

        await wait_until(is_connected_to_peer, seconds)

    async def wait_until_call_unanswered(self, relay: ScriptedRelay) -> None:
        """Wait until a concurrent call to this preferred relay is open and unanswered."""
        self.calls.first_line_timeout = lambda: 30.0  # type: ignore[method-assign]
        relay.mode, before = "mute", len(relay.indexes)
        await wait_until(lambda: len(relay.indexes) > before and self.watch.candidate is not None)

    def versions(self) -> list[int]:
        return [listing.version for listing in self.listings]


@async_test
async def test_start_makes_one_call_and_ended_watch_resumes_by_index() -> None:
    async with WatchTestbed(7, 7, 7) as testbed, LoopLag() as lag:
        one, two, three = testbed.relays
        testbed.watch.start()
        await testbed.wait_until_watching(one)
        assert one.indexes == [0] and testbed.listings[0].complete and testbed.listings[0].version == 7
        before = testbed.watch.clock.now()
        one.end_watches()
        await one.stop()
        await testbed.wait_until_watching(two)
        assert testbed.watch.clock.now() - before <= 1.0 + 2 * lag.max_lag_s
        assert two.indexes == [7] and not testbed.listings[-1].complete and not three.indexes
        assert not any(relay.complete_list_calls for relay in testbed.relays) and not testbed.source.received


@async_test
async def test_unanswered_call_stays_open_and_first_answer_wins() -> None:
    """A call that is late must not be closed before another relay has answered.

    In the first round the earlier relay answers first, in the second round the later one.
    """
    for first in (0, 1):
        async with WatchTestbed(7, 7, 7) as testbed:
            one, two, three = testbed.relays
            timeouts = iter([0.3])
            testbed.calls.first_line_timeout = lambda timeouts=timeouts: next(timeouts, 30.0)  # type: ignore[misc]
            testbed.watch.version = 7
            one.mode = two.mode = "mute"
            testbed.watch.start()
            await wait_until(lambda two=two: two.indexes)
            assert one.indexes == [7] and one.closed_connections == 0
            answering, other = (one, two) if first == 0 else (two, one)
            answering.answer_watch(answering.writers[-1], 7)
            await testbed.wait_until_watching(answering)
            await wait_until(lambda other=other: other.closed_connections == 1)
            assert testbed.watch.late_call is None and not three.indexes
            answering.change(8)
            await wait_until(lambda testbed=testbed: testbed.watch.version == 8)
            assert testbed.versions() == [7, 8]


@async_test
async def test_third_relay_is_called_after_two_unresponsive_relays() -> None:
    async with WatchTestbed(7, 7, 7) as testbed:
        testbed.watch.version = 7
        testbed.relays[0].mode = testbed.relays[1].mode = "mute"
        testbed.watch.start()
        await testbed.wait_until_watching(testbed.relays[2])
        assert [relay.indexes for relay in testbed.relays] == [[7], [7], [7]]


@async_test
async def test_long_list_in_transfer_is_not_requested_twice() -> None:
    """A slow transfer of a long list must not cause a second request.

    The relay answers an index with the complete list of 45,000 rows, over four megabytes.
    """
    text = line(7, True, *(f"host-{number:010}" for number in range(45_000)))
    async with WatchTestbed(7, 7) as testbed:
        one, two = testbed.relays
        testbed.calls.long_line_extra_time = lambda: 30.0  # type: ignore[method-assign]
        testbed.watch.version = 5
        one.mode = "mute"
        testbed.watch.start()
        await wait_until(lambda: one.indexes)
        one.writers[-1].write(HEAD)
        one.send_line(text[:200_000], one.writers[-1])
        await wait_until(
            lambda: testbed.watch.call is not None and testbed.watch.call.long_line_extra_time == 0.0
        )
        one.send_line(text[200_000:], one.writers[-1])
        await testbed.wait_until_watching(one)
        assert len(text) > 4 * 2**20 and len(testbed.listings[0].entries) == 45_000
        assert not two.indexes and testbed.watch.counts["watched"] == 1


@async_test
async def test_resync_watch_requests_complete_list_after_each_watch() -> None:
    """A relay's own watch must take the first line of each watch as a complete list.

    The source answers index 0 with a line that is not marked complete, and it may have restarted before the
    next watch.
    """
    async with WatchTestbed(7) as testbed:
        clock, source = testbed.watch.clock, testbed.source
        single = SingleAddress(lambda: ("127.0.0.1", source.port), complete_list_by_watch=True)
        calls = SharedServiceCallPolicy(1, 50.0, 10.0, random.Random(1), clock.now)
        watch = ListWatch(testbed, single, calls, clock, testbed.watch.log, testbed.watch.loop, resync=True)
        assert watch.last_line_at == -math.inf
        source.mode = "mute"
        watch.start()
        await wait_until(lambda: source.indexes)
        writer = source.writers[-1]
        writer.write(HEAD)
        source.send_line(line(7, False, "x", "y"), writer)
        await wait_until(lambda: watch.is_current() and testbed.listings)
        first = watch.last_line_at
        source.send_line(b"\n", writer)
        await wait_until(lambda: watch.last_line_at > first)
        source.mode = "tell"
        writer.close()
        await wait_until(lambda: len(testbed.listings) == 2)
        assert source.indexes == [0, 0] and not source.complete_list_calls
        assert [(listings.complete, len(listings.entries)) for listings in testbed.listings] == [
            (True, 2),
            (True, 1),
        ]
        watch.stop()


@async_test
async def test_return_to_preferred_relay_keeps_watch_until_answered() -> None:
    async with WatchTestbed(7, 7, return_delay_s=0.2) as testbed:
        one, two = testbed.relays
        one.mode = "lost"
        testbed.watch.start()
        await testbed.wait_until_watching(two)
        # The preferred relay rejects the calls, and the current watch stays open.
        await wait_until(lambda: len(one.indexes) >= 3)
        assert len(two.watches) == 1 and two.closed_connections == 0
        two.change(8)
        await wait_until(lambda: testbed.watch.version == 8)
        await testbed.wait_until_call_unanswered(one)
        two.change(9)
        # Received while the preferred relay does not respond.
        await wait_until(lambda: testbed.watch.version == 9)
        one.mode, one.version = "tell", 9
        one.writers[-1].transport.abort()  # the next call is answered
        await testbed.wait_until_watching(one)
        await wait_until(lambda: two.closed_connections == 1)
        assert one.indexes[-1] == 9 and two.indexes == [0] and not testbed.listings[-1].complete


@async_test
async def test_older_answer_of_concurrent_call_is_rejected() -> None:
    """A concurrent call must not replace a newer list with an older one.

    It was made at version 7, and is answered with changes or a complete list after the watch has received 9.
    """
    for index in (7, 0):  # 0: the scripted relay sends the complete list
        async with WatchTestbed(7, 7, return_delay_s=0.2) as testbed:
            one, two = testbed.relays
            one.mode = "lost"
            testbed.watch.start()
            await testbed.wait_until_watching(two)
            await testbed.wait_until_call_unanswered(one)
            two.change(9)
            await wait_until(lambda testbed=testbed: testbed.watch.version == 9)
            candidate = testbed.watch.candidate
            closed_before = one.closed_connections
            one.answer_watch(one.writers[-1], index)
            await wait_until(
                lambda one=one, closed_before=closed_before: one.closed_connections > closed_before
            )
            assert (
                candidate is not testbed.watch.call
                and testbed.watch.version == 9
                and testbed.watch.is_current()
            )
            assert testbed.versions() == [7, 9] and two.closed_connections == 0


@async_test
async def test_new_incarnation_on_watch_ends_concurrent_call() -> None:
    async with WatchTestbed(50, 50, return_delay_s=0.2) as testbed:
        one, two = testbed.relays
        one.mode = "lost"
        testbed.watch.start()
        await testbed.wait_until_watching(two)
        await testbed.wait_until_call_unanswered(one)
        closed_before = one.closed_connections
        two.version = 3
        two.send_line(line(3, True, "new"))
        await wait_until(lambda: testbed.watch.version == 3 and one.closed_connections > closed_before)
        one.mode, one.version = "tell", 4
        await testbed.wait_until_watching(one)
        assert testbed.versions() == [50, 3, 4]


@async_test
async def test_moves_between_relays_at_different_versions_resume_by_index() -> None:
    """The watch moves by index. A relay with an older version answers only after it has reached the index."""
    async with WatchTestbed(7, 9) as testbed:
        one, two = testbed.relays
        testbed.watch.start()
        await testbed.wait_until_watching(one)
        one.end_watches()
        await testbed.wait_until_watching(two)
        assert two.indexes == [7] and testbed.watch.version == 9
        testbed.calls.first_line_timeout = lambda: 30.0  # type: ignore[method-assign]
        one.mode = "mute"  # the relay is at 7 and does not answer index 9 yet
        two.mode = "lost"
        two.end_watches()
        await wait_until(lambda: one.indexes[-1] == 9)
        one.mode, one.version = "tell", 9
        one.answer_watch(one.writers[-1], 9)
        await wait_until(lambda: testbed.watch.is_current())
        one.change(10)
        await wait_until(lambda: testbed.watch.version == 10)
        assert testbed.versions() == [7, 9, 9, 10]
        assert [listing.complete for listing in testbed.listings] == [True, False, False, False]


@async_test
async def test_relays_without_source_give_one_list_to_starting_balancer() -> None:
    async with WatchTestbed(7, 7, 7) as testbed:
        for relay in testbed.relays:
            relay.mode = "lost"
        testbed.watch.start()
        await wait_until(lambda: testbed.listings)
        assert sum(relay.complete_list_calls for relay in testbed.relays) == 1 and testbed.watch.version == 7
        await wait_until(lambda: all(relay.indexes.count(7) >= 2 for relay in testbed.relays))
        assert len(testbed.listings) == 1 and not testbed.source.received
        testbed.relays[1].mode = "tell"
        await testbed.wait_until_watching(testbed.relays[1])
        assert (
            sum(relay.complete_list_calls for relay in testbed.relays) == 1
            and not testbed.listings[-1].complete
        )


@async_test
async def test_older_list_of_relays_without_source_is_ignored() -> None:
    async with WatchTestbed(7, 7) as testbed:
        testbed.watch.version = 9  # as known from the configuration or a file
        for relay in testbed.relays:
            relay.mode = "lost"
        testbed.watch.start()
        await wait_until(lambda: all(relay.indexes.count(9) >= 3 for relay in testbed.relays))
        assert testbed.listings == [] and sum(relay.complete_list_calls for relay in testbed.relays) == 1


@async_test
async def test_source_is_called_directly_until_a_relay_returns() -> None:
    async with WatchTestbed(7, 7, return_delay_s=0.3) as testbed:
        one, two = testbed.relays
        testbed.watch.start()
        await testbed.wait_until_watching(one)
        for relay in testbed.relays:
            await relay.stop()
        await testbed.wait_until_watching(testbed.source)
        assert testbed.source.indexes == [7] and not testbed.listings[-1].complete
        testbed.source.change(8)
        await wait_until(lambda: testbed.watch.version == 8)
        two.version = 8
        await two.start(two.port)
        await testbed.wait_until_watching(two)
        await wait_until(lambda: testbed.source.closed_connections == 1)
        assert two.indexes[-1] == 8 and testbed.source.indexes == [7] and not testbed.listings[-1].complete


@async_test
async def test_malformed_line_of_relay_requests_complete_list_of_next() -> None:
    async with WatchTestbed(7, 7) as testbed:
        one, two = testbed.relays
        testbed.watch.start()
        await testbed.wait_until_watching(one)
        one.send_line(b'{"seq":8,"whole":false,"hosts":[{}]}\n')
        await testbed.wait_until_watching(two)
        assert two.indexes == [0] and testbed.listings[-1].complete and len(testbed.listings) == 2


@async_test
async def test_changed_discovery_address_keeps_watch_of_relay() -> None:
    async with WatchTestbed(7, 7) as testbed:
        testbed.watch.start()
        await testbed.wait_until_watching(testbed.relays[0])
        testbed.watch.follow_address()
        assert (
            testbed.watch.version == 7
            and testbed.watch.is_current()
            and testbed.relays[0].closed_connections == 0
        )


def site_config(mode: str) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": SETTINGS | {"registryMode": mode},
    }


def make_node(folder: Path, mode: str, relays: str) -> Node:
    (folder / "c.json").write_text(json.dumps(site_config(mode)))
    (folder / "o.toml").write_text(f'config = "c.json"\n[lists]\n{relays}')

    async def create_service() -> Node:
        return Service(str(folder / "o.toml"), asyncio.get_running_loop()).node

    return asyncio.run(create_service())


CONFIGURED_RELAYS = 'relays = ["127.0.0.1:1", "127.0.0.1:2"]'


def test_relay_policy_is_used_only_with_configured_relays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    node = make_node(tmp_path, "subscribe", CONFIGURED_RELAYS)
    assert isinstance(node.watch.policy, RelayCallPolicy) and isinstance(node.watch.addresses, RelayAddresses)
    assert sorted(node.watch.addresses.order) == [("127.0.0.1", 1), ("127.0.0.1", 2)]
    node.reconfigure(read_config(json.dumps(site_config("subscribe"))))
    assert not isinstance(make_node(tmp_path, "subscribe", "").watch.policy, RelayCallPolicy)
    with pytest.raises(OperatorError, match="lists.relays: .*subscribe"):
        make_node(tmp_path, "automatic", CONFIGURED_RELAYS)
