"""Messages as JSON arrays, one a line, over an asyncio transport."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

from quartzford.fronts.extproc.channel_messages import Message


class JsonLinesProtocol(asyncio.Protocol):
    """Sends and receives messages; all messages sent in one iteration of the event loop share one write."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.partial_line = b""
        self.outgoing: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol: keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol: handle complete lines; keep an incomplete one for the next call."""
        *complete, self.partial_line = (self.partial_line + data).split(b"\n")
        self.messages_received([json.loads(line) for line in complete])

    def send(self, *values: Any) -> None:
        """Send one message that consists of these fields."""
        if not self.outgoing:
            self.loop.call_soon(self._flush)
        self.outgoing.append(json.dumps(values, separators=(",", ":")).encode())

    def _flush(self) -> None:
        if not self.outgoing:
            return
        data = b"\n".join([*self.outgoing, b""])
        self.outgoing = []
        if not self.transport.is_closing():
            self.transport.write(data)

    def messages_received(self, messages: list[Message]) -> None:
        """Handle complete messages, in the order of arrival."""
        raise NotImplementedError
