"""The HTTP/1.1 backend: makes the attempts that the engine has decided on."""

from __future__ import annotations

from typing import Any

from quartzford.backends.connection_pool import ConnectionPool
from quartzford.backends.http_attempt import Attempt


class HttpBackend(ConnectionPool):
    """The upstreams of the list as a backend of the engine."""

    def attempt(
        self, pending: Any, number: int, server: str, chosen_at: float, timeout_at: float, finish: float
    ) -> Attempt:
        """An attempt, not begun; times on the engine's clock, seconds. See engine.Backend."""
        return Attempt(self, pending, number, self.upstreams[server], chosen_at, timeout_at, finish)
