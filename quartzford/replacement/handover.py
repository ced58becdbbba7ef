"""Both ends of a replacement: the process that may be followed, and the one that follows.

The Unix socket lies under $TMPDIR, which both have in common. The successor connects when nothing is missing
but what it is about to be given; its predecessor answers with the listening socket and its state, and hands
over the clients' connections from the moment at which the successor says that it serves. docs/replacement.md
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from quartzford.atomic_file import remove_stale_temporary_files, temporary_path
from quartzford.engine import Clock, Log
from quartzford.replacement.channel import Channel, is_same_user
from quartzford.replacement.maintenance_file import MaintenanceFile
from quartzford.replacement.state import (
    MAX_STATE_BYTES,
    STATE_FORMAT,
    BalancerState,
    ClientTransfer,
    Heartbeat,
    Hello,
    ListenerTransfer,
    MaintenanceUpdate,
    Message,
    Serving,
    StatePart,
    decode_state,
    split_state,
)
from quartzford.replacement.state_machine import (
    HandoverAction,
    HandoverEvent,
    HandoverState,
    HandoverStateMachine,
)

HANDOVER_TIMEOUT_S = 1.0  # for how long the predecessor's answer is waited for
START_TIMEOUT_S = 1.5  # a successor that does not serve by then is lost
HEARTBEAT_TIMEOUT_S = 3.0  # so is one that has said nothing for so long
HEARTBEAT_INTERVAL_S = 0.5
LISTEN_RETRY_S = 1.0
SUCCESSOR_BACKLOG = 4


class HandoverResult(NamedTuple):
    """What a predecessor gave: its listener, and its state unless that could not be read."""

    listener: socket.socket
    state: BalancerState | None


class ReplaceableBalancer(Protocol):
    """The balancer that is replaced, or that replaces one."""

    def release_listener(self) -> tuple[socket.socket, BalancerState] | None:
        """Take no connection from now on; the listener, if it still stands, and what is known."""

    def resume_serving(self) -> None: ...

    def transfer_clients(self, hand: Callable[[int], bool] | None) -> None:
        """Hand over each client's connection that rests, now and from now on; None: no longer."""

    def drain(self) -> None: ...

    def drain_to_successor(self) -> None: ...

    def adopt_client(self, sock: socket.socket) -> None:
        """A client's connection from the process before."""

    def apply_maintenance(self, name: str, out: bool) -> None:
        """The other process was told this."""

    def use_full_limits(self) -> None:
        """The process before is no more."""


def balancer_path(folder: str, name: str, listen: tuple[str, int]) -> str:
    """The path of this balancer's files in a folder, without an ending."""
    mark = hashlib.sha256(f"{name} {listen[0]} {listen[1]}".encode()).hexdigest()[:12]
    return os.path.join(folder, f"quartzford-{mark}")


@contextlib.contextmanager
def short_path(path: str) -> Iterator[str]:
    """A path that fits into a socket's address, however deep its folder lies."""
    folder = os.open(os.path.dirname(path), os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


def listen_at(path: str) -> socket.socket:
    """A listening socket that takes over the path: a stale file is no obstacle. OSError leaves nothing."""
    own = temporary_path(path)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own)
        with short_path(own) as address:
            sock.bind(address)
        os.chmod(own, 0o600)
        sock.listen(SUCCESSOR_BACKLOG)
        os.replace(own, path)
    except OSError:
        sock.close()
        with contextlib.suppress(OSError):
            os.unlink(own)
        raise
    return sock


