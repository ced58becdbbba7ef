"""Which balancers of a fleet the clients send to: active health checks, and passive detection of failures."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect
from collections.abc import Sequence
from itertools import accumulate
from time import monotonic

from quartzford.load.options import Target

NO_BALANCER = -1
HEALTH_INTERVAL_S = 0.25  # between health checks of a balancer that is out of rotation
HEALTH_TIMEOUT_S = 1.0
REMOVAL_DELAY_S = 2.0  # from the first refused connection to removal: for so long clients go on sending there
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"


class BalancerPool:
    """The balancers of a fleet, and those of them that are in rotation.

    A balancer is put into rotation once GET /_health has been answered with 200, and removed when connections
    have been refused for REMOVAL_DELAY_S. Balancers go by their number. rows: host, port and weight of each.
    """

    def __init__(self, rows: Sequence[tuple[str, int, float]], seed: int) -> None:
        self.targets = [Target(host, port) for host, port, _ in rows]
        self.weights = [weight for _, _, weight in rows]
        self.first_added: dict[
            int, float
        ] = {}  # when each was first put into rotation, on the monotonic clock
        self.stopped = False
        self._in_rotation: set[int] = set()
        self._refused_since: dict[int, float] = {}
        self._candidates: list[int] = []
        self._cumulative_weights: list[float] = []
        self._rng = random.Random(seed)

    def _rotation_changed(self) -> None:
        self._candidates = sorted(self._in_rotation)
        self._cumulative_weights = list(accumulate(self.weights[n] for n in self._candidates))

    def pick(self) -> int:
        """Return one that is in rotation, drawn by weight; NO_BALANCER if there is none."""
        if not self._candidates:
            return NO_BALANCER
        drawn = self._rng.random() * self._cumulative_weights[-1]
        return self._candidates[min(len(self._candidates) - 1, bisect(self._cumulative_weights, drawn))]

    def connection_failed(self, number: int) -> None:
        """Record that a balancer did not accept a connection."""
        since = self._refused_since.setdefault(number, monotonic())
        if monotonic() - since > REMOVAL_DELAY_S and number in self._in_rotation:
            self._in_rotation.remove(number)
            self._rotation_changed()

    def connection_accepted(self, number: int) -> None:
        """Forget earlier refusals of a balancer."""
        self._refused_since.pop(number, None)

    async def watch(self, number: int) -> None:
        """Check a balancer's health whenever it is out of rotation, until the pool is stopped."""
        await asyncio.sleep(self._rng.random() * HEALTH_INTERVAL_S)
        while not self.stopped:
            if number not in self._in_rotation and await self._is_healthy(number):
                self._in_rotation.add(number)
                self.first_added.setdefault(number, monotonic())
                self.connection_accepted(number)
                self._rotation_changed()
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _is_healthy(self, number: int) -> bool:
        target = self.targets[number]
        writer = None
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(target.host, target.port)
                writer.write(HEALTH_REQUEST)
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
