"""Complete requests of one client connection that wait for the response to an earlier one; does no I/O."""

from __future__ import annotations

from typing import NamedTuple

from quartzford.decision import interface as io
from quartzford.engine import RequestIds
from quartzford.fronts.exchange import Exchange

MAX_PIPELINED_REQUESTS = 16


class PipelinedRequest(NamedTuple):
    """A complete request that waits for the response to an earlier one. request: None for a health check."""

    exchange: Exchange
    request: io.Request | None


class Pipeline(list[PipelinedRequest]):
    """The waiting requests, in the order in which they are answered; a list, as there are few or none.

    full: there were MAX_PIPELINED_REQUESTS, and some are left; no more are read until all are served.
    """

    __slots__ = ("full",)

    @property
    def held_bytes(self) -> int:
        """The bytes that are charged for the waiting requests."""
        return sum(pipelined.exchange.charged for pipelined in self)

    def __init__(self) -> None:
        super().__init__()
        self.full = False

    def add(self, exchange: Exchange, request: io.Request | None) -> None:
        """Add a request that has been read."""
        self.append(PipelinedRequest(exchange, request))
        if len(self) >= MAX_PIPELINED_REQUESTS:
            self.full = True

    def take(self) -> PipelinedRequest:
        """Remove and return the request that is served next."""
        taken = self.pop(0)
        if not self:
            self.full = False
        return taken

    def discard(self, request_ids: RequestIds) -> None:
        """Remove all requests, which will not be served, and release their buffered bytes and their IDs."""
        for pipelined in self:
            pipelined.exchange.release()
            request_ids.release(pipelined.exchange.correlation_id)
        self.clear()
        self.full = False
