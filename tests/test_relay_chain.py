"""Source, relays as processes, and balancers: failures in between, at forced moments."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time

from peers import SETTINGS, LoopLag, Peer, async_test, read_message, reply, request, responds_with, wait_until
from relay_site import ListClient, RelaySite, list_row, list_rows, relay_site, reset_lag, run_together

from quartzford.membership.listing import Listing
from quartzford.node import Node
from quartzford.settings.configuration import read_config

RECEIVED_WITHIN_S = 6.0


def never_falls(balancer: ListClient) -> bool:
    versions = balancer.versions()
    return versions == sorted(versions)


@async_test
async def test_a_relay_killed_in_the_middle_of_a_complete_list_and_of_a_change() -> None:
    async def complete() -> None:
        async with relay_site(2, list_rows(8_000)) as at:
            one = at.relays[0]
            one.proxy.allowed_bytes = 100_000
            balancer = at.add_balancer(0)
            await wait_until(lambda: one.proxy.allowed_bytes == 0 and one.proxy.withheld_bytes)
            assert not balancer.received
            await one.kill()
            one.proxy.reset_connections()
            await at.wait_until_current()
            assert balancer.is_connected_to(at.relays[1].proxy)
            assert balancer.complete_list_count() == 1 and len(balancer.received) == 1
            assert at.direct_proxy.connection_count == 0

    async def change() -> None:
        async with relay_site(2, list_rows(8_000)) as at:
            one, two = at.relays
            balancer = at.add_balancer(0)
            await at.wait_until_current()
            assert balancer.is_connected_to(one.proxy)
            before, one.proxy.allowed_bytes = two.proxy.forwarded_bytes, 20_000
            names = [f"host-{number:08}" for number in range(2_000)]
            _, version = at.change_rows(*names, health="draining")
            await wait_until(lambda: one.proxy.allowed_bytes == 0 and one.proxy.withheld_bytes)
            assert balancer.watch.version == version - 1
            await one.kill()
            one.proxy.reset_connections()
            await at.wait_until_current()
            assert balancer.is_connected_to(two.proxy) and balancer.complete_list_count() == 1
            assert [row["health"] for row in balancer.rows().values()].count("draining") == 2_000
            assert two.proxy.forwarded_bytes - before < 2_000 * 200

    await run_together(complete, change)


async def stopped_for_ten_seconds() -> None:
    async with relay_site(2, list_rows(20)) as at, LoopLag() as lag:
        one, two = at.relays
        balancers = [at.add_balancer(0, return_delay_s=0.5) for _ in range(5)]
        await at.wait_until_current()
        await reset_lag(lag)
        await at.wait_for_heartbeat(one.proxy)
        one.send_signal(signal.SIGSTOP)
        stopped = time.monotonic()
        since, version = at.change_rows("host-00000003", health="draining")
        assert (
            await at.wait_until_received(version, balancers) - since <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert all(balancer.is_connected_to(two.proxy) for balancer in balancers)
        # Calls for a better place wait at the stopped relay, and it has not read what came.
        await wait_until(lambda: all(balancer.watch.counts["tried better"] for balancer in balancers))
        await asyncio.sleep(max(0.0, stopped + 10.0 - time.monotonic()))
        at.change_rows("host-00000004", health="draining")
        one.send_signal(signal.SIGCONT)
        await wait_until(lambda: all(balancer.is_connected_to(one.proxy) for balancer in balancers), 20.0)
        at.change_rows("host-00000005", health="draining")
        await at.wait_until_current()
        assert all(never_falls(balancer) and balancer.complete_list_count() == 1 for balancer in balancers)
        assert at.direct_proxy.connection_count == 0


async def cut_on_one_side() -> None:
    """The first relay is cut from the source, the second from its balancers; the third is healthy."""
    async with relay_site(3, list_rows(20)) as at, LoopLag() as lag:
        one, two, three = at.relays
        balancers = [at.add_balancer(0, 2) for _ in range(4)] + [at.add_balancer(1, 2) for _ in range(4)]
        await at.wait_until_current()
        await reset_lag(lag)
        await at.wait_for_heartbeat(one.source_proxy)
        one.source_proxy.blocked = True
        cut, version = at.change_rows("host-00000003", health="draining")
        await at.wait_for_heartbeat(two.proxy)
        two.proxy.blocked = True
        cut_too, later = at.change_rows("host-00000004", health="draining")
        assert not any(balancer.received_at(later) < float("inf") for balancer in balancers)
        assert (
            await at.wait_until_received(version, balancers[:4]) - cut
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert (
            await at.wait_until_received(later, balancers[4:]) - cut_too
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert all(balancer.is_connected_to(three.proxy) for balancer in balancers)
        assert all(never_falls(balancer) and balancer.complete_list_count() == 1 for balancer in balancers)
        one.source_proxy.blocked = two.proxy.blocked = False
        at.change_rows("host-00000005", health="draining")
        await at.wait_until_current()
        assert all(never_falls(balancer) for balancer in balancers) and at.direct_proxy.connection_count == 0


@async_test
async def test_a_relay_stopped_for_ten_seconds_and_relays_cut_from_the_source_or_their_balancers() -> None:
    await run_together(stopped_for_ten_seconds, cut_on_one_side)


async def serving(at: RelaySite) -> Node:
    """A balancer that serves, with these relays."""
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*at.direct_proxy.address),
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": SETTINGS | {"registryMode": "subscribe"},
    }
    relays = [relay.proxy.address for relay in at.relays]
    node = Node(read_config(json.dumps(config)), asyncio.get_running_loop(), relays=relays)
    await node.start()
    await wait_until(lambda: node.watch.is_current(), 20.0)
    return node


@async_test
async def test_requests_go_on_while_a_relay_is_killed_that_was_notifying_of_a_drain() -> None:
    upstreams = [Peer(responds_with(reply())) for _ in range(2)]
    for up in upstreams:
        await up.start()
    hosts = [list_row(f"s{number}", port=up.port) for number, up in enumerate(upstreams)]
    async with relay_site(2, hosts) as at, LoopLag() as lag:
        node = await serving(at)
        assert node.front.listener is not None
        port = node.front.listener.sockets[0].getsockname()[1]
        ends, statuses = asyncio.Event(), []

        async def client() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while not ends.is_set():
                writer.write(request())
                statuses.append((await read_message(reader)).status)
                await asyncio.sleep(0.01)
            writer.close()

        clients = asyncio.gather(*(client() for _ in range(4)))
        try:
            await wait_until(lambda: all(len(up.received) > 20 for up in upstreams))
            await reset_lag(lag)
            mine = next(relay for relay in at.relays if relay.proxy.address == node.watch.call.target.address)  # type: ignore[union-attr]
            mine.proxy.allowed_bytes = 0
            since, version = at.change_rows("s0", health="draining")
            await wait_until(lambda: mine.proxy.withheld_bytes)
            assert node.watch.version == version - 1
            await mine.kill()
            mine.proxy.reset_connections()
            await wait_until(lambda: node.watch.version == version, 20.0)
            assert time.monotonic() - since <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
            at_drained, at_other = len(upstreams[0].received), len(upstreams[1].received)
            await wait_until(lambda: len(upstreams[1].received) > at_other + 50)
            assert len(upstreams[0].received) - at_drained <= 4  # what was on its way, of four clients
            ends.set()
            await clients
            assert set(statuses) == {200} and at.direct_proxy.connection_count == 0
        finally:
            clients.cancel()
            node.watch.stop()
            node.front.stop_listening()
            for up in upstreams:
                await up.stop()


@async_test
async def test_the_source_begins_again_with_lower_versions_and_repeats_a_version_with_other_rows() -> None:
    """A new incarnation on the watch that stands, and after the source was down; garbage in between."""
    async with relay_site(2, list_rows(30)) as at:
        balancers = [at.add_balancer(number % 2) for number in range(6)]
        await at.wait_until_current()
        for _ in range(20):
            at.change_rows("host-00000001", born_ms=float(at.service.version))
        await at.wait_until_current()
        at.start_incarnation(5, list_rows(10, born=1.0))  # lower, on the watch
        at.send_line(at.service.encoded(None))
        await at.wait_until_current()
        at.start_incarnation(5, list_rows(12, born=2.0))  # repeated, on the watch
        at.send_line(at.service.encoded(None))
        await at.wait_until_current()
        received = [len(balancer.received) for balancer in balancers]
        at.send_line(b'{"seq":9,"whole":true,"hosts":[{"host":"bad"}]}\n')
        at.send_line(b"\x00garbage\n")
        await wait_until(lambda: all(relay.has_logged("cannot parse a line") for relay in at.relays))
        await wait_until(lambda: len(at.service.watches) == 2)
        assert [len(balancer.received) for balancer in balancers] == received
        await at.wait_until_current()
        for version, hosts in (
            (5, list_rows(14, born=3.0)),
            (3, list_rows(8, born=4.0)),
        ):  # behind a death of it
            at.service.stop()
            at.start_incarnation(version, hosts)
            await at.service.start()
            await at.wait_until_current()
        at.change_rows("host-00000002", health="draining")
        await at.wait_until_current()
        assert at.direct_proxy.connection_count == 0


async def index_of_an_earlier_life(anew: bool) -> None:
    """Its relay is killed before it sends the new incarnation; the other has heard both, or only that."""
    async with relay_site(2, list_rows(30)) as at:
        one, two = at.relays
        balancers = [at.add_balancer(0) for _ in range(4)]
        for _ in range(20):
            at.change_rows("host-00000001", born_ms=float(at.service.version))
        await at.wait_until_current()
        one.proxy.allowed_bytes = 0  # not held: the relay's watches stand, and nothing comes
        if anew:
            await two.kill()
        at.service.stop()
        at.start_incarnation(5, list_rows(10, born=1.0))
        await at.service.start()
        await wait_until(lambda: len(at.service.watches) == 2 - anew)
        if anew:
            await two.start()
            await wait_until(lambda: two.has_logged(" upstreams"))
        assert all(balancer.versions()[-1] == 22 for balancer in balancers)
        await one.kill()
        one.proxy.reset_connections()
        await at.wait_until_current()
        at.change_rows("host-00000002", health="draining")
        await at.wait_until_current()
        # The new relay makes an index above its version wait, which may look as if no relay were there.
        assert anew or (
            all(balancer.is_connected_to(two.proxy) for balancer in balancers)
            and at.direct_proxy.connection_count == 0
        )


@async_test
async def test_a_balancer_comes_by_an_index_of_an_earlier_life() -> None:
    await run_together(lambda: index_of_an_earlier_life(False), lambda: index_of_an_earlier_life(True))


async def back_and_forth() -> None:
    """The first relay hears all lines 0.6 s late, the second at once; moves by resets, under changes."""
    async with relay_site(2, list_rows(20)) as at:
        one, two = at.relays
        one.source_proxy.response_delay_s = 0.6
        balancers = [at.add_balancer(0, return_delay_s=0.3), at.add_balancer(1, return_delay_s=0.3)]
        await at.wait_until_current()
        ends = time.monotonic() + 7.0
        moves = 0
        while time.monotonic() < ends:
            at.change_rows(f"host-{moves % 20:08}", born_ms=float(at.service.version))
            moves += 1
            if moves % 5 == 0:
                (one if moves % 10 else two).proxy.reset_connections()
            await asyncio.sleep(0.05)
        await at.wait_until_current()
        assert all(balancer.ended_watch_count() >= 3 for balancer in balancers)
        assert [never_falls(balancer) for balancer in balancers] == [True, True]


async def a_version_that_the_relay_never_held() -> None:
    """Between two that it held; and of the list at the first of them it has an encoding at hand."""
    async with relay_site(2, list_rows(200)) as at:
        one, two = at.relays
        balancer, other = at.add_balancer(1), at.add_balancer(0)
        await at.wait_until_current()
        assert balancer.is_connected_to(two.proxy) and other.is_connected_to(one.proxy)
        one.source_proxy.refusing = True
        one.source_proxy.reset_connections()
        for _ in range(2):
            _, version = at.change_rows("host-00000001", born_ms=float(at.service.version))
            await at.wait_until_received(version, [balancer])
        two.proxy.refusing = True
        two.proxy.reset_connections()
        at.change_rows("host-00000002", health="draining")
        one.source_proxy.refusing = False
        await at.wait_until_current()
        assert balancer.is_connected_to(one.proxy) and never_falls(balancer), balancer.versions()


def draining_at(balancer: ListClient, name: str) -> float:
    def drains(listing: Listing) -> bool:
        return any(entry.server == name and entry.state == "draining" for entry in listing.entries)

    return next((at for at, listing in balancer.received if drains(listing)), float("inf"))


async def drained(at: RelaySite, name: str, balancers: list[ListClient]) -> float:
    await wait_until(lambda: all(draining_at(balancer, name) < float("inf") for balancer in balancers), 30.0)
    return max(draining_at(balancer, name) for balancer in balancers)


async def drains() -> None:
    """From the source's write on: no failure, a relay killed then, and one killed as it sends."""
    async with relay_site(3, list_rows(20)) as at, LoopLag() as lag:
        one, two, three = at.relays
        first, second = [at.add_balancer(0, 2) for _ in range(3)], [at.add_balancer(1, 2) for _ in range(3)]
        await at.wait_until_current()
        await reset_lag(lag)
        quiet = []
        for number in range(7):
            name = f"host-{number:08}"
            since, _ = at.change_rows(name, health="draining")
            quiet.append(await drained(at, name, first + second) - since)
            await at.wait_until_current()
        assert sorted(quiet)[3] <= 0.25 + 2 * lag.max_lag_s, quiet
        since, _ = at.change_rows("host-00000010", health="draining")
        await one.kill()
        one.proxy.reset_connections()
        assert (
            await drained(at, "host-00000010", first + second) - since
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        await at.wait_until_current()
        two.proxy.allowed_bytes = 0
        since, _ = at.change_rows("host-00000011", health="draining")
        await wait_until(lambda: two.proxy.withheld_bytes)  # the relay has written it, and nobody has got it
        await two.kill()
        two.proxy.reset_connections()
        assert (
            await drained(at, "host-00000011", first + second) - since
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        await at.wait_until_current()
        assert all(
            balancer.is_connected_to(three.proxy) and balancer.complete_list_count() == 1
            for balancer in at.balancers
        )


@async_test
async def test_moved_between_relays_at_different_versions_and_drains_are_notified_in_time() -> None:
    await run_together(back_and_forth, a_version_that_the_relay_never_held, drains)


async def source_down() -> None:
    async with relay_site(2, list_rows(20)) as at:
        balancers = [at.add_balancer(number % 2) for number in range(8)]
        await at.wait_until_current()
        at.change_rows("host-00000001", health="draining")
        await at.wait_until_current()
        received = [len(balancer.received) for balancer in balancers]
        ended = [balancer.ended_watch_count() for balancer in balancers]
        at.service.stop()
        await wait_until(lambda: all(relay.has_logged("source lost") for relay in at.relays))
        starter = at.add_balancer(0)
        await wait_until(lambda: starter.rows() == at.service.rows)
        await asyncio.sleep(3.0)
        assert [len(balancer.received) for balancer in balancers] == received
        answers, calls = len(at.service.answers), len(at.service.calls)
        await at.service.start()
        await at.wait_until_current()
        assert len(at.service.calls) - calls == len(at.service.answers) - answers == 2
        assert at.direct_proxy.connection_count == 0
        at.change_rows("host-00000002", health="draining")
        await at.wait_until_current()
        for balancer, ended_before in zip(balancers, ended, strict=True):
            assert balancer.ended_watch_count() == ended_before + 1
        for balancer, received_before in zip(balancers, received, strict=True):
            assert balancer.complete_list_count() == 1
            assert len(balancer.received) == received_before + 2  # an empty update, and the change
        assert starter.complete_list_count() == 1


async def all_relays_gone() -> None:
    """The spread interval: 92 s in a fleet of 4,600, 2 s in one of 116 that is rejected, 0 in one of 10."""
    async with relay_site(2, list_rows(20)) as at:
        closed = await at.add_proxy(at.direct_proxy.target)
        closed.refusing = True
        many = [at.add_balancer(number % 2, fleet_size=4_600, return_delay_s=1.0) for number in range(20)]
        middle = [
            at.add_balancer(number % 2, fleet_size=116, return_delay_s=1.0, direct=closed)
            for number in range(20)
        ]
        await at.wait_until_current(seconds=30.0)
        assert at.direct_proxy.connection_count == closed.connection_count == 0
        for relay in at.relays:
            await relay.kill()
            relay.proxy.reset_connections()
        since = time.monotonic()
        await asyncio.sleep(8.0)
        took = time.monotonic() - since  # longer on a busy machine
        assert at.direct_proxy.connection_count < 10 * took / 8.0  # on average 20 * 8 / 92
        assert 20 <= closed.connection_count <= 100 * took / 8.0  # on average 20 * 8 / 2
        few = [at.add_balancer(0, fleet_size=10, return_delay_s=1.0) for _ in range(3)]
        await wait_until(lambda: all(balancer.is_connected_to(at.direct_proxy) for balancer in few), 20.0)
        at.change_rows("host-00000001", health="draining")
        await at.wait_until_current(*few)
        await at.relays[0].start()
        here = at.relays[0].proxy
        await wait_until(lambda: all(balancer.is_connected_to(here) for balancer in at.balancers), 20.0)
        at.change_rows("host-00000002", health="draining")
        await at.wait_until_current()
        assert all(never_falls(balancer) for balancer in at.balancers)
        # The relay that began anew has no changes before its first list.
        assert all(balancer.complete_list_count() == 1 for balancer in few)
        assert all(balancer.complete_list_count() <= 2 for balancer in many + middle)


@async_test
async def test_the_source_down_for_some_seconds_and_all_relays_gone() -> None:
    await run_together(source_down, all_relays_gone)


class Latest(random.Random):
    """A generator that draws the longest wait of any range."""

    def random(self) -> float:
        return 0.999


@async_test
async def test_sigterm_of_a_relay_under_thirty_watchers() -> None:
    """Watchers go on elsewhere by index within a second, and no complete list is sent anywhere."""
    async with relay_site(3, list_rows(2_000)) as at, LoopLag() as lag:
        one, others = at.relays[0], at.relays[1:]
        balancers = [at.add_balancer(0) for _ in range(30)]
        await at.wait_until_current()
        await reset_lag(lag)
        for balancer in balancers:
            balancer.calls.rng = Latest()
        assert all(balancer.is_connected_to(one.proxy) for balancer in balancers)
        before = [relay.proxy.forwarded_bytes for relay in others]
        complete = len(at.service.encoded(None))
        since = time.monotonic()
        one.send_signal(signal.SIGTERM)
        elsewhere = [relay.proxy for relay in others]
        await wait_until(
            lambda: all(
                any(balancer.is_connected_to(proxy) for proxy in elsewhere) for balancer in balancers
            ),
            20.0,
        )
        assert time.monotonic() - since <= 1.0 + 2 * lag.max_lag_s
        assert one.process is not None and await one.process.wait() == 0
        sent = [relay.proxy.forwarded_bytes - was for relay, was in zip(others, before, strict=True)]
        assert all(sent) and sum(sent) < 30 * 1_000 < complete
        assert all(balancer.complete_list_count() == 1 for balancer in balancers)
        _, version = at.change_rows("host-00000001", health="draining")
        await at.wait_until_current()
        assert all(balancer.versions()[-2:] == [version - 1, version] for balancer in balancers)
        assert list_row("host-00000001", "draining") in balancers[0].rows().values()
