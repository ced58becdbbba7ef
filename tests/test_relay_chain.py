"""Source, relays as processes, and balancers: failures in between, at forced moments."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time

from peers import SETTINGS, Lag, Peer, read_message, reply, request, run, says, until
from relay_site import Balancer, Site, begin, row, rows, run_together, site

from quartzford.membership.listing import Listing
from quartzford.node import Node
from quartzford.settings.configuration import read_config

RECEIVED_WITHIN_S = 6.0


def never_falls(balancer: Balancer) -> bool:
    versions = balancer.versions()
    return versions == sorted(versions)


@run
async def test_a_relay_killed_in_the_middle_of_a_complete_list_and_of_a_change() -> None:
    async def complete() -> None:
        async with site(2, rows(8_000)) as at:
            one = at.relays[0]
            one.gate.allowed = 100_000
            balancer = at.balancer(0)
            await until(lambda: one.gate.allowed == 0 and one.gate.waiting)
            assert not balancer.received
            await one.kill()
            one.gate.drop()
            await at.settled()
            assert balancer.at(at.relays[1].gate)
            assert balancer.complete_lists() == 1 and len(balancer.received) == 1
            assert at.next_call_direct.received == 0

    async def change() -> None:
        async with site(2, rows(8_000)) as at:
            one, two = at.relays
            balancer = at.balancer(0)
            await at.settled()
            assert balancer.at(one.gate)
            before, one.gate.allowed = two.gate.down, 20_000
            names = [f"host-{number:08}" for number in range(2_000)]
            _, version = at.change(*names, health="draining")
            await until(lambda: one.gate.allowed == 0 and one.gate.waiting)
            assert balancer.watch.version == version - 1
            await one.kill()
            one.gate.drop()
            await at.settled()
            assert balancer.at(two.gate) and balancer.complete_lists() == 1
            assert [row["health"] for row in balancer.rows().values()].count("draining") == 2_000
            assert two.gate.down - before < 2_000 * 200

    await run_together(complete, change)


async def stopped_for_ten_seconds() -> None:
    async with site(2, rows(20)) as at, Lag() as lag:
        one, two = at.relays
        balancers = [at.balancer(0, back=0.5) for _ in range(5)]
        await at.settled()
        await begin(lag)
        await at.after_heartbeat(one.gate)
        one.send(signal.SIGSTOP)
        stopped = time.monotonic()
        since, version = at.change("host-00000003", health="draining")
        assert await at.all_received(version, balancers) - since <= RECEIVED_WITHIN_S + 2 * lag.worst
        assert all(balancer.at(two.gate) for balancer in balancers)
        # Calls for a better place wait at the stopped relay, and it has not read what came.
        await until(lambda: all(balancer.watch.counts["tried better"] for balancer in balancers))
        await asyncio.sleep(max(0.0, stopped + 10.0 - time.monotonic()))
        at.change("host-00000004", health="draining")
        one.send(signal.SIGCONT)
        await until(lambda: all(balancer.at(one.gate) for balancer in balancers), 20.0)
        at.change("host-00000005", health="draining")
        await at.settled()
        assert all(never_falls(balancer) and balancer.complete_lists() == 1 for balancer in balancers)
        assert at.next_call_direct.received == 0


async def cut_on_one_side() -> None:
    """The first relay is cut from the source, the second from its balancers; the third is healthy."""
    async with site(3, rows(20)) as at, Lag() as lag:
        one, two, three = at.relays
        balancers = [at.balancer(0, 2) for _ in range(4)] + [at.balancer(1, 2) for _ in range(4)]
        await at.settled()
        await begin(lag)
        await at.after_heartbeat(one.to_source)
        one.to_source.held = True
        cut, version = at.change("host-00000003", health="draining")
        await at.after_heartbeat(two.gate)
        two.gate.held = True
        cut_too, later = at.change("host-00000004", health="draining")
        assert not any(balancer.received_at(later) < float("inf") for balancer in balancers)
        assert await at.all_received(version, balancers[:4]) - cut <= RECEIVED_WITHIN_S + 2 * lag.worst
        assert await at.all_received(later, balancers[4:]) - cut_too <= RECEIVED_WITHIN_S + 2 * lag.worst
        assert all(balancer.at(three.gate) for balancer in balancers)
        assert all(never_falls(balancer) and balancer.complete_lists() == 1 for balancer in balancers)
        one.to_source.held = two.gate.held = False
        at.change("host-00000005", health="draining")
        await at.settled()
        assert all(never_falls(balancer) for balancer in balancers) and at.next_call_direct.received == 0


@run
async def test_a_relay_stopped_for_ten_seconds_and_relays_cut_from_the_source_or_their_balancers() -> None:
    await run_together(stopped_for_ten_seconds, cut_on_one_side)


async def serving(at: Site) -> Node:
    """A balancer that serves, with these relays."""
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*at.next_call_direct.address),
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": SETTINGS | {"registryMode": "subscribe"},
    }
    relays = [relay.gate.address for relay in at.relays]
    node = Node(read_config(json.dumps(config)), asyncio.get_running_loop(), relays=relays)
    await node.start()
    await until(lambda: node.watch.is_current(), 20.0)
    return node


@run
async def test_requests_go_on_while_a_relay_is_killed_that_was_notifying_of_a_drain() -> None:
    upstreams = [Peer(says(reply())) for _ in range(2)]
    for up in upstreams:
        await up.start()
    hosts = [row(f"s{number}", port=up.port) for number, up in enumerate(upstreams)]
    async with site(2, hosts) as at, Lag() as lag:
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
            await until(lambda: all(len(up.received) > 20 for up in upstreams))
            await begin(lag)
            mine = next(relay for relay in at.relays if relay.gate.address == node.watch.call.target.address)  # type: ignore[union-attr]
            mine.gate.allowed = 0
            since, version = at.change("s0", health="draining")
            await until(lambda: mine.gate.waiting)
            assert node.watch.version == version - 1
            await mine.kill()
            mine.gate.drop()
            await until(lambda: node.watch.version == version, 20.0)
            assert time.monotonic() - since <= RECEIVED_WITHIN_S + 2 * lag.worst
            at_drained, at_other = len(upstreams[0].received), len(upstreams[1].received)
            await until(lambda: len(upstreams[1].received) > at_other + 50)
            assert len(upstreams[0].received) - at_drained <= 4  # what was on its way, of four clients
            ends.set()
            await clients
            assert set(statuses) == {200} and at.next_call_direct.received == 0
        finally:
            clients.cancel()
            node.watch.stop()
            node.front.stop_listening()
            for up in upstreams:
                await up.stop()


@run
async def test_the_source_begins_again_with_lower_versions_and_repeats_a_version_with_other_rows() -> None:
    """A new incarnation on the watch that stands, and after the source was down; garbage in between."""
    async with site(2, rows(30)) as at:
        balancers = [at.balancer(number % 2) for number in range(6)]
        await at.settled()
        for _ in range(20):
            at.change("host-00000001", born_ms=float(at.service.version))
        await at.settled()
        at.begin_incarnation(5, rows(10, born=1.0))  # lower, on the watch
        at.send_line(at.service.encoded(None))
        await at.settled()
        at.begin_incarnation(5, rows(12, born=2.0))  # repeated, on the watch
        at.send_line(at.service.encoded(None))
        await at.settled()
        received = [len(balancer.received) for balancer in balancers]
        at.send_line(b'{"seq":9,"whole":true,"hosts":[{"host":"bad"}]}\n')
        at.send_line(b"\x00garbage\n")
        await until(lambda: all(relay.has_logged("a bad line") for relay in at.relays))
        await until(lambda: len(at.service.watches) == 2)
        assert [len(balancer.received) for balancer in balancers] == received
        await at.settled()
        for version, hosts in ((5, rows(14, born=3.0)), (3, rows(8, born=4.0))):  # behind a death of it
            at.service.stop()
            at.begin_incarnation(version, hosts)
            await at.service.start()
            await at.settled()
        at.change("host-00000002", health="draining")
        await at.settled()
        assert at.next_call_direct.received == 0


async def index_of_an_earlier_life(anew: bool) -> None:
    """Its relay is killed before it sends the new incarnation; the other has heard both, or only that."""
    async with site(2, rows(30)) as at:
        one, two = at.relays
        balancers = [at.balancer(0) for _ in range(4)]
        for _ in range(20):
            at.change("host-00000001", born_ms=float(at.service.version))
        await at.settled()
        one.gate.allowed = 0  # not held: the relay's watches stand, and nothing comes
        if anew:
            await two.kill()
        at.service.stop()
        at.begin_incarnation(5, rows(10, born=1.0))
        await at.service.start()
        await until(lambda: len(at.service.watches) == 2 - anew)
        if anew:
            await two.start()
            await until(lambda: two.has_logged(" upstreams"))
        assert all(balancer.versions()[-1] == 22 for balancer in balancers)
        await one.kill()
        one.gate.drop()
        await at.settled()
        at.change("host-00000002", health="draining")
        await at.settled()
        # The new relay makes an index above its version wait, which may look as if no relay were there.
        assert anew or (
            all(balancer.at(two.gate) for balancer in balancers) and at.next_call_direct.received == 0
        )


@run
async def test_a_balancer_comes_by_an_index_of_an_earlier_life() -> None:
    await run_together(lambda: index_of_an_earlier_life(False), lambda: index_of_an_earlier_life(True))


async def back_and_forth() -> None:
    """The first relay hears all lines 0.6 s late, the second at once; moves by resets, under changes."""
    async with site(2, rows(20)) as at:
        one, two = at.relays
        one.to_source.delay = 0.6
        balancers = [at.balancer(0, back=0.3), at.balancer(1, back=0.3)]
        await at.settled()
        ends = time.monotonic() + 7.0
        moves = 0
        while time.monotonic() < ends:
            at.change(f"host-{moves % 20:08}", born_ms=float(at.service.version))
            moves += 1
            if moves % 5 == 0:
                (one if moves % 10 else two).gate.drop()
            await asyncio.sleep(0.05)
        await at.settled()
        assert all(balancer.watches_ended() >= 3 for balancer in balancers)
        assert [never_falls(balancer) for balancer in balancers] == [True, True]


async def a_version_that_the_relay_never_held() -> None:
    """Between two that it held; and of the list at the first of them it has an encoding at hand."""
    async with site(2, rows(200)) as at:
        one, two = at.relays
        balancer, other = at.balancer(1), at.balancer(0)
        await at.settled()
        assert balancer.at(two.gate) and other.at(one.gate)
        one.to_source.refusing = True
        one.to_source.drop()
        for _ in range(2):
            _, version = at.change("host-00000001", born_ms=float(at.service.version))
            await at.all_received(version, [balancer])
        two.gate.refusing = True
        two.gate.drop()
        at.change("host-00000002", health="draining")
        one.to_source.refusing = False
        await at.settled()
        assert balancer.at(one.gate) and never_falls(balancer), balancer.versions()


def draining_at(balancer: Balancer, name: str) -> float:
    def drains(listing: Listing) -> bool:
        return any(entry.server == name and entry.state == "draining" for entry in listing.entries)

    return next((at for at, listing in balancer.received if drains(listing)), float("inf"))


async def drained(at: Site, name: str, balancers: list[Balancer]) -> float:
    await until(lambda: all(draining_at(balancer, name) < float("inf") for balancer in balancers), 30.0)
    return max(draining_at(balancer, name) for balancer in balancers)


async def drains() -> None:
    """From the source's write on: no failure, a relay killed then, and one killed as it sends."""
    async with site(3, rows(20)) as at, Lag() as lag:
        one, two, three = at.relays
        first, second = [at.balancer(0, 2) for _ in range(3)], [at.balancer(1, 2) for _ in range(3)]
        await at.settled()
        await begin(lag)
        quiet = []
        for number in range(7):
            name = f"host-{number:08}"
            since, _ = at.change(name, health="draining")
            quiet.append(await drained(at, name, first + second) - since)
            await at.settled()
        assert sorted(quiet)[3] <= 0.25 + 2 * lag.worst, quiet
        since, _ = at.change("host-00000010", health="draining")
        await one.kill()
        one.gate.drop()
        assert await drained(at, "host-00000010", first + second) - since <= RECEIVED_WITHIN_S + 2 * lag.worst
        await at.settled()
        two.gate.allowed = 0
        since, _ = at.change("host-00000011", health="draining")
        await until(lambda: two.gate.waiting)  # the relay has written it, and nobody has got it
        await two.kill()
        two.gate.drop()
        assert await drained(at, "host-00000011", first + second) - since <= RECEIVED_WITHIN_S + 2 * lag.worst
        await at.settled()
        assert all(balancer.at(three.gate) and balancer.complete_lists() == 1 for balancer in at.balancers)


