"""The mass events of bench.fleetmodel: what happens to its upstreams and balancers, by name."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.fleetmodel_balancer import Node
from bench.fleetmodel_settings import DEPLOY_MS, DEPLOY_STEPS, DEPLOYED, NOTICE_MS, ZONES
from bench.fleetmodel_upstream import Upstream

if TYPE_CHECKING:
    from bench.fleetmodel import World


def calm(world: World) -> None:
    return None


def bad(world: World) -> None:
    """One upstream in eight takes requests and answers none, until the end; the list knows nothing."""
    for upstream in world.upstreams[::8]:
        upstream.mute = True


def cold_start(world: World) -> None:
    """Everything started with the clock: balancers that know nothing, upstreams that are all cold."""


def newcomer(world: World) -> None:
    """A tenth of the upstreams falls silent, and one newcomer is told."""
    for upstream in world.upstreams[::10]:
        upstream.silent = True
    fresh = world.make(900, world.now)
    world.upstreams.append(fresh)
    world.announce([(fresh, "ready")], 1_000.0)


def handover(world: World) -> None:
    """Half of the upstreams have just been replaced, and each balancer by a process that follows it."""
    replace(world, world.upstreams[::2], 0)
    for n, node in enumerate(list(world.nodes)):
        world.later(1_500.0 + 3_000.0 * n / len(world.nodes), functools.partial(follow, world, node))


def follow(world: World, old: Node) -> None:
    """A second process: it has what the first knew, and the first ends what it has."""
    new = Node(world, old.number)
    new.known = dict(old.known)
    listed = [
        (upstream, "ready" if upstream.name in {s.entry.server for s in old.module.ready} else "draining")
        for upstream in old.known.values()
        if upstream.name in old.module.servers
    ]
    memory = old.module.hand_over(world.now)
    new.tell("stale", listed)
    new.module.inherit(world.now, memory)
    old.leaving = True
    world.nodes.append(new)


def cold_restart(world: World) -> None:
    """Half of the upstreams have just been replaced, and three quarters of the balancers die."""
    replace(world, world.upstreams[::2], 0)
    world.later(NOTICE_MS - 1_500.0, functools.partial(restart, world))


def zone(world: World) -> None:
    """A zone falls silent, is told gone late, and comes back cold after 6 s under the same names."""
    lost = [u for u in world.upstreams if u.zone == ZONES[0]]
    for upstream in lost:
        upstream.silent = True
    world.announce([(u, "gone") for u in lost], 5_000.0)

    def back() -> None:
        fresh = []
        for upstream in lost:
            cores = upstream.cores
            new = Upstream(upstream.name, upstream.zone, upstream.cell, upstream.speed, world.now, cores)
            world.upstreams[world.upstreams.index(upstream)] = new
            world.kill(upstream)
            fresh.append((new, "ready"))
        world.announce(fresh, 1_000.0)

    world.later(6_000.0, back)


def join(world: World) -> None:
    """Six in ten are replaced within 7 s, in three batches: new ones start, old ones drain, then end."""
    part = world.upstreams[: int(0.6 * len(world.upstreams))]
    for step in range(3):
        batch = part[step::3]
        world.later(2_300.0 * step, functools.partial(replace, world, batch, step))


def deploy(world: World) -> None:
    """All but fifteen in a hundred are replaced in twenty seconds, a fifth of them at a time."""
    part = world.upstreams[: round(DEPLOYED * len(world.upstreams))]
    for step in range(DEPLOY_STEPS):
        batch = part[step::DEPLOY_STEPS]
        world.later(DEPLOY_MS * step / DEPLOY_STEPS, functools.partial(replace, world, batch, step))


def replace(world: World, batch: list[Upstream], step: int) -> None:
    fresh: list[Upstream] = []
    for n, old in enumerate(batch):
        new = world.make(1_000 * (step + 1) + n, world.now, old.zone)
        new.cell = old.cell
        fresh.append(new)
    world.upstreams += fresh
    world.announce([(u, "ready") for u in fresh], 1_000.0)
    world.announce([(u, "draining") for u in batch], 500.0)

    def gone() -> None:
        for old in batch:
            world.kill(old)
            world.upstreams.remove(old)
        world.announce([(u, "gone") for u in batch], 1_000.0)

    world.later(4_000.0, gone)


def restart(world: World) -> None:
    """Three quarters of the balancers die at once, and are back after 0.3 s with the list they had."""
    for node in world.nodes[: max(1, 3 * len(world.nodes) // 4)]:
        lost = list(node.asks.values())
        for job in list(node.jobs.values()):
            job.over = True
            job.upstream.held -= job.linked
        for upstream, count in node.idle.items():
            upstream.held -= count
        known = list(node.known.values())
        node.up = False
        node.begin()
        for ask in lost:
            world.again(ask, 0.0)

        def back(node: Node = node, known: list[Upstream] = known) -> None:
            node.up = True
            node.tell("stale", [(u, "ready") for u in known])

        world.later(300.0 + world.rng.random() * 100.0, back)


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
