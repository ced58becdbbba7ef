"""The role of a process in handovers: first as the successor of another process, later as a predecessor.

A successor connects to its predecessor's Unix socket, in the $TMPDIR that both processes share, as soon as it
needs only the listening socket and the state to serve. The predecessor sends both. It transfers its client
connections after the successor has reported that it accepts connections. Design: docs/replacement.md
"""

from __future__ import annotations

import asyncio
from collections.abc import Set

from quartzford.engine import Clock, Log
from quartzford.replacement.maintenance_file import MaintenanceFile
from quartzford.replacement.messages import MaintenanceUpdate
from quartzford.replacement.predecessor_side import PredecessorSide
from quartzford.replacement.replaceable import HandoverResult, ReplaceableBalancer
from quartzford.replacement.successor_side import SuccessorSide

SOCKET_SUFFIX = ".sock"
MAINTENANCE_SUFFIX = ".out"


class Handover:
    """Combines the successor's side and the predecessor's side of a process, and the maintenance file."""

    def __init__(
        self,
        balancer: ReplaceableBalancer,
        path: str,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """path: of this balancer's files, without suffix; predecessor and successor use the same path."""
        socket_path = path + SOCKET_SUFFIX
        self.maintenance_file = MaintenanceFile(path + MAINTENANCE_SUFFIX, clock, log)
        self.successor_side = SuccessorSide(balancer, socket_path, clock, log, loop)
        self.predecessor_side = PredecessorSide(balancer, socket_path, clock, log, loop)

    async def request_handover(self) -> HandoverResult | None:
        """Return the predecessor's listener and state, or None without a timely answer from a predecessor."""
        return await self.successor_side.request_handover()

    def announce_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, and listen for a successor.

        The predecessor then starts to transfer its client connections.
        """
        self.successor_side.announce_serving()
        self.predecessor_side.listen()

    def maintenance_on_file(self) -> list[str]:
        """Return the endpoints in maintenance according to the maintenance file."""
        return self.maintenance_file.read()

    @property
    def paired(self) -> bool:
        """Whether a predecessor or a successor of this process is connected at present."""
        return self.successor_side.channel is not None or self.predecessor_side.channel is not None

    def announce_request_id(self, identity: str, retention_s: float) -> None:
        """Have the other process refuse a request ID that is claimed here, for this many seconds."""
        for side in (self.successor_side, self.predecessor_side):
            side.request_ids.announce({identity: retention_s})

    def receive_announcements(self) -> None:
        """Adopt the request IDs that the other process has announced so far."""
        for side in (self.successor_side, self.predecessor_side):
            side.request_ids.receive()

    def publish_maintenance(self, endpoint: str, in_maintenance: bool, all_endpoints: Set[str]) -> None:
        """Pass an operator's maintenance change on to the other process and write it to the maintenance file.

        in_maintenance: whether the endpoint is put in maintenance or returned to service.
        all_endpoints: all endpoints that are in maintenance after the change.
        """
        update = MaintenanceUpdate(endpoint, in_maintenance)
        for channel in (self.successor_side.channel, self.predecessor_side.channel):
            if channel is not None:
                channel.send(update)
        self.maintenance_file.save(all_endpoints)

    def terminate(self) -> None:
        """Start the shutdown of this process after SIGTERM."""
        self.predecessor_side.shut_down()

    def stop(self) -> None:
        """Release files and sockets because this process exits."""
        self.maintenance_file.stop()
        self.predecessor_side.stop()
        self.successor_side.stop()
