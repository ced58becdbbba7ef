"""The mass events of bench.fleetmodel: what happens to its upstreams and balancers, by name."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from bench.fleetmodel_balancer import ModelBalancer
from bench.fleetmodel_settings import NOTIFICATION_MS, ZONES
from bench.fleetmodel_upstream import Upstream
from quartzford.decision.interface import ListUpdateKind

if TYPE_CHECKING:
    from bench.fleetmodel import World

NOTICED_MS, DRAIN_NOTICED_MS = 1_000.0, 500.0  # until balancers hear of what is announced, and of a drain
DRAIN_MS = 4_000.0  # from a replacement to the old upstreams' end
UNRESPONSIVE_EVERY, UNREACHABLE_EVERY = 8, 10  # one upstream in so many
NEWCOMER = 900  # the number of its name
HANDOVER_MS, HANDOVERS_MS = 1_500.0, 3_000.0  # until the first one, and within which all begin
ZONE_NOTICED_MS, ZONE_LOST_MS = 5_000.0, 6_000.0
JOIN_SHARE, JOIN_BATCHES, JOIN_EVERY_MS = 0.6, 3, 2_300.0
DEPLOY_SHARE, DEPLOY_BATCHES, DEPLOY_MS = 0.85, 5, 20_000.0
RESTART_MS, RESTART_SPREAD_MS = 300.0, 100.0


def calm(world: World) -> None:
    """Nothing happens."""


def bad(world: World) -> None:
    """One upstream in eight takes requests and answers none, until the end; the list knows nothing."""
    for upstream in world.upstreams[::UNRESPONSIVE_EVERY]:
        upstream.unresponsive = True


def cold_start(world: World) -> None:
    """Everything started with the clock: balancers that know nothing, upstreams that are all cold."""


def newcomer(world: World) -> None:
    """A tenth of the upstreams becomes unreachable, and one newcomer is announced."""
    for upstream in world.upstreams[::UNREACHABLE_EVERY]:
        upstream.unreachable = True
    fresh = world.make_upstream(NEWCOMER, world.now)
    world.upstreams.append(fresh)
    world.announce([(fresh, "ready")], NOTICED_MS)


def handover(world: World) -> None:
    """Half of the upstreams have just been replaced, and each balancer by a process that follows it."""
    replace(world, world.upstreams[::2], 0)
    balancers = list(world.balancers)
    for number, balancer in enumerate(balancers):
        after_ms = HANDOVER_MS + HANDOVERS_MS * number / len(balancers)
        world.later(after_ms, functools.partial(succeed, world, balancer))


def succeed(world: World, predecessor: ModelBalancer) -> None:
    """A second process gets what the first has learnt, and the first ends the requests that it has."""
    successor = ModelBalancer(world, predecessor.number)
    successor.known = dict(predecessor.known)
    module = predecessor.module
    ready = {server.entry.server for server in module.ready}
    listed = [
        (upstream, "ready" if upstream.name in ready else "draining")
        for upstream in predecessor.known.values()
        if upstream.name in module.servers
    ]
    learned = module.hand_over(world.now)
    successor.notify(ListUpdateKind.STALE, listed)
    successor.module.inherit(world.now, learned)
    predecessor.leaving = True
    world.balancers.append(successor)


def cold_restart(world: World) -> None:
    """Half of the upstreams have just been replaced, and three quarters of the balancers die."""
    replace(world, world.upstreams[::2], 0)
    world.later(NOTIFICATION_MS - 1_500.0, functools.partial(restart, world))


def zone(world: World) -> None:
    """A zone becomes unreachable, is announced gone late, and comes back cold after 6 s by the same names."""
    lost = [upstream for upstream in world.upstreams if upstream.zone == ZONES[0]]
    for upstream in lost:
        upstream.unreachable = True
    world.announce([(upstream, "gone") for upstream in lost], ZONE_NOTICED_MS)
    world.later(ZONE_LOST_MS, functools.partial(restore, world, lost))


def restore(world: World, lost: Sequence[Upstream]) -> None:
    """New incarnations of lost upstreams start."""
    fresh = []
    for old in lost:
        new = Upstream(old.name, old.zone, old.cell, old.speed, world.now, old.cores)
        world.upstreams[world.upstreams.index(old)] = new
        world.kill(old)
        fresh.append((new, "ready"))
    world.announce(fresh, NOTICED_MS)


def join(world: World) -> None:
    """Six in ten are replaced within 7 s, in three batches: new ones start, old ones drain, then end."""
    part = world.upstreams[: int(JOIN_SHARE * len(world.upstreams))]
    for step in range(JOIN_BATCHES):
        batch = part[step::JOIN_BATCHES]
        world.later(JOIN_EVERY_MS * step, functools.partial(replace, world, batch, step))


def deploy(world: World) -> None:
    """All but fifteen in a hundred are replaced in twenty seconds, a fifth of them at a time."""
    part = world.upstreams[: round(DEPLOY_SHARE * len(world.upstreams))]
    for step in range(DEPLOY_BATCHES):
        batch = part[step::DEPLOY_BATCHES]
        after_ms = DEPLOY_MS * step / DEPLOY_BATCHES
        world.later(after_ms, functools.partial(replace, world, batch, step))


def replace(world: World, batch: Sequence[Upstream], step: int) -> None:
    """Start a successor for each upstream of a batch; the old ones drain, then end."""
    fresh = []
    for number, old in enumerate(batch):
        new = world.make_upstream(1_000 * (step + 1) + number, world.now, old.zone)
        new.cell = old.cell
        fresh.append(new)
    world.upstreams += fresh
    world.announce([(upstream, "ready") for upstream in fresh], NOTICED_MS)
    world.announce([(upstream, "draining") for upstream in batch], DRAIN_NOTICED_MS)
    world.later(DRAIN_MS, functools.partial(end, world, batch))


def end(world: World, batch: Sequence[Upstream]) -> None:
    """Upstreams that have drained end."""
    for upstream in batch:
        world.kill(upstream)
        world.upstreams.remove(upstream)
    world.announce([(upstream, "gone") for upstream in batch], NOTICED_MS)


def restart(world: World) -> None:
    """Three quarters of the balancers die at once, and are back after 0.3 s with the list they had."""
    for balancer in world.balancers[: max(1, 3 * len(world.balancers) // 4)]:
        lost = list(balancer.wishes.values())
        for attempt in list(balancer.attempts.values()):
            attempt.ended = True
            attempt.upstream.connections -= attempt.has_connection
        for upstream, count in balancer.idle.items():
            upstream.connections -= count
        known = list(balancer.known.values())
        balancer.up = False
        balancer.start_process()
        for wish in lost:
            world.retry(wish, 0.0)
        after_ms = RESTART_MS + world.rng.random() * RESTART_SPREAD_MS
        world.later(after_ms, functools.partial(come_back, balancer, known))


def come_back(balancer: ModelBalancer, known: Sequence[Upstream]) -> None:
    """A restarted balancer is up, with the list that it had."""
    balancer.up = True
    balancer.notify(ListUpdateKind.STALE, [(upstream, "ready") for upstream in known])


EVENTS: dict[str, Callable[[World], None]] = {
    "calm": calm,
    "bad": bad,
    "cold start": cold_start,
    "newcomer": newcomer,
    "handover": handover,
    "cold restart": cold_restart,
    "zone": zone,
    "join": join,
    "deploy": deploy,
    "restart": restart,
}
