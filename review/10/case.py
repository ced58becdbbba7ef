"""Case 10: an upgrade while a long change of the list is applied: the new process misses a part of it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import signal
import time

from stage import TROUBLE, Agent, Balancer, CannotRunError, Client, Stage, Upstream, free_port, play, request

UPSTREAMS = 3200  # the most that the pages name
LEAVING = 800  # a quarter of these, which the pages have drain at once
DESCRIPTORS = 8192
TRIALS, ENOUGH = 18, 2
CALLERS, PAUSE_S = 36, (0.0, 0.2)
# The change is told this share of a new process's start time before it connects to the old one.
AHEAD = (0.04, 0.18)
GRACE_S = 0.25 + 0.05  # for sends after the news, and what each time limit has more on sockets
TOLD_AFTER_YES_S = 2.0  # discovery's news counts as told to the new process
WATCHED_S = 1.2  # how long sends are counted after that
END_S = 100.0


async def ready(balancer: Balancer) -> bool:
    """Return whether the process says yes on its second address."""
    with contextlib.suppress(OSError, EOFError):
        client = await Client.connect(balancer.admin)
        client.send(b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = await client.read(1.0)
        client.close()
        return answer is not None and answer.status == 200
    return False


class Site:
    """One balancer and its upstreams. balancer: the process that serves."""

    def __init__(self, stage: Stage, agent: Agent, leaving: list[Upstream]) -> None:
        self.stage, self.agent, self.leaving = stage, agent, leaving
        self.names = [upstream.name for upstream in leaving]
        self.tmp = stage.folder / "tmp"
        self.tmp.mkdir()
        self.port = free_port()
        self.balancer = self.process()
        self.connect_s = 0.0  # from the start of a process to its connection to the one before
        self.stopped = False

    def process(self) -> Balancer:
        """Return a process of the balancer that has not started."""
        return self.stage.balancer(self.agent, listen=self.port, admin=free_port(), tmp=self.tmp)

    def tell(self, health: str) -> float:
        """Have the leaving upstreams drain, or be ready; return when the change was told."""
        for upstream in self.leaving:
            upstream.health = health
        return self.agent.tell(*self.names)

    async def call(self) -> None:
        """Send one request after the other."""
        client: Client | None = None
        number = 0
        while not self.stopped:
            await asyncio.sleep(random.uniform(*PAUSE_S))
            number += 1
            try:
                client = client or await Client.connect(self.port)
                client.send(request(f"c{id(client)}-{number}"))
                answer = await client.read(3.0)
            except (OSError, EOFError):
                answer = None
            if answer is None or answer.fields.get("connection") == "close":
                client = None

    async def upgrade(self, ahead: float | None) -> tuple[float, float]:
        """Replace the process; return when the change was told and when the new process said yes.

        ahead: the share of the start time by which the change is told before the handover; None: no change.
        """
        old, new = self.balancer, self.process()
        log_before = len(old.log_text())
        await new.start()
        began = time.monotonic()
        told = handover = yes = 0.0
        while not yes:
            now = time.monotonic()
            if ahead is not None and not told and now >= began + self.connect_s * (1.0 - ahead):
                told = self.tell("draining")
            if not handover and "handover to process" in old.log_text()[log_before:]:
                handover = time.monotonic()
            if handover and (told or ahead is None) and await ready(new):
                yes = time.monotonic()
            if now > began + 10.0:
                raise CannotRunError("the new process did not say yes within 10 s")
            await asyncio.sleep(0.002)
        old.signal(signal.SIGTERM)
        self.connect_s = handover - began
        self.balancer = new
        if told:
            self.stage.record.line(f"told {handover - told:.3f} s before the handover")
        return told, yes

    async def trial(self) -> int:
        """Have the upstreams drain, in an upgrade or with none; return the count of sends after the grace."""
        self.tell("ready")
        await asyncio.sleep(0.8)
        if TROUBLE:
            told, yes = await self.upgrade(random.uniform(*AHEAD))
            due = max(told, yes + TOLD_AFTER_YES_S) + GRACE_S
        else:
            due = self.tell("draining") + GRACE_S
        await asyncio.sleep(due + WATCHED_S - time.monotonic())
        names = set(self.names)
        late = [send for send in self.stage.journal.arrivals if send[0] > due and send[1] in names]
        for at, name, identity in late[:5]:
            since_s = at - due + GRACE_S
            self.stage.record.line(f"{identity} sent to {name}, {since_s:.3f} s after it counted as told")
        return len(late)


async def start_upstreams(stage: Stage) -> list[Upstream]:
    """Start all upstreams, four to a cell, each at an address of its own."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        raise CannotRunError(f"{DESCRIPTORS} descriptors are needed, {hard} allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    upstreams = []
    for number in range(UPSTREAMS):
        upstream = Upstream(f"s-{number:04d}", stage.journal, cell=number // 4, work_s=(0.005, 0.02))
        await upstream.start()
        upstreams.append(upstream)
    return upstreams


async def case(stage: Stage) -> bool:
    """Return whether something was sent to an upstream that drains, after the grace."""
    upstreams = await start_upstreams(stage)
    agent = await stage.agent(upstreams)
    site = Site(stage, agent, random.Random(10).sample(upstreams, LEAVING))
    await site.balancer.start()
    await site.balancer.until_ready()
    tasks = [asyncio.create_task(site.call()) for _ in range(CALLERS)]
    await asyncio.sleep(2.0)
    if TROUBLE:
        await site.upgrade(None)  # to learn how long a start takes
    began = time.monotonic()
    results: list[int] = []
    while len(results) < TRIALS and sum(map(bool, results)) < ENOUGH:
        results.append(await site.trial())
        stage.record.line(f"trial {len(results)}: {results[-1]} sends after the grace")
        if time.monotonic() - began > END_S - 15.0:
            break
    site.stopped = True
    for task in tasks:
        task.cancel()
    stage.record.tell(
        f"{len(results)} trials, of which {sum(map(bool, results))} broke the rule; "
        f"sends to draining upstreams after the grace: {results}"
    )
    return any(results)


if __name__ == "__main__":
    play(case, __file__)
