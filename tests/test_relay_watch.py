"""A balancer's watch between relays on real sockets; the relays and the source follow scripts."""

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


class Relay(Peer):
    """A list service at some version. mode: what watch calls get."""

    def __init__(self, version: int) -> None:
        super().__init__(self._answer)
        self.version = version
        self.mode = "tell"  # or mute, or lost
        self.indexes: list[int] = []
        self.complete = 0  # lists that were asked for alone
        self.watches: list[asyncio.StreamWriter] = []
        self.beats: set[asyncio.Task[None]] = set()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if "stream=1" not in message.line:
            self.complete += 1
            return writer.write(reply(line(self.version, True, "w")))
        index = int(message.line.split("index=")[1].split()[0])
        self.indexes.append(index)
        if self.mode == "lost":
            writer.write(reply(b"", "503 Lost", "Retry-After: 1\r\n"))
        elif self.mode == "tell":
            self.begin(writer, index)

    def begin(self, writer: asyncio.StreamWriter, index: int) -> None:
        """Changes where the index is of this life; a relay never tells an older list by itself."""
        writer.write(HEAD)
        self.watches.append(writer)
        self.tell(line(self.version, not 0 < index <= self.version, "x"), writer)
        task = asyncio.ensure_future(self._beat(writer))
        self.beats.add(task)

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1.0)
            with suppress(RuntimeError, OSError):
                self.tell(b"\n", writer)

    def tell(self, data: bytes, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.watches[-1]).write(b"%x\r\n%b\r\n" % (len(data), data))

    def change(self, version: int) -> None:
        self.version = version
        self.tell(line(version, False, "x"))

    def end_watches(self) -> None:
        """In order, as a relay ends them that has lost the source or is told to end."""
        for writer in self.watches:
            writer.write(b"0\r\n\r\n")
            writer.close()

    async def stop(self) -> None:
        for task in self.beats:
            task.cancel()
        await super().stop()


class Site:
    """A watch over relays in its own order; the last peer is the source."""

    def __init__(self, *versions: int, fleet: int = 10, back: float = 600.0) -> None:
        self.peers = [Relay(version) for version in versions]
        self.source = Relay(max(versions))
        self.fleet, self.back = fleet, back
        self.listings: list[Listing] = []

    def listed(self, listing: Listing) -> None:
        self.listings.append(listing)

    async def __aenter__(self) -> Site:
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
        self.calls = RelayCallPolicy(self.addresses, self.fleet, 50.0, 10.0, random.Random(4), clock.now)
        self.calls.better_address_delay = lambda: self.back  # type: ignore[method-assign]
        log = StderrLog(clock.now)
        self.watch = ListWatch(self, self.addresses, self.calls, clock, log, loop)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.watch.stop()
        for peer in (*self.peers, self.source):
            await peer.stop()

    async def at(self, peer: Relay, seconds: float = 20.0) -> None:
        """Until the watch stands there, and nowhere else."""
        port = peer.port

        def there() -> bool:
            call = self.watch.call
            return self.watch.is_current() and call is not None and call.target.address[1] == port

        await wait_until(there, seconds)

    async def silent_beside(self, relay: Relay) -> None:
        """Until a call to a better place is out there beside the watch, and gets no answer."""
        self.calls.first_line_timeout = lambda: 30.0  # type: ignore[method-assign]
        relay.mode, before = "mute", len(relay.indexes)
        await wait_until(lambda: len(relay.indexes) > before and self.watch.candidate is not None)

    def versions(self) -> list[int]:
        return [listing.version for listing in self.listings]


@async_test
async def test_a_start_is_one_call_and_an_ended_watch_goes_on_by_index_within_a_second() -> None:
    async with Site(7, 7, 7) as site, LoopLag() as lag:
        one, two, three = site.relays
        site.watch.start()
        await site.at(one)
        assert one.indexes == [0] and site.listings[0].complete and site.listings[0].version == 7
        before = site.watch.clock.now()
        one.end_watches()
        await one.stop()
        await site.at(two)
        assert site.watch.clock.now() - before <= 1.0 + 2 * lag.max_lag_s
        assert two.indexes == [7] and not site.listings[-1].complete and not three.indexes
        assert not any(relay.complete for relay in site.relays) and not site.source.received


@async_test
async def test_a_relay_that_accepts_and_says_nothing_is_kept_and_the_first_answer_counts() -> None:
    """The earlier relay's answer comes while the next is asked; then the other way round."""
    for first in (0, 1):
        async with Site(7, 7, 7) as site:
            one, two, three = site.relays
            patience = iter([0.3])
            site.calls.first_line_timeout = lambda patience=patience: next(patience, 30.0)  # type: ignore[misc]
            site.watch.version = 7
            one.mode = two.mode = "mute"
            site.watch.start()
            await wait_until(lambda two=two: two.indexes)
            assert one.indexes == [7] and one.closed_connections == 0
            answering, other = (one, two) if first == 0 else (two, one)
            answering.begin(answering.writers[-1], 7)
            await site.at(answering)
            await wait_until(lambda other=other: other.closed_connections == 1)
            assert site.watch.late_call is None and not three.indexes
            answering.change(8)
            await wait_until(lambda site=site: site.watch.version == 8)
            assert site.versions() == [7, 8]