@run
async def test_moved_between_relays_at_different_versions_and_drains_are_notified_in_time() -> None:
    await run_together(back_and_forth, a_version_that_the_relay_never_held, drains)


async def source_down() -> None:
    async with site(2, rows(20)) as at:
        balancers = [at.balancer(number % 2) for number in range(8)]
        await at.settled()
        at.change("host-00000001", health="draining")
        await at.settled()
        received = [len(balancer.received) for balancer in balancers]
        ended = [balancer.watches_ended() for balancer in balancers]
        at.service.stop()
        await until(lambda: all(relay.has_logged("source lost") for relay in at.relays))
        starter = at.balancer(0)
        await until(lambda: starter.rows() == at.service.rows)
        await asyncio.sleep(3.0)
        assert [len(balancer.received) for balancer in balancers] == received
        answers, calls = len(at.service.answers), len(at.service.calls)
        await at.service.start()
        await at.settled()
        assert len(at.service.calls) - calls == len(at.service.answers) - answers == 2
        assert at.next_call_direct.received == 0
        at.change("host-00000002", health="draining")
        await at.settled()
        for balancer, ended_before in zip(balancers, ended, strict=True):
            assert balancer.watches_ended() == ended_before + 1
        for balancer, received_before in zip(balancers, received, strict=True):
            assert balancer.complete_lists() == 1
            assert len(balancer.received) == received_before + 2  # an empty update, and the change
        assert starter.complete_lists() == 1


