"""A SOCK_SEQPACKET connection on the event loop.

A message arrives together with its descriptors, complete or not at all.
"""

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

MAX_QUEUED_MESSAGES = 2_000  # with a longer queue, the peer counts as lost: it reads no messages
MAX_MESSAGES_PER_TURN = 64  # messages read in one iteration of the event loop
MAX_DESCRIPTORS = 8  # received with one message

TRUNCATION_FLAGS = socket.MSG_TRUNC | socket.MSG_CTRUNC


class QueuedMessage(NamedTuple):
    """An encoded message that is queued until the socket is writable, with duplicates of its descriptors."""

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
        """Take ownership of the socket.

        on_message: called with this channel and each message with its descriptors, which the callback owns.
        on_close: called once, with this channel and the reason, also after a call of `close`.
        """
        self.open = True
        self._sock = sock
        self._loop = loop
        self._on_message = on_message
        self._on_close = on_close
        self._queue: deque[QueuedMessage] = deque()
        sock.setblocking(False)
        loop.add_reader(sock, self._on_readable)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message, at once if possible, else after the messages queued before it.

        descriptors: the caller keeps them and may close them as soon as this method returns.
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
            self.close("the other process reads no messages")
        else:
            self._loop.add_writer(self._sock, self._on_writable)

    def send_now(self, message: Message, descriptor: int) -> bool:
        """Send at once or not at all. Return whether the kernel accepted the message."""
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

    def _on_writable(self) -> None:
        while self._queue and self.open:
            message = self._queue[0]
            if not self._try_to_send(message.data, message.descriptors):
                return
            self._queue.popleft()
            close_descriptors(message.descriptors)
        if self.open:
            self._loop.remove_writer(self._sock)

    def _on_readable(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if not self.open or not self._receive():
                return

    def receive_now(self, handle_now: Callable[[Message], bool]) -> None:
        """Read all messages that have arrived, and report them in the next iteration of the event loop.

        handle_now: returns whether it has handled a message, which is not reported then.
        """
        while self.open and self._receive(handle_now):
            pass

    def _receive(self, handle_now: Callable[[Message], bool] | None = None) -> bool:
        """Read one message and report it. Return False if there is no message or the channel was closed."""
        try:
            data, descriptors, flags, _ = socket.recv_fds(self._sock, MAX_MESSAGE_BYTES + 1, MAX_DESCRIPTORS)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(str(error))
            return False
        if not data:
            self.close("the other process closed the connection")
            return False
        try:
            message = read_message(data, flags)
        except MessageFormatError as error:
            close_descriptors(descriptors)
            self.close(str(error))
            return False
        if handle_now is None:
            self._on_message(self, message, descriptors)
        elif not handle_now(message):
            self._loop.call_soon(self._on_message, self, message, descriptors)
        return True

    def close(self, reason: str) -> None:
        """Close the connection, drop the queued messages and report the reason to `on_close`."""
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
        """Close the connection without calling `on_close`, because this process exits."""
        self._on_close = _ignore_close
        self.close("this process exits")


def _ignore_close(_channel: Channel, _reason: str) -> None:
    """Replace `on_close` when the owner of the channel needs no notification."""


def read_message(data: bytes, flags: int) -> Message:
    """Return the message received with these flags; raise MessageFormatError if it is cut off or invalid."""
    message = decode_message(data)
    if flags & TRUNCATION_FLAGS:
        raise MessageFormatError("the message is truncated")
    return message


def close_descriptors(descriptors: Iterable[int]) -> None:
    """Close the descriptors of a received or queued message."""
    for descriptor in descriptors:
        os.close(descriptor)
