"""The HTTP/1.1 backend: makes attempts at upstreams for the engine."""

from __future__ import annotations

from typing import Any

from quartzford.backends.connection_pool import ConnectionPool
from quartzford.backends.http_attempt import HttpAttempt


class HttpBackend(ConnectionPool):
    """A connection pool that creates the attempts on its connections."""

    def create_attempt(
        self,
        pending: Any,
        number: int,
        server: str,
        chosen_at: float,
        timeout_at: float,
        response_deadline: float,
    ) -> HttpAttempt:
        """Return a new attempt, not begun yet; times in seconds on the engine's clock. See engine.Backend."""
        return HttpAttempt(
            self, pending, number, self.upstreams[server], chosen_at, timeout_at, response_deadline
        )
