"""The predecessor's side of a handover: waits for a successor and transfers sockets and state to it."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from quartzford.atomic_file import remove_stale_temporary_files
from quartzford.engine import Clock, Log
from quartzford.replacement.channel import Channel, close_descriptors
from quartzford.replacement.errors import PeerUserError
from quartzford.replacement.messages import (
    ClientTransfer,
    Hello,
    ListenerTransfer,
    MaintenanceUpdate,
    Message,
    RequestIdsClaimed,
    Serving,
    StatePart,
)
from quartzford.replacement.replaceable import ReplaceableBalancer
from quartzford.replacement.request_id_link import RequestIdLink
from quartzford.replacement.state import split_state
from quartzford.replacement.state_machine import (
    HandoverAction,
    HandoverEvent,
    HandoverState,
    HandoverStateMachine,
)
from quartzford.replacement.unix_socket import check_peer_user, listen_at

START_TIMEOUT_S = 1.5  # a connected successor that does not serve within this time counts as lost
HEARTBEAT_TIMEOUT_S = 3.0  # a serving successor that sends no message for this time counts as lost
LIVENESS_CHECK_S = 0.25
LISTEN_RETRY_S = 1.0
STARTING_STATES = (HandoverState.SUCCESSOR_STARTING, HandoverState.DRAINING_SUCCESSOR_STARTING)


class PredecessorSide:
    """Listens for a successor and performs the actions of the handover state machine."""

    def __init__(
        self,
        balancer: ReplaceableBalancer,
        socket_path: str,
        clock: Clock,
        log: Log,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """socket_path: the Unix socket to which a successor connects."""
        self.channel: Channel | None = None  # to the successor, while one is connected
        self.listener: socket.socket | None = None
        self.request_ids = RequestIdLink(balancer)
        self._balancer = balancer
        self._socket_path = socket_path
        self._clock = clock
        self._log = log
        self._loop = loop
        self._state_machine = HandoverStateMachine(self._perform)
        self._last_message_at = 0.0  # time of the last message from a successor, in seconds of the clock
        self._listen_failed = False
        self._stopped = False

    def listen(self) -> None:
        """Listen for a successor. On failure, retry until it succeeds or the process exits."""
        if self._stopped:
            return
        with contextlib.suppress(OSError):
            remove_stale_temporary_files(self._socket_path)
        try:
            self.listener = listen_at(self._socket_path)
        except OSError as error:
            if not self._listen_failed:
                self._log.line("replacement", f"cannot listen for a successor: {error}")
            self._listen_failed = True
            self._clock.call_later(LISTEN_RETRY_S, self.listen)
            return
        if self._listen_failed:
            self._log.line("replacement", "listening for a successor again")
        self._loop.add_reader(self.listener, self._accept)

    def shut_down(self) -> None:
        """Start to drain after SIGTERM, with or without a successor."""
        self._state_machine.handle(HandoverEvent.SHUTDOWN_REQUESTED)

    def stop(self) -> None:
        """Close the listener and the connection because this process exits."""
        self._stopped = True
        if self.listener is not None:
            self._loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        if self.channel is not None:
            self.channel.discard()

    # ---- connection from a successor

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        try:
            check_peer_user(sock)
        except PeerUserError:
            sock.close()
            return
        Channel(sock, self._loop, self._receive, self._channel_closed)

    def _receive(self, channel: Channel, message: Message, descriptors: list[int]) -> None:
        close_descriptors(descriptors)
        self._last_message_at = self._clock.now()
        match message:
            case Hello(process_id=process_id, shares_request_ids=shares_request_ids):
                self._begin_handover(channel, process_id, shares_request_ids)
            case Serving() if channel is self.channel:
                self._state_machine.handle(HandoverEvent.SUCCESSOR_SERVES)
            case MaintenanceUpdate(endpoint=endpoint, in_maintenance=in_maintenance):
                if channel is self.channel:
                    self._balancer.apply_maintenance(endpoint, in_maintenance)
            case RequestIdsClaimed():
                self.request_ids.handle(message)

    def _begin_handover(self, channel: Channel, process_id: int, shares_request_ids: bool) -> None:
        if self.channel is not None and self._state_machine.state in STARTING_STATES:
            self.channel.close("a newer successor connected")  # the earlier one does not serve yet
        if self.channel is not None:
            channel.close("another successor is already connected")
            return
        self.channel = channel
        self.request_ids.channel = channel if shares_request_ids else None
        self._log.line("replacement", f"handover to process {process_id} begins")
        if not self._state_machine.handle(HandoverEvent.SUCCESSOR_CONNECTED):
            channel.close("no handover is possible in the present state")
        self._check_liveness()

    def _channel_closed(self, channel: Channel, reason: str) -> None:
        if channel is not self.channel:
            return
        self.channel = None
        self.request_ids.channel = None
        self._balancer.transfer_clients(None)
        if self._state_machine.handle(HandoverEvent.SUCCESSOR_LOST):
            self._log.line("replacement", f"the successor is lost: {reason}")

    def _check_liveness(self) -> None:
        """Close the connection to a successor that hangs; it then counts as lost."""
        if self.channel is None:
            return
        starting = self._state_machine.state in STARTING_STATES
        timeout_s = START_TIMEOUT_S if starting else HEARTBEAT_TIMEOUT_S
        if self._clock.now() - self._last_message_at > timeout_s:
            self.channel.close("no message within the timeout")
            return
        self._clock.call_later(LIVENESS_CHECK_S, self._check_liveness)

    # ---- actions of the handover state machine

    def _perform(self, action: HandoverAction) -> None:
        match action:
            case HandoverAction.RELEASE_LISTENER:
                self._transfer_listener()
            case HandoverAction.TRANSFER_CLIENTS:
                self._balancer.transfer_clients(self._transfer_client)
            case HandoverAction.RESUME_SERVING:
                self._balancer.resume_serving()
            case HandoverAction.DRAIN:
                self._balancer.drain()
            case HandoverAction.DRAIN_TO_SUCCESSOR:
                self._balancer.drain_to_successor()

    def _transfer_listener(self) -> None:
        """Send the listening socket and the state to the successor."""
        assert self.channel is not None
        offer = self._balancer.release_listener()
        if offer is None:
            self.channel.close("the listener is already closed")
            return
        channel = self.channel
        parts = split_state(offer.state)
        self.request_ids.announce(offer.request_ids)  # before the successor can accept a request
        shares_request_ids = self.request_ids.channel is not None
        channel.send(ListenerTransfer(len(parts), shares_request_ids), [offer.listener.fileno()])
        for number, data in enumerate(parts):
            channel.send(StatePart(number, data))

    def _transfer_client(self, descriptor: int) -> bool:
        """Send a client connection to the successor. Return whether the kernel accepted it for sending."""
        return self.channel is not None and self.channel.send_now(ClientTransfer(), descriptor)