@async_test
async def test_after_two_silent_relays_the_third_is_called_with_the_policys_own_timeout() -> None:
    async with Site(7, 7, 7) as site:
        site.watch.version = 7
        site.relays[0].mode = site.relays[1].mode = "mute"
        site.watch.start()
        await site.at(site.relays[2])
        assert [relay.indexes for relay in site.relays] == [[7], [7], [7]]


@async_test
async def test_a_long_list_that_is_under_way_is_waited_for_and_not_requested_twice() -> None:
    """By index, of a relay that owes the whole: 45,000 rows, over four megabytes."""
    text = line(7, True, *(f"host-{number:010}" for number in range(45_000)))
    async with Site(7, 7) as site:
        one, two = site.relays
        site.calls.long_line_extra_time = lambda: 30.0  # type: ignore[method-assign]
        site.watch.version = 5
        one.mode = "mute"
        site.watch.start()
        await wait_until(lambda: one.indexes)
        one.writers[-1].write(HEAD)
        one.tell(text[:200_000], one.writers[-1])
        await wait_until(lambda: site.watch.call is not None and site.watch.call.long_line_extra_time == 0.0)
        one.tell(text[200_000:], one.writers[-1])
        await site.at(one)
        assert len(text) > 4 * 2**20 and len(site.listings[0].entries) == 45_000
        assert not two.indexes and site.watch.counts["watched"] == 1


@async_test
async def test_a_relays_own_watch_requests_the_complete_list_again_after_each_watch() -> None:
    """Its source says `complete` false to index 0, and may have begun again by the next watch."""
    async with Site(7) as site:
        clock, source = site.watch.clock, site.source
        single = SingleAddress(lambda: ("127.0.0.1", source.port), complete_list_by_watch=True)
        calls = SharedServiceCallPolicy(1, 50.0, 10.0, random.Random(1), clock.now)
        watch = ListWatch(site, single, calls, clock, site.watch.log, site.watch.loop, resync=True)
        assert watch.last_line_at == -math.inf
        source.mode = "mute"
        watch.start()
        await wait_until(lambda: source.indexes)
        writer = source.writers[-1]
        writer.write(HEAD)
        source.tell(line(7, False, "x", "y"), writer)
        await wait_until(lambda: watch.is_current() and site.listings)
        first = watch.last_line_at
        source.tell(b"\n", writer)
        await wait_until(lambda: watch.last_line_at > first)
        source.mode = "tell"
        writer.close()
        await wait_until(lambda: len(site.listings) == 2)
        assert source.indexes == [0, 0] and not source.complete
        assert [(listings.complete, len(listings.entries)) for listings in site.listings] == [
            (True, 2),
            (True, 1),
        ]
        watch.stop()


@async_test
async def test_back_at_the_first_relay_before_the_watch_that_stands_is_broken() -> None:
    async with Site(7, 7, back=0.2) as site:
        one, two = site.relays
        one.mode = "lost"
        site.watch.start()
        await site.at(two)
        await wait_until(lambda: len(one.indexes) >= 3)  # tried and turned away: the watch stands
        assert len(two.watches) == 1 and two.closed_connections == 0
        two.change(8)
        await wait_until(lambda: site.watch.version == 8)
        await site.silent_beside(one)
        two.change(9)
        await wait_until(lambda: site.watch.version == 9)  # told while the better place is silent
        one.mode, one.version = "tell", 9
        one.writers[-1].transport.abort()  # the next try is answered
        await site.at(one)
        await wait_until(lambda: two.closed_connections == 1)
        assert one.indexes[-1] == 9 and two.indexes == [0] and not site.listings[-1].complete


@async_test
async def test_who_is_behind_never_gets_its_older_list_over_a_newer_one() -> None:
    """The call beside was made at 7, and is answered by changes or a whole list when the watch has told 9."""
    for index in (7, 0):  # 0: the scripted relay tells the whole list
        async with Site(7, 7, back=0.2) as site:
            one, two = site.relays
            one.mode = "lost"
            site.watch.start()
            await site.at(two)
            await site.silent_beside(one)
            two.change(9)
            await wait_until(lambda site=site: site.watch.version == 9)
            beside = site.watch.candidate
            left = one.closed_connections
            one.begin(one.writers[-1], index)
            await wait_until(lambda one=one, left=left: one.closed_connections > left)
            assert beside is not site.watch.call and site.watch.version == 9 and site.watch.is_current()
            assert site.versions() == [7, 9] and two.closed_connections == 0


@async_test
async def test_another_incarnation_notified_by_the_watch_ends_the_concurrent_call() -> None:
    async with Site(50, 50, back=0.2) as site:
        one, two = site.relays
        one.mode = "lost"
        site.watch.start()
        await site.at(two)
        await site.silent_beside(one)
        left = one.closed_connections
        two.version = 3
        two.tell(line(3, True, "new"))
        await wait_until(lambda: site.watch.version == 3 and one.closed_connections > left)
        one.mode, one.version = "tell", 4
        await site.at(one)
        assert site.versions() == [50, 3, 4]


