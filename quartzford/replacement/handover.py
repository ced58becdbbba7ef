"""A process's part in handovers: first as the successor of another process, later as a predecessor.

A successor connects to its predecessor's Unix socket, under the $TMPDIR that both have in common, when
nothing is missing but what it is about to be given. The predecessor answers with its listening socket and its
state, and gives the clients' connections once the successor says that it serves. docs/replacement.md
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
    """Joins both sides of a process, and the file of endpoints in maintenance."""

    def __init__(
        self,
        balancer: ReplaceableBalancer,
        path: str,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """path: of this balancer's files, without suffix, the same at predecessor and successor."""
        socket_path = path + SOCKET_SUFFIX
        self.maintenance_file = MaintenanceFile(path + MAINTENANCE_SUFFIX, clock, log)
        self.successor_side = SuccessorSide(balancer, socket_path, clock, log, loop)
        self.predecessor_side = PredecessorSide(balancer, socket_path, clock, log, loop)

    async def request_handover(self) -> HandoverResult | None:
        """What the predecessor gives; None where there is none, or it does not answer in time."""
        return await self.successor_side.request_handover()

    def announce_serving(self) -> None:
        """This process accepts connections: its predecessor gives its clients, a successor may come."""
        self.successor_side.announce_serving()
        self.predecessor_side.listen()

    def maintenance_on_file(self) -> list[str]:
        """The endpoints that were in maintenance, by the file."""
        return self.maintenance_file.read()

    @property
    def paired(self) -> bool:
        """Whether two processes are this balancer at present."""
        return self.successor_side.channel is not None or self.predecessor_side.channel is not None

    def publish_maintenance(self, endpoint: str, in_maintenance: bool, all_endpoints: Set[str]) -> None:
        """An operator took an endpoint out here, or put it back: notify the other process, write it to file.

        all_endpoints: all that are in maintenance now.
        """
        update = MaintenanceUpdate(endpoint, in_maintenance)
        for channel in (self.successor_side.channel, self.predecessor_side.channel):
            if channel is not None:
                channel.send(update)
        self.maintenance_file.save(all_endpoints)

    def terminate(self) -> None:
        """SIGTERM has come."""
        self.predecessor_side.shut_down()

    def stop(self) -> None:
        """The end of this process."""
        self.maintenance_file.stop()
        self.predecessor_side.stop()
        self.successor_side.stop()
