"""A SOCK_SEQPACKET connection on the loop: messages with descriptors, complete or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from quartzford.replacement.errors import MessageFormatError
from quartzford.replacement.messages import MAX_MESSAGE_BYTES, Message, decode_message, encode_message

MAX_QUEUED_MESSAGES = 2_000  # a peer that reads none of them is lost
MAX_MESSAGES_PER_TURN = 64  # messages that are read in one turn of the loop
MAX_DESCRIPTORS = 8  # of one message

CUT_OFF = socket.MSG_TRUNC | socket.MSG_CTRUNC


class QueuedMessage(NamedTuple):
    """An encoded message that waits until the socket is writable, with descriptors that it owns."""

    data: bytes
    descriptors: list[int]


class Channel:
    """One end of the connection between predecessor and successor."""

    def __init__(
        self,
        sock: socket.socket,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Channel, Message, list[int]], None],
        on_close: Callable[[Channel, str], None],
    ) -> None:
        """Take over the socket.

        on_message: gets this channel and each message with its descriptors, which the receiver owns.
        on_close: gets this channel and the reason, once, also where `close` is called.
        """
        self.open = True
        self._sock = sock
        self._loop = loop
        self._on_message = on_message
        self._on_close = on_close
        self._queue: deque[QueuedMessage] = deque()
        sock.setblocking(False)
        loop.add_reader(sock, self._readable)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send in order, at once or later.

        descriptors: stay the caller's, which may close them as soon as this returns.
        """
        if not self.open:
            return
        data = encode_message(message)
        if not self._queue and self._try_to_send(data, descriptors):
            return
        if self.open:
            self._enqueue(data, descriptors)

    def _enqueue(self, data: bytes, descriptors: Sequence[int]) -> None:
        self._queue.append(QueuedMessage(data, [os.dup(descriptor) for descriptor in descriptors]))
        if len(self._queue) > MAX_QUEUED_MESSAGES:
            self.close("it reads nothing")
        else:
            self._loop.add_writer(self._sock, self._writable)

    def send_now(self, message: Message, descriptor: int) -> bool:
        """Send at once or not at all; whether the kernel has taken it."""
        if not self.open or self._queue:
            return False
        return self._try_to_send(encode_message(message), [descriptor])

    def _try_to_send(self, data: bytes, descriptors: Sequence[int]) -> bool:
        try:
            if descriptors:
                socket.send_fds(self._sock, [data], list(descriptors))
            else:
                self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(str(error))
            return False
        return True

    def _writable(self) -> None:
        while self._queue and self.open:
            message = self._queue[0]
            if not self._try_to_send(message.data, message.descriptors):
                return
            self._queue.popleft()
            close_descriptors(message.descriptors)
        if self.open:
            self._loop.remove_writer(self._sock)

    def _readable(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if not self.open or not self._receive():
                return

    def _receive(self) -> bool:
        """Read one message; False where there is none."""
        try:
            data, descriptors, flags, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES + 1, MAX_DESCRIPTORS)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(str(error))
            return False
        if not data:
            self.close("it has ended")
            return False
        try:
            message = read_message(data, flags)
        except MessageFormatError as error:
            close_descriptors(descriptors)
            self.close(str(error))
            return False
        self._on_message(self, message, descriptors)
        return True

    def close(self, reason: str) -> None:
        """Close the connection, with what is still queued, and report the reason to `on_close`."""
        if not self.open:
            return
        self.open = False
        self._loop.remove_reader(self._sock)
        self._loop.remove_writer(self._sock)
        for message in self._queue:
            with contextlib.suppress(OSError):
                close_descriptors(message.descriptors)
        self._queue.clear()
        self._sock.close()
        self._on_close(self, reason)

    def discard(self) -> None:
        """Close the connection without a report: the process ends."""
        self._on_close = _ignore_close
        self.close("the process ends")


def _ignore_close(_channel: Channel, _reason: str) -> None:
    """In place of `on_close` once the owner needs no notice."""


def read_message(data: bytes, flags: int) -> Message:
    """The message that was received with these flags; MessageFormatError where it is cut off or none."""
    message = decode_message(data)
    if flags & CUT_OFF:
        raise MessageFormatError("a message that is cut off")
    return message


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close descriptors that came with a message, or wait to go with one."""
    for descriptor in descriptors:
        os.close(descriptor)