@async_test
async def test_back_and_forth_between_relays_at_different_versions() -> None:
    """By index at both; a relay that is behind holds its answer until it has caught up."""
    async with Site(7, 9) as site:
        one, two = site.relays
        site.watch.start()
        await site.at(one)
        one.end_watches()
        await site.at(two)
        assert two.indexes == [7] and site.watch.version == 9
        site.calls.first_line_timeout = lambda: 30.0  # type: ignore[method-assign]
        one.mode = "mute"  # it is at 7, and 9 ahead of it
        two.mode = "lost"
        two.end_watches()
        await wait_until(lambda: one.indexes[-1] == 9)
        one.mode, one.version = "tell", 9
        one.begin(one.writers[-1], 9)
        await wait_until(lambda: site.watch.is_current())
        one.change(10)
        await wait_until(lambda: site.watch.version == 10)
        assert site.versions() == [7, 9, 9, 10]
        assert [listing.complete for listing in site.listings] == [True, False, False, False]


@async_test
async def test_relays_that_lost_the_source_give_a_list_to_who_starts_and_nobody_flaps() -> None:
    async with Site(7, 7, 7) as site:
        for relay in site.relays:
            relay.mode = "lost"
        site.watch.start()
        await wait_until(lambda: site.listings)
        assert sum(relay.complete for relay in site.relays) == 1 and site.watch.version == 7
        await wait_until(lambda: all(relay.indexes.count(7) >= 2 for relay in site.relays))
        assert len(site.listings) == 1 and not site.source.received
        site.relays[1].mode = "tell"
        await site.at(site.relays[1])
        assert sum(relay.complete for relay in site.relays) == 1 and not site.listings[-1].complete


@async_test
async def test_a_list_of_relays_that_lost_the_source_is_not_taken_over_a_newer_one_that_is_known() -> None:
    async with Site(7, 7) as site:
        site.watch.version = 9  # of the configuration, or a file
        for relay in site.relays:
            relay.mode = "lost"
        site.watch.start()
        await wait_until(lambda: all(relay.indexes.count(9) >= 3 for relay in site.relays))
        assert site.listings == [] and sum(relay.complete for relay in site.relays) == 1


@async_test
async def test_without_relays_the_source_is_called_directly_until_one_is_back() -> None:
    async with Site(7, 7, back=0.3) as site:
        one, two = site.relays
        site.watch.start()
        await site.at(one)
        for relay in site.relays:
            await relay.stop()
        await site.at(site.source)
        assert site.source.indexes == [7] and not site.listings[-1].complete
        site.source.change(8)
        await wait_until(lambda: site.watch.version == 8)
        two.version = 8
        await two.start(two.port)
        await site.at(two)
        await wait_until(lambda: site.source.closed_connections == 1)
        assert two.indexes[-1] == 8 and site.source.indexes == [7] and not site.listings[-1].complete


@async_test
async def test_garbage_of_one_relay_is_followed_by_the_complete_list_of_the_next() -> None:
    async with Site(7, 7) as site:
        one, two = site.relays
        site.watch.start()
        await site.at(one)
        one.tell(b'{"seq":8,"whole":false,"hosts":[{}]}\n')
        await site.at(two)
        assert two.indexes == [0] and site.listings[-1].complete and len(site.listings) == 2


@async_test
async def test_a_moved_discovery_address_is_of_no_matter_while_a_relay_is_watched() -> None:
    async with Site(7, 7) as site:
        site.watch.start()
        await site.at(site.relays[0])
        site.watch.follow_address()
        assert site.watch.version == 7 and site.watch.is_current() and site.relays[0].closed_connections == 0


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


def made(folder: Path, mode: str, relays: str) -> Node:
    (folder / "c.json").write_text(json.dumps(site_config(mode)))
    (folder / "o.toml").write_text(f'config = "c.json"\n[lists]\n{relays}')

    async def make() -> Node:
        return Service(str(folder / "o.toml"), asyncio.get_running_loop()).node

    return asyncio.run(make())


NAMED = 'relays = ["127.0.0.1:1", "127.0.0.1:2"]'


def test_relays_are_called_where_they_are_configured_and_lists_are_polled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    node = made(tmp_path, "subscribe", NAMED)
    assert isinstance(node.watch.policy, RelayCallPolicy) and isinstance(node.watch.addresses, RelayAddresses)
    assert sorted(node.watch.addresses.order) == [("127.0.0.1", 1), ("127.0.0.1", 2)]
    node.reconfigure(read_config(json.dumps(site_config("subscribe"))))
    assert not isinstance(made(tmp_path, "subscribe", "").watch.policy, RelayCallPolicy)
    with pytest.raises(OperatorError, match="lists.relays: .*subscribe"):
        made(tmp_path, "automatic", NAMED)