class Handover:
    """This process's place in the line of processes that are one balancer."""

    def __init__(
        self, node: ReplaceableBalancer, path: str, clock: Clock, log: Log, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.node, self.path, self.clock, self.log, self.loop = node, path, clock, log, loop
        self.maintenance_file = MaintenanceFile(path + ".out", clock, log)
        self.state_machine = HandoverStateMachine(self._carry_out)
        self.listener: socket.socket | None = None
        self.listen_failed = self.stopped = False
        self.before: Channel | None = None  # to the process before
        self.after: Channel | None = None  # to the one that follows
        self.heard = 0.0
        self.given: asyncio.Future[HandoverResult | None] | None = None
        self._fd: int | None = None
        self._pieces: list[bytes] = []
        self._missing = 0

    # ---- the successor

    async def request_handover(self) -> HandoverResult | None:
        """What the process before gives; None where there is none, or it does not answer."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            with short_path(self.path + ".sock") as address:
                sock.connect(address)
            if not is_same_user(sock):
                raise OSError("it belongs to another user")
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
                self.log.line("replacement", f"nothing is taken over: {error}")
            return None
        self.given = self.loop.create_future()
        self.before = Channel(sock, self.loop, self._before_told, self._before_ended)
        self.before.send(Hello(STATE_FORMAT, os.getpid()))
        try:
            return await asyncio.wait_for(self.given, HANDOVER_TIMEOUT_S)
        except TimeoutError:
            self.log.line("replacement", "the process before does not answer; nothing is taken over")
            self.before.close("late")
            return None

    def announce_serving(self) -> None:
        """This process takes connections: the one before may hand over, the next one may come."""
        if self.before is not None:
            self.before.send(Serving())
            self._beat()
        self._await_successor()

    def maintenance_on_file(self) -> list[str]:
        """Who was out by hand, by the book."""
        return self.maintenance_file.read()

    def _beat(self) -> None:
        if self.before is not None and self.before.open:
            self.before.send(Heartbeat())
            self.clock.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _before_told(self, message: Message, descriptors: list[int]) -> None:
        match message:
            case ListenerTransfer(count) if len(descriptors) == 1 and self._fd is None:
                self._fd, self._missing = descriptors.pop(), count
            case StatePart(_, data) if self._missing > 0:
                self._pieces.append(data)
                self._missing -= 1
                if sum(map(len, self._pieces)) > MAX_STATE_BYTES:
                    self._pieces, self._missing = [b""], 0
            case ClientTransfer() if len(descriptors) == 1:
                self.node.adopt_client(socket.socket(fileno=descriptors.pop()))
            case MaintenanceUpdate(name, out):
                self.node.apply_maintenance(name, out)
        for fd in descriptors:
            os.close(fd)
        if self._fd is not None and not self._missing and self.given is not None and not self.given.done():
            listener, self._fd = socket.socket(fileno=self._fd), -1
            try:
                state = decode_state(b"".join(self._pieces))
            except ValueError as error:
                self.log.line("replacement", f"{error}; a cold start, with the connections")
                state = None
            self._pieces = []
            self.given.set_result(HandoverResult(listener, state))

    def _before_ended(self, why: str) -> None:
        if self._fd is not None and self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
        if self.given is not None and not self.given.done():
            self.log.line("replacement", f"the process before gave nothing whole: {why}")
            self.given.set_result(None)
        self.before = None
        self.node.use_full_limits()

    # ---- the predecessor

    def _await_successor(self) -> None:
        """Listen for a successor; where the folder fails, again until it works or the process ends."""
        if self.stopped:
            return
        path = self.path + ".sock"
        with contextlib.suppress(OSError):
            remove_stale_temporary_files(path)
        try:
            self.listener = listen_at(path)
        except OSError as error:
            if not self.listen_failed:
                self.log.line("replacement", f"no successor can take over: {error}")
            self.listen_failed = True
            self.clock.call_later(LISTEN_RETRY_S, self._await_successor)
            return
        if self.listen_failed:
            self.log.line("replacement", "a successor can take over again")
        self.loop.add_reader(self.listener, self._successor)

    def _successor(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        if not is_same_user(sock):
            return sock.close()
        channel: Channel

        def told(message: Message, descriptors: list[int]) -> None:
            for fd in descriptors:
                os.close(fd)
            self._after_told(channel, message)

        def ended(why: str) -> None:
            self._after_ended(channel, why)

        channel = Channel(sock, self.loop, told, ended)

    def _after_told(self, channel: Channel, message: Message) -> None:
        self.heard = self.clock.now()
        match message:
            case Hello(_, pid):
                if self.after is not None and self.state_machine.state in (
                    HandoverState.SUCCESSOR_STARTING,
                    HandoverState.DRAINING_SUCCESSOR_STARTING,
                ):
                    self.after.close("a newer one has come")  # which had not served yet
                if self.after is not None:
                    return channel.close("there is a successor")
                self.after = channel
                self.log.line("replacement", f"process {pid} takes over")
                if not self.state_machine.handle(HandoverEvent.SUCCESSOR_CONNECTED):
                    channel.close("not now")
                self._guard()
            case Serving() if channel is self.after:
                self.state_machine.handle(HandoverEvent.SUCCESSOR_SERVES)
            case MaintenanceUpdate(name, out) if channel is self.after:
                self.node.apply_maintenance(name, out)

    def _after_ended(self, channel: Channel, why: str) -> None:
        if channel is self.after:
            self.after = None
            self.node.transfer_clients(None)
            if self.state_machine.handle(HandoverEvent.SUCCESSOR_LOST):
                self.log.line("replacement", f"the successor is lost: {why}")

    def _guard(self) -> None:
        """A successor that hangs is as good as lost."""
        if self.after is None:
            return
        offered = self.state_machine.state in (
            HandoverState.SUCCESSOR_STARTING,
            HandoverState.DRAINING_SUCCESSOR_STARTING,
        )
        if self.clock.now() - self.heard > (START_TIMEOUT_S if offered else HEARTBEAT_TIMEOUT_S):
            return self.after.close("it is silent")
        self.clock.call_later(0.25, self._guard)

    def _carry_out(self, step: HandoverAction) -> None:
        match step:
            case HandoverAction.RELEASE_LISTENER:
                self._offer()
            case HandoverAction.TRANSFER_CLIENTS:
                self.node.transfer_clients(self._hand)
            case HandoverAction.RESUME_SERVING:
                self.node.resume_serving()
            case HandoverAction.DRAIN:
                self.node.drain()
            case HandoverAction.DRAIN_TO_SUCCESSOR:
                self.node.drain_to_successor()

    def _offer(self) -> None:
        assert self.after is not None
        offer = self.node.release_listener()
        if offer is None:
            return self.after.close("there is nothing left to take over")
        listener, state = offer
        pieces = split_state(state)
        self.after.send(ListenerTransfer(len(pieces)), (listener.fileno(),))
        for number, data in enumerate(pieces):
            self.after.send(StatePart(number, data))

    def _hand(self, descriptor: int) -> bool:
        return self.after is not None and self.after.send_now(ClientTransfer(), descriptor)

    # ---- both

    @property
    def paired(self) -> bool:
        """Two processes are this balancer at present."""
        return self.before is not None or self.after is not None

    def publish_maintenance(self, name: str, out: bool, names: set[str]) -> None:
        """This process was told so by an operator: the other one hears of it, and it goes on file."""
        for channel in (self.before, self.after):
            if channel is not None:
                channel.send(MaintenanceUpdate(name, out))
        self.maintenance_file.save(names)

    def terminate(self) -> None:
        self.state_machine.handle(HandoverEvent.SHUTDOWN_REQUESTED)

    def stop(self) -> None:
        """The end of this process."""
        self.stopped = True
        self.maintenance_file.stop()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for channel in (self.before, self.after):
            if channel is not None:
                channel.on_close = lambda why: None
                channel.close("done")
