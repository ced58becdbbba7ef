"""The successor's side of a handover: it takes over from the process that served before."""

from __future__ import annotations

import asyncio
import os
import socket

from quartzford.engine import Clock, Log
from quartzford.replacement.channel import Channel, close_descriptors
from quartzford.replacement.errors import PeerUserError, StateFormatError
from quartzford.replacement.messages import (
    ClientTransfer,
    Heartbeat,
    Hello,
    ListenerTransfer,
    MaintenanceUpdate,
    Message,
    Serving,
    StatePart,
)
from quartzford.replacement.replaceable import HandoverResult, ReplaceableBalancer
from quartzford.replacement.state import MAX_STATE_BYTES, STATE_FORMAT, decode_state
from quartzford.replacement.unix_socket import connect_to

HANDOVER_TIMEOUT_S = 1.0  # for how long the successor waits for listener and state
HEARTBEAT_INTERVAL_S = 0.5


class IncomingTransfer:
    """Collects the listening socket and the parts of the state."""

    def __init__(self) -> None:
        self.started = False
        self._descriptor: int | None = None
        self._parts: list[bytes] = []
        self._missing_parts = 0

    def start(self, descriptor: int, part_count: int) -> None:
        """Own the listening socket's descriptor, and expect so many parts."""
        self.started = True
        self._descriptor = descriptor
        self._missing_parts = part_count

    def add_part(self, data: bytes) -> None:
        """Add the next part. One that is not expected is left out; too many bytes end it with no state."""
        if self._missing_parts <= 0:
            return
        self._parts.append(data)
        self._missing_parts -= 1
        if sum(map(len, self._parts)) > MAX_STATE_BYTES:
            self._parts = []
            self._missing_parts = 0

    @property
    def complete(self) -> bool:
        """The socket and all parts have come, and were not taken yet."""
        return self._descriptor is not None and not self._missing_parts

    def take_listener(self) -> socket.socket:
        """The listening socket, which is the caller's from now on."""
        assert self._descriptor is not None
        listener = socket.socket(fileno=self._descriptor)
        self._descriptor = None
        return listener

    def take_state(self) -> bytes:
        """The joined parts."""
        data = b"".join(self._parts)
        self._parts = []
        return data

    def discard(self) -> None:
        """Close a socket that was not taken."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


class SuccessorSide:
    """Connects to the predecessor, takes over what it gives, and sends heartbeats."""

    def __init__(
        self,
        balancer: ReplaceableBalancer,
        socket_path: str,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """socket_path: where a predecessor listens."""
        self.channel: Channel | None = None  # to the predecessor, while it is alive
        self._balancer = balancer
        self._socket_path = socket_path
        self._clock = clock
        self._log = log
        self._loop = loop
        self._transfer = IncomingTransfer()
        self._result: asyncio.Future[HandoverResult | None] | None = None

    async def request_handover(self) -> HandoverResult | None:
        """What the predecessor gives; None where there is none, or it does not answer in time."""
        sock = self._connect()
        if sock is None:
            return None
        self._result = self._loop.create_future()
        channel = Channel(sock, self._loop, self._receive, self._channel_closed)
        self.channel = channel
        channel.send(Hello(STATE_FORMAT, os.getpid()))
        try:
            return await asyncio.wait_for(self._result, HANDOVER_TIMEOUT_S)
        except TimeoutError:
            self._log.line("replacement", "the predecessor does not answer; nothing is taken over")
            channel.close("late")
            return None

    def _connect(self) -> socket.socket | None:
        try:
            return connect_to(self._socket_path)
        except (FileNotFoundError, ConnectionRefusedError):
            return None  # the usual start, without a predecessor
        except (OSError, PeerUserError) as error:
            self._log.line("replacement", f"nothing is taken over: {error}")
            return None

    def announce_serving(self) -> None:
        """Notify the predecessor that this process accepts connections: it hands over clients from now on."""
        if self.channel is not None:
            self.channel.send(Serving())
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if self.channel is not None and self.channel.open:
            self.channel.send(Heartbeat())
            self._clock.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _receive(self, _channel: Channel, message: Message, descriptors: list[int]) -> None:
        match message:
            case ListenerTransfer(part_count=count) if len(descriptors) == 1 and not self._transfer.started:
                self._transfer.start(descriptors.pop(), count)
            case StatePart(data=data):
                self._transfer.add_part(data)
            case ClientTransfer() if len(descriptors) == 1:
                self._balancer.adopt_client(socket.socket(fileno=descriptors.pop()))
            case MaintenanceUpdate(endpoint=endpoint, in_maintenance=in_maintenance):
                self._balancer.apply_maintenance(endpoint, in_maintenance)
        close_descriptors(descriptors)
        if self._transfer.complete and self._result is not None and not self._result.done():
            self._result.set_result(self._take_over())

    def _take_over(self) -> HandoverResult:
        listener = self._transfer.take_listener()
        try:
            return HandoverResult(listener, decode_state(self._transfer.take_state()))
        except StateFormatError as error:
            self._log.line("replacement", f"{error}; a cold start, with the connections")
            return HandoverResult(listener, None)

    def _channel_closed(self, _channel: Channel, reason: str) -> None:
        self._transfer.discard()
        if self._result is not None and not self._result.done():
            self._log.line("replacement", f"the predecessor gave nothing complete: {reason}")
            self._result.set_result(None)
        self.channel = None
        self._balancer.use_full_limits()

    def stop(self) -> None:
        """Close the connection: this process ends."""
        if self.channel is not None:
            self.channel.discard()
