"""Tests of a source, relay processes and balancers, with failures between them at chosen moments."""

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


def versions_never_decrease(balancer: ListClient) -> bool:
    versions = balancer.versions()
    return versions == sorted(versions)


@async_test
async def test_relay_killed_during_list_or_change_balancer_resumes_elsewhere() -> None:
    async def complete() -> None:
        async with relay_site(2, list_rows(8_000)) as site:
            one = site.relays[0]
            one.proxy.allowed_bytes = 100_000
            balancer = site.add_balancer(0)
            await wait_until(lambda: one.proxy.allowed_bytes == 0 and one.proxy.withheld_bytes)
            assert not balancer.received
            await one.kill()
            one.proxy.reset_connections()
            await site.wait_until_current()
            assert balancer.is_connected_to(site.relays[1].proxy)
            assert balancer.complete_list_count() == 1 and len(balancer.received) == 1
            assert site.direct_proxy.connection_count == 0

    async def change() -> None:
        async with relay_site(2, list_rows(8_000)) as site:
            one, two = site.relays
            balancer = site.add_balancer(0)
            await site.wait_until_current()
            assert balancer.is_connected_to(one.proxy)
            before, one.proxy.allowed_bytes = two.proxy.forwarded_bytes, 20_000
            names = [f"host-{number:08}" for number in range(2_000)]
            _, version = site.change_rows(*names, health="draining")
            await wait_until(lambda: one.proxy.allowed_bytes == 0 and one.proxy.withheld_bytes)
            assert balancer.watch.version == version - 1
            await one.kill()
            one.proxy.reset_connections()
            await site.wait_until_current()
            assert balancer.is_connected_to(two.proxy) and balancer.complete_list_count() == 1
            assert [row["health"] for row in balancer.rows().values()].count("draining") == 2_000
            assert two.proxy.forwarded_bytes - before < 2_000 * 200

    await run_together(complete, change)