async def all_relays_gone() -> None:
    """The spread interval: 92 s in a fleet of 4,600, 2 s in one of 116 that is rejected, 0 in one of 10."""
    async with site(2, rows(20)) as at:
        closed = await at.gate(at.next_call_direct.target)
        closed.refusing = True
        many = [at.balancer(number % 2, fleet=4_600, back=1.0) for number in range(20)]
        middle = [at.balancer(number % 2, fleet=116, back=1.0, direct=closed) for number in range(20)]
        await at.settled(seconds=30.0)
        assert at.next_call_direct.received == closed.received == 0
        for relay in at.relays:
            await relay.kill()
            relay.gate.drop()
        since = time.monotonic()
        await asyncio.sleep(8.0)
        took = time.monotonic() - since  # longer on a busy machine
        assert at.next_call_direct.received < 10 * took / 8.0  # on average 20 * 8 / 92
        assert 20 <= closed.received <= 100 * took / 8.0  # on average 20 * 8 / 2
        few = [at.balancer(0, fleet=10, back=1.0) for _ in range(3)]
        await until(lambda: all(balancer.at(at.next_call_direct) for balancer in few), 20.0)
        at.change("host-00000001", health="draining")
        await at.settled(*few)
        await at.relays[0].start()
        here = at.relays[0].gate
        await until(lambda: all(balancer.at(here) for balancer in at.balancers), 20.0)
        at.change("host-00000002", health="draining")
        await at.settled()
        assert all(never_falls(balancer) for balancer in at.balancers)
        # The relay that began anew has no changes before its first list.
        assert all(balancer.complete_lists() == 1 for balancer in few)
        assert all(balancer.complete_lists() <= 2 for balancer in many + middle)


