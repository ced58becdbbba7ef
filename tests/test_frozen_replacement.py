"""A process of the frozen code is replaced by one of today's, and the other way round: nothing is lost.

The frozen code is that of the commit in tests/data/FROZEN_COMMIT; where the repository does not have it (a
shallow clone, an archive), the test says so and is skipped.
"""

from __future__ import annotations

import asyncio
import io
import os
import subprocess
import tarfile
from collections.abc import Iterator
from pathlib import Path

import pytest
import uvloop
from peers import request, wait_until
from test_process import ROOT
from test_replacement import ReplacedBalancer, replaced_balancer

FROZEN_COMMIT = Path(__file__).parent / "data" / "FROZEN_COMMIT"
CLIENTS = 12
TIME_LIMIT_S = 60.0


def checked_out(commit: str, folder: Path) -> bool:
    """Put a commit's package into the folder; False where the repository does not have that commit."""
    done = subprocess.run(
        ["git", "archive", commit, "quartzford"], cwd=ROOT, capture_output=True, check=False
    )
    if done.returncode != 0:
        return False
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return True


@pytest.fixture(scope="module")
def frozen_root(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    """Where the frozen code lies."""
    commit = FROZEN_COMMIT.read_text().strip()
    folder = tmp_path_factory.mktemp("frozen")
    if not checked_out(commit, folder):
        reason = f"commit {commit} is not in this repository: no replacement between versions is tested"
        print(reason)
        pytest.skip(reason)
    yield folder


def runs_from(process: asyncio.subprocess.Process, root: Path) -> bool:
    """The process has its working directory there, from which `python -m` takes the package."""
    return Path(os.readlink(f"/proc/{process.pid}/cwd")) == root.resolve()


class Clients:
    """Clients with a request out at all times, safe ones and unsafe, each on a connection that is kept."""

    def __init__(self, balancer: ReplacedBalancer) -> None:
        self.balancer = balancer
        self.stopped = False
        self.served = [0] * CLIENTS
        self.tasks = [asyncio.ensure_future(self._run(number)) for number in range(CLIENTS)]

    async def stop(self) -> None:
        """Wait for the last answers."""
        self.stopped = True
        await asyncio.gather(*self.tasks)

    async def _run(self, number: int) -> None:
        """One client: every answer is a good one, and none ends its connection."""
        kept = await self.balancer.connect()
        data = request("pay", b"x") if number % 2 else request()
        while not self.stopped:
            answer = await kept.submit(data)
            assert answer.status == 200 and answer.fields.get("connection") != "close"
            self.served[number] += 1
            await asyncio.sleep(0.001 * (number % 5))

    async def all_served(self, more: int) -> None:
        """Each has been answered so many times from now."""
        marks = list(self.served)

        def answered() -> bool:
            for task in self.tasks:
                if task.done():
                    task.result()  # raises what ended it
            return all(now >= mark + more for now, mark in zip(self.served, marks, strict=True))

        await wait_until(answered)


async def replaced_back_and_forth(folder: Path, roots: list[Path]) -> None:
    """Processes of these places follow one another under load; what operators took out stays out."""
    async with replaced_balancer(folder, root=roots[0]) as balancer:
        clients = Clients(balancer)
        await clients.all_served(5)
        assert (await balancer.call("PUT /maintenance/enter", "s0")).status == 200
        for root in roots[1:]:
            assert runs_from(balancer.processes[-1], balancer.root)
            balancer.root = root
            await balancer.replace()
            assert runs_from(balancer.processes[-1], root)
            await clients.all_served(5)
            assert (await balancer.figures())["edge.upstreams_excluded"] == 1
        await clients.stop()
        received = [
            message.fields.get("x-service-class")
            for up in balancer.testbed.upstreams
            for message in up.received
        ]
        assert received.count("pay") == sum(clients.served[1::2])  # unsafe: each was run once


def test_old_and_new_code_replace_one_another_and_lose_nothing(frozen_root: Path, tmp_path: Path) -> None:
    roots = [frozen_root, ROOT, frozen_root, ROOT]
    uvloop.run(asyncio.wait_for(replaced_back_and_forth(tmp_path, roots), TIME_LIMIT_S))
