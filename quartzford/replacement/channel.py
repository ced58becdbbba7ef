"""A SOCK_SEQPACKET connection on the loop: messages with descriptors, whole or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable

from quartzford.replacement.state import MAX_MESSAGE_BYTES, Message, decode_message, encode_message

MAX_QUEUED_MESSAGES = 2_000  # messages; a peer that reads none is lost
MAX_MESSAGES_PER_TURN = 64  # messages that are read in one turn of the loop


def is_same_user(sock: socket.socket) -> bool:
    """Only a process of ours may take over our clients."""
    size = struct.calcsize("3i")
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))
    return bool(uid == os.getuid())


class Channel:
    """One end. told: each message with its descriptors (the receiver owns them); ended: once, at the end."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Message, list[int]], None],
        on_close: Callable[[str], None],
    ) -> None:
        self.sock, self.loop, self.on_message, self.on_close = sock, loop, on_message, on_close
        self.waiting: deque[tuple[bytes, list[int]]] = deque()
        self.open = True
        sock.setblocking(False)
        loop.add_reader(sock, self._readable)

    def send(self, message: Message, descriptors: tuple[int, ...] = ()) -> None:
        """In order; the descriptors are the caller's and are doubled at once."""
        if not self.open:
            return
        data = encode_message(message)
        if not self.waiting and self._sent(data, list(descriptors)):
            return
        if self.open:
            self.waiting.append((data, [os.dup(fd) for fd in descriptors]))
            if len(self.waiting) > MAX_QUEUED_MESSAGES:
                return self.close("it reads nothing")
            self.loop.add_writer(self.sock, self._writable)

    def send_now(self, message: Message, descriptor: int) -> bool:
        """Send now or not at all; whether the kernel has it."""
        return self.open and not self.waiting and self._sent(encode_message(message), [descriptor])

    def _sent(self, data: bytes, descriptors: list[int]) -> bool:
        try:
            if descriptors:
                socket.send_fds(self.sock, [data], descriptors)
            else:
                self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(str(error))
            return False
        return True

    def _writable(self) -> None:
        while self.waiting and self.open:
            data, descriptors = self.waiting[0]
            if not self._sent(data, descriptors):
                return
            self.waiting.popleft()
            for fd in descriptors:
                os.close(fd)
        if self.open:
            self.loop.remove_writer(self.sock)

    def _readable(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if not self.open:
                return
            try:
                data, descriptors, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES + 1, 8)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                return self.close(str(error))
            if not data:
                return self.close("it has ended")
            try:
                message = decode_message(data)
                if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                    raise ValueError("a message that is cut off")
            except ValueError as error:
                for fd in descriptors:
                    os.close(fd)
                return self.close(str(error))
            self.on_message(message, descriptors)

    def close(self, why: str) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        for _, descriptors in self.waiting:
            for fd in descriptors:
                with contextlib.suppress(OSError):
                    os.close(fd)
        self.waiting.clear()
        self.sock.close()
        self.on_close(why)