@run
async def test_the_source_down_for_some_seconds_and_all_relays_gone() -> None:
    await run_together(source_down, all_relays_gone)


class Latest(random.Random):
    """A generator that draws the longest wait of any range."""

    def random(self) -> float:
        return 0.999


@run
async def test_sigterm_of_a_relay_under_thirty_watchers() -> None:
    """Watchers go on elsewhere by index within a second, and no complete list is sent anywhere."""
    async with site(3, rows(2_000)) as at, Lag() as lag:
        one, others = at.relays[0], at.relays[1:]
        balancers = [at.balancer(0) for _ in range(30)]
        await at.settled()
        await begin(lag)
        for balancer in balancers:
            balancer.calls.rng = Latest()
        assert all(balancer.at(one.gate) for balancer in balancers)
        before = [relay.gate.down for relay in others]
        complete = len(at.service.encoded(None))
        since = time.monotonic()
        one.send(signal.SIGTERM)
        elsewhere = [relay.gate for relay in others]
        await until(lambda: all(any(balancer.at(gate) for gate in elsewhere) for balancer in balancers), 20.0)
        assert time.monotonic() - since <= 1.0 + 2 * lag.worst
        assert one.process is not None and await one.process.wait() == 0
        sent = [relay.gate.down - was for relay, was in zip(others, before, strict=True)]
        assert all(sent) and sum(sent) < 30 * 1_000 < complete
        assert all(balancer.complete_lists() == 1 for balancer in balancers)
        _, version = at.change("host-00000001", health="draining")
        await at.settled()
        assert all(balancer.versions()[-2:] == [version - 1, version] for balancer in balancers)
        assert row("host-00000001", "draining") in balancers[0].rows().values()