async def relay_suspended_ten_seconds() -> None:
    async with relay_site(2, list_rows(20)) as site, LoopLag() as lag:
        one, two = site.relays
        balancers = [site.add_balancer(0, return_delay_s=0.5) for _ in range(5)]
        await site.wait_until_current()
        await reset_lag(lag)
        await site.wait_for_heartbeat(one.proxy)
        one.send_signal(signal.SIGSTOP)
        suspended_at = time.monotonic()
        since, version = site.change_rows("host-00000003", health="draining")
        assert (
            await site.wait_until_received(version, balancers) - since
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert all(balancer.is_connected_to(two.proxy) for balancer in balancers)
        # The balancers have open calls to the preferred relay, which is suspended and has not read them.
        await wait_until(lambda: all(balancer.watch.counts["tried better"] for balancer in balancers))
        await asyncio.sleep(max(0.0, suspended_at + 10.0 - time.monotonic()))
        site.change_rows("host-00000004", health="draining")
        one.send_signal(signal.SIGCONT)
        await wait_until(lambda: all(balancer.is_connected_to(one.proxy) for balancer in balancers), 20.0)
        site.change_rows("host-00000005", health="draining")
        await site.wait_until_current()
        assert all(
            versions_never_decrease(balancer) and balancer.complete_list_count() == 1
            for balancer in balancers
        )
        assert site.direct_proxy.connection_count == 0


async def one_sided_disconnections() -> None:
    """One relay loses its link to the source, another its link to the balancers; the third is healthy."""
    async with relay_site(3, list_rows(20)) as site, LoopLag() as lag:
        one, two, three = site.relays
        balancers = [site.add_balancer(0, 2) for _ in range(4)] + [site.add_balancer(1, 2) for _ in range(4)]
        await site.wait_until_current()
        await reset_lag(lag)
        await site.wait_for_heartbeat(one.source_proxy)
        one.source_proxy.blocked = True
        first_changed_at, version = site.change_rows("host-00000003", health="draining")
        await site.wait_for_heartbeat(two.proxy)
        two.proxy.blocked = True
        second_changed_at, later = site.change_rows("host-00000004", health="draining")
        assert not any(balancer.received_at(later) < float("inf") for balancer in balancers)
        assert (
            await site.wait_until_received(version, balancers[:4]) - first_changed_at
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert (
            await site.wait_until_received(later, balancers[4:]) - second_changed_at
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        assert all(balancer.is_connected_to(three.proxy) for balancer in balancers)
        assert all(
            versions_never_decrease(balancer) and balancer.complete_list_count() == 1
            for balancer in balancers
        )
        one.source_proxy.blocked = two.proxy.blocked = False
        site.change_rows("host-00000005", health="draining")
        await site.wait_until_current()
        assert (
            all(versions_never_decrease(balancer) for balancer in balancers)
            and site.direct_proxy.connection_count == 0
        )


@async_test
async def test_relay_suspended_or_disconnected_balancers_move_in_time() -> None:
    await run_together(relay_suspended_ten_seconds, one_sided_disconnections)


async def start_node(site: RelaySite) -> Node:
    """Start a node that serves requests and watches these relays; return it once its list is current."""
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*site.direct_proxy.address),
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": SETTINGS | {"registryMode": "subscribe"},
    }
    relays = [relay.proxy.address for relay in site.relays]
    node = Node(read_config(json.dumps(config)), asyncio.get_running_loop(), relays=relays)
    await node.start()
    await wait_until(lambda: node.watch.is_current(), 20.0)
    return node


@async_test
async def test_relay_killed_during_drain_notification_fails_no_request() -> None:
    upstreams = [Peer(responds_with(reply())) for _ in range(2)]
    for upstream in upstreams:
        await upstream.start()
    hosts = [list_row(f"s{number}", port=upstream.port) for number, upstream in enumerate(upstreams)]
    async with relay_site(2, hosts) as site, LoopLag() as lag:
        node = await start_node(site)
        assert node.front.listener is not None
        port = node.front.listener.sockets[0].getsockname()[1]
        stop_requested, statuses = asyncio.Event(), []

        async def client() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while not stop_requested.is_set():
                writer.write(request())
                statuses.append((await read_message(reader)).status)
                await asyncio.sleep(0.01)
            writer.close()

        clients = asyncio.gather(*(client() for _ in range(4)))
        try:
            await wait_until(lambda: all(len(upstream.received) > 20 for upstream in upstreams))
            await reset_lag(lag)
            watched_relay = next(
                relay
                for relay in site.relays
                if relay.proxy.address == node.watch.call.target.address  # type: ignore[union-attr]
            )
            watched_relay.proxy.allowed_bytes = 0
            since, version = site.change_rows("s0", health="draining")
            await wait_until(lambda: watched_relay.proxy.withheld_bytes)
            assert node.watch.version == version - 1
            await watched_relay.kill()
            watched_relay.proxy.reset_connections()
            await wait_until(lambda: node.watch.version == version, 20.0)
            assert time.monotonic() - since <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
            at_drained, at_other = len(upstreams[0].received), len(upstreams[1].received)
            await wait_until(lambda: len(upstreams[1].received) > at_other + 50)
            # At most one request per client was in flight.
            assert len(upstreams[0].received) - at_drained <= 4
            stop_requested.set()
            await clients
            assert set(statuses) == {200} and site.direct_proxy.connection_count == 0
        finally:
            clients.cancel()
            node.watch.stop()
            node.front.stop_listening()
            for upstream in upstreams:
                await upstream.stop()


@async_test
async def test_source_restart_with_lower_or_repeated_version_replaces_list() -> None:
    """Guards against balancers that keep a list of an earlier incarnation of the source.

    The new incarnation begins on an open watch or after an outage of the source, with malformed lines in
    between.
    """
    async with relay_site(2, list_rows(30)) as site:
        balancers = [site.add_balancer(number % 2) for number in range(6)]
        await site.wait_until_current()
        for _ in range(20):
            site.change_rows("host-00000001", born_ms=float(site.service.version))
        await site.wait_until_current()
        site.start_incarnation(5, list_rows(10, born=1.0))  # a lower version on the open watch
        site.send_line(site.service.encoded(None))
        await site.wait_until_current()
        site.start_incarnation(5, list_rows(12, born=2.0))  # a repeated version on the open watch
        site.send_line(site.service.encoded(None))
        await site.wait_until_current()
        received = [len(balancer.received) for balancer in balancers]
        site.send_line(b'{"seq":9,"whole":true,"hosts":[{"host":"bad"}]}\n')
        site.send_line(b"\x00garbage\n")
        await wait_until(lambda: all(relay.has_logged("cannot parse a line") for relay in site.relays))
        await wait_until(lambda: len(site.service.watches) == 2)
        assert [len(balancer.received) for balancer in balancers] == received
        await site.wait_until_current()
        for version, hosts in (
            (5, list_rows(14, born=3.0)),
            (3, list_rows(8, born=4.0)),
        ):  # after an outage of the source
            site.service.stop()
            site.start_incarnation(version, hosts)
            await site.service.start()
            await site.wait_until_current()
        site.change_rows("host-00000002", health="draining")
        await site.wait_until_current()
        assert site.direct_proxy.connection_count == 0


async def index_of_earlier_incarnation(restarted: bool) -> None:
    """Balancers with an index of an earlier incarnation move to another relay.

    Their relay is killed before it sends the new incarnation. The other relay has received both incarnations
    or, if restarted, only the new one.
    """
    async with relay_site(2, list_rows(30)) as site:
        one, two = site.relays
        balancers = [site.add_balancer(0) for _ in range(4)]
        for _ in range(20):
            site.change_rows("host-00000001", born_ms=float(site.service.version))
        await site.wait_until_current()
        one.proxy.allowed_bytes = 0  # the proxy forwards nothing more, while the relay's watches stay open
        if restarted:
            await two.kill()
        site.service.stop()
        site.start_incarnation(5, list_rows(10, born=1.0))
        await site.service.start()
        await wait_until(lambda: len(site.service.watches) == 2 - restarted)
        if restarted:
            await two.start()
            await wait_until(lambda: two.has_logged(" upstreams"))
        assert all(balancer.versions()[-1] == 22 for balancer in balancers)
        await one.kill()
        one.proxy.reset_connections()
        await site.wait_until_current()
        site.change_rows("host-00000002", health="draining")
        await site.wait_until_current()
        # The restarted relay delays its answer to an index above its version. Balancers may take it for lost.
        assert restarted or (
            all(balancer.is_connected_to(two.proxy) for balancer in balancers)
            and site.direct_proxy.connection_count == 0
        )


@async_test
async def test_index_of_earlier_incarnation_gets_current_list() -> None:
    await run_together(
        lambda: index_of_earlier_incarnation(False), lambda: index_of_earlier_incarnation(True)
    )


async def repeated_moves() -> None:
    """Connection resets move balancers between two relays during changes.

    The first relay receives all lines 0.6 s late, the second without delay.
    """
    async with relay_site(2, list_rows(20)) as site:
        one, two = site.relays
        one.source_proxy.response_delay_s = 0.6
        balancers = [site.add_balancer(0, return_delay_s=0.3), site.add_balancer(1, return_delay_s=0.3)]
        await site.wait_until_current()
        deadline = time.monotonic() + 7.0
        moves = 0
        while time.monotonic() < deadline:
            site.change_rows(f"host-{moves % 20:08}", born_ms=float(site.service.version))
            moves += 1
            if moves % 5 == 0:
                (one if moves % 10 else two).proxy.reset_connections()
            await asyncio.sleep(0.05)
        await site.wait_until_current()
        assert all(balancer.ended_watch_count() >= 3 for balancer in balancers)
        assert [versions_never_decrease(balancer) for balancer in balancers] == [True, True]


async def version_not_held_by_relay() -> None:
    """A balancer moves to a relay that never held its version, only an earlier and a later one.

    The relay also has an encoding of the complete list at the earlier version, which it must not send.
    """
    async with relay_site(2, list_rows(200)) as site:
        one, two = site.relays
        balancer, other = site.add_balancer(1), site.add_balancer(0)
        await site.wait_until_current()
        assert balancer.is_connected_to(two.proxy) and other.is_connected_to(one.proxy)
        one.source_proxy.refusing = True
        one.source_proxy.reset_connections()
        for _ in range(2):
            _, version = site.change_rows("host-00000001", born_ms=float(site.service.version))
            await site.wait_until_received(version, [balancer])
        two.proxy.refusing = True
        two.proxy.reset_connections()
        site.change_rows("host-00000002", health="draining")
        one.source_proxy.refusing = False
        await site.wait_until_current()
        assert balancer.is_connected_to(one.proxy) and versions_never_decrease(balancer), balancer.versions()


def drain_received_at(balancer: ListClient, name: str) -> float:
    def contains_drain(listing: Listing) -> bool:
        return any(entry.server == name and entry.state == "draining" for entry in listing.entries)

    return next(
        (received_at for received_at, listing in balancer.received if contains_drain(listing)), float("inf")
    )


async def wait_until_drained(site: RelaySite, name: str, balancers: list[ListClient]) -> float:
    await wait_until(
        lambda: all(drain_received_at(balancer, name) < float("inf") for balancer in balancers), 30.0
    )
    return max(drain_received_at(balancer, name) for balancer in balancers)


async def drain_notification_times() -> None:
    """Measures the time from the source's write of a drain until all balancers have received it.

    First without a failure, then with a relay killed at once, then with a relay killed while it sends.
    """
    async with relay_site(3, list_rows(20)) as site, LoopLag() as lag:
        one, two, three = site.relays
        first, second = (
            [site.add_balancer(0, 2) for _ in range(3)],
            [site.add_balancer(1, 2) for _ in range(3)],
        )
        await site.wait_until_current()
        await reset_lag(lag)
        undisturbed_times = []
        for number in range(7):
            name = f"host-{number:08}"
            since, _ = site.change_rows(name, health="draining")
            undisturbed_times.append(await wait_until_drained(site, name, first + second) - since)
            await site.wait_until_current()
        assert sorted(undisturbed_times)[3] <= 0.25 + 2 * lag.max_lag_s, undisturbed_times
        since, _ = site.change_rows("host-00000010", health="draining")
        await one.kill()
        one.proxy.reset_connections()
        assert (
            await wait_until_drained(site, "host-00000010", first + second) - since
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        await site.wait_until_current()
        two.proxy.allowed_bytes = 0
        since, _ = site.change_rows("host-00000011", health="draining")
        # The relay has sent the change, and no balancer has received it.
        await wait_until(lambda: two.proxy.withheld_bytes)
        await two.kill()
        two.proxy.reset_connections()
        assert (
            await wait_until_drained(site, "host-00000011", first + second) - since
            <= RECEIVED_WITHIN_S + 2 * lag.max_lag_s
        )
        await site.wait_until_current()
        assert all(
            balancer.is_connected_to(three.proxy) and balancer.complete_list_count() == 1
            for balancer in site.balancers
        )


@async_test
async def test_moves_between_relays_keep_order_and_drains_arrive_in_time() -> None:
    await run_together(repeated_moves, version_not_held_by_relay, drain_notification_times)


async def source_down() -> None:
    async with relay_site(2, list_rows(20)) as site:
        balancers = [site.add_balancer(number % 2) for number in range(8)]
        await site.wait_until_current()
        site.change_rows("host-00000001", health="draining")
        await site.wait_until_current()
        received = [len(balancer.received) for balancer in balancers]
        ended = [balancer.ended_watch_count() for balancer in balancers]
        site.service.stop()
        await wait_until(lambda: all(relay.has_logged("source lost") for relay in site.relays))
        new_balancer = site.add_balancer(0)
        await wait_until(lambda: new_balancer.rows() == site.service.rows)
        await asyncio.sleep(3.0)
        assert [len(balancer.received) for balancer in balancers] == received
        answers, calls = len(site.service.answers), len(site.service.calls)
        await site.service.start()
        await site.wait_until_current()
        assert len(site.service.calls) - calls == len(site.service.answers) - answers == 2
        assert site.direct_proxy.connection_count == 0
        site.change_rows("host-00000002", health="draining")
        await site.wait_until_current()
        for balancer, ended_before in zip(balancers, ended, strict=True):
            assert balancer.ended_watch_count() == ended_before + 1
        for balancer, received_before in zip(balancers, received, strict=True):
            assert balancer.complete_list_count() == 1
            assert len(balancer.received) == received_before + 2  # an empty update and the change
        assert new_balancer.complete_list_count() == 1


async def all_relays_killed() -> None:
    """Direct calls to the source are spread over an interval that depends on the fleet size.

    It is 92 s for a fleet of 4,600, 2 s for a fleet of 116 whose calls are rejected, and 0 s for a fleet of
    10.
    """
    async with relay_site(2, list_rows(20)) as site:
        closed = await site.add_proxy(site.direct_proxy.target)
        closed.refusing = True
        many = [site.add_balancer(number % 2, fleet_size=4_600, return_delay_s=1.0) for number in range(20)]
        middle = [
            site.add_balancer(number % 2, fleet_size=116, return_delay_s=1.0, direct=closed)
            for number in range(20)
        ]
        await site.wait_until_current(seconds=30.0)
        assert site.direct_proxy.connection_count == closed.connection_count == 0
        for relay in site.relays:
            await relay.kill()
            relay.proxy.reset_connections()
        since = time.monotonic()
        await asyncio.sleep(8.0)
        elapsed_s = time.monotonic() - since  # more than 8 s on a busy machine
        assert site.direct_proxy.connection_count < 10 * elapsed_s / 8.0  # the expected mean is 20 * 8 / 92
        assert 20 <= closed.connection_count <= 100 * elapsed_s / 8.0  # the expected mean is 20 * 8 / 2
        few = [site.add_balancer(0, fleet_size=10, return_delay_s=1.0) for _ in range(3)]
        await wait_until(lambda: all(balancer.is_connected_to(site.direct_proxy) for balancer in few), 20.0)
        site.change_rows("host-00000001", health="draining")
        await site.wait_until_current(*few)
        await site.relays[0].start()
        here = site.relays[0].proxy
        await wait_until(lambda: all(balancer.is_connected_to(here) for balancer in site.balancers), 20.0)
        site.change_rows("host-00000002", health="draining")
        await site.wait_until_current()
        assert all(versions_never_decrease(balancer) for balancer in site.balancers)
        # The restarted relay knows no changes before its first list.
        assert all(balancer.complete_list_count() == 1 for balancer in few)
        assert all(balancer.complete_list_count() <= 2 for balancer in many + middle)


@async_test
async def test_source_outage_and_loss_of_all_relays_recover() -> None:
    await run_together(source_down, all_relays_killed)


class LongestWait(random.Random):
    """A random generator that draws the longest wait of any range."""

    def random(self) -> float:
        return 0.999


@async_test
async def test_sigterm_of_relay_moves_thirty_watchers_by_index() -> None:
    """At SIGTERM, watchers continue at other relays by index within a second, without a complete list."""
    async with relay_site(3, list_rows(2_000)) as site, LoopLag() as lag:
        one, others = site.relays[0], site.relays[1:]
        balancers = [site.add_balancer(0) for _ in range(30)]
        await site.wait_until_current()
        await reset_lag(lag)
        for balancer in balancers:
            balancer.calls.rng = LongestWait()
        assert all(balancer.is_connected_to(one.proxy) for balancer in balancers)
        before = [relay.proxy.forwarded_bytes for relay in others]
        complete = len(site.service.encoded(None))
        since = time.monotonic()
        one.send_signal(signal.SIGTERM)
        other_proxies = [relay.proxy for relay in others]
        await wait_until(
            lambda: all(
                any(balancer.is_connected_to(proxy) for proxy in other_proxies) for balancer in balancers
            ),
            20.0,
        )
        assert time.monotonic() - since <= 1.0 + 2 * lag.max_lag_s
        assert one.process is not None and await one.process.wait() == 0
        sent = [
            relay.proxy.forwarded_bytes - bytes_before
            for relay, bytes_before in zip(others, before, strict=True)
        ]
        assert all(sent) and sum(sent) < 30 * 1_000 < complete
        assert all(balancer.complete_list_count() == 1 for balancer in balancers)
        _, version = site.change_rows("host-00000001", health="draining")
        await site.wait_until_current()
        assert all(balancer.versions()[-2:] == [version - 1, version] for balancer in balancers)
        assert list_row("host-00000001", "draining") in balancers[0].rows().values()
