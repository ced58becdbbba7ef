"""The successor's side of a handover: takes over sockets and state from the predecessor."""

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
    RequestIdsClaimed,
    Serving,
    StatePart,
)
from quartzford.replacement.replaceable import HandoverResult, ReplaceableBalancer
from quartzford.replacement.request_id_link import RequestIdLink
from quartzford.replacement.state import MAX_STATE_BYTES, STATE_FORMAT, decode_state
from quartzford.replacement.unix_socket import connect_to

HANDOVER_TIMEOUT_S = 1.0  # maximum time to wait for the listener and the state
HEARTBEAT_INTERVAL_S = 0.5


class IncomingTransfer:
    """Collects the listening socket and the parts of the state as they arrive."""

    def __init__(self) -> None:
        self.started = False
        self._descriptor: int | None = None
        self._parts: list[bytes] = []
        self._missing_parts = 0

    def start(self, descriptor: int, part_count: int) -> None:
        """Take ownership of the listening socket's descriptor, and expect `part_count` parts of the state."""
        self.started = True
        self._descriptor = descriptor
        self._missing_parts = part_count

    def add_part(self, data: bytes) -> None:
        """Add the next part of the state.

        A part that is not expected is ignored. Beyond MAX_STATE_BYTES, the transfer completes with no state.
        """
        if self._missing_parts <= 0:
            return
        self._parts.append(data)
        self._missing_parts -= 1
        if sum(map(len, self._parts)) > MAX_STATE_BYTES:
            self._parts = []
            self._missing_parts = 0

    @property
    def complete(self) -> bool:
        """Whether the socket and all parts have arrived, and the socket has not been taken yet."""
        return self._descriptor is not None and not self._missing_parts

    def take_listener(self) -> socket.socket:
        """Return the listening socket; the caller owns it from then on."""
        assert self._descriptor is not None
        listener = socket.socket(fileno=self._descriptor)
        self._descriptor = None
        return listener

    def take_state(self) -> bytes:
        """Return the joined parts of the state, and forget them."""
        data = b"".join(self._parts)
        self._parts = []
        return data

    def discard(self) -> None:
        """Close the listening socket if it has not been taken."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


class SuccessorSide:
    """Connects to the predecessor, takes over its sockets and state, and sends heartbeats."""

    def __init__(
        self,
        balancer: ReplaceableBalancer,
        socket_path: str,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """socket_path: the Unix socket on which a predecessor listens."""
        self.channel: Channel | None = None  # to the predecessor, while it is connected
        self.request_ids = RequestIdLink(balancer)
        self._balancer = balancer
        self._socket_path = socket_path
        self._clock = clock
        self._log = log
        self._loop = loop
        self._transfer = IncomingTransfer()
        self._result: asyncio.Future[HandoverResult | None] | None = None

    async def request_handover(self) -> HandoverResult | None:
        """Return the predecessor's listener and state, or None without a timely answer from a predecessor."""
        sock = self._connect()
        if sock is None:
            return None
        self._result = self._loop.create_future()
        channel = Channel(sock, self._loop, self._receive, self._channel_closed)
        self.channel = channel
        channel.send(Hello(STATE_FORMAT, os.getpid(), shares_request_ids=True))
        try:
            return await asyncio.wait_for(self._result, HANDOVER_TIMEOUT_S)
        except TimeoutError:
            self._log.line("replacement", "the predecessor did not answer in time; nothing is taken over")
            channel.close("no answer in time")
            return None

    def _connect(self) -> socket.socket | None:
        try:
            return connect_to(self._socket_path)
        except (FileNotFoundError, ConnectionRefusedError):
            return None  # a normal start without a predecessor
        except (OSError, PeerUserError) as error:
            self._log.line("replacement", f"nothing is taken over from a predecessor: {error}")
            return None

    def announce_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, so that it transfers its clients."""
        if self.channel is not None:
            self.channel.send(Serving())
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if self.channel is not None and self.channel.open:
            self.channel.send(Heartbeat())
            self._clock.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _receive(self, channel: Channel, message: Message, descriptors: list[int]) -> None:
        match message:
            case ListenerTransfer(part_count=count) if len(descriptors) == 1 and not self._transfer.started:
                self._transfer.start(descriptors.pop(), count)
                self.request_ids.channel = channel if message.shares_request_ids else None
            case StatePart(data=data):
                self._transfer.add_part(data)
            case ClientTransfer() if len(descriptors) == 1:
                self._balancer.adopt_client(socket.socket(fileno=descriptors.pop()))
            case MaintenanceUpdate(endpoint=endpoint, in_maintenance=in_maintenance):
                self._balancer.apply_maintenance(endpoint, in_maintenance)
            case RequestIdsClaimed():
                self.request_ids.handle(message)
        close_descriptors(descriptors)
        if self._transfer.complete and self._result is not None and not self._result.done():
            self._result.set_result(self._take_over())

    def _take_over(self) -> HandoverResult:
        listener = self._transfer.take_listener()
        try:
            return HandoverResult(listener, decode_state(self._transfer.take_state()))
        except StateFormatError as error:
            self._log.line(
                "replacement",
                f"{error}; cold start with the predecessor's connections",
            )
            return HandoverResult(listener, None)

    def _channel_closed(self, _channel: Channel, reason: str) -> None:
        self._transfer.discard()
        if self._result is not None and not self._result.done():
            self._log.line("replacement", f"the handover from the predecessor is incomplete: {reason}")
            self._result.set_result(None)
        self.channel = None
        self.request_ids.channel = None
        self._balancer.use_full_limits()

    def stop(self) -> None:
        """Close the connection because this process exits."""
        if self.channel is not None:
            self.channel.discard()
