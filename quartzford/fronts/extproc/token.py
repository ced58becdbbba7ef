"""Attempt tokens: they bind each stream of a retried request to its flight, and nobody else can make one."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import struct
from enum import Enum

MAC_BYTES = 16
LAYOUT = struct.Struct(">8sIQ")  # the life that made it, the flight's number, Unix ms at which it ends
VERSION = b"q1"


class InvalidToken(Enum):
    """Why a token opens nothing. Neither kind is ever taken for a request without a token."""

    STALE = "stale"  # ours, but of another life of this balancer, or its time is over
    FORGED = "forged"


class Tokens:
    """Makes and reads tokens. key: 16 bytes or more; life: 8 bytes, new with each start."""

    def __init__(self, key: bytes, incarnation: bytes) -> None:
        if len(key) < 16 or len(incarnation) != 8:
            raise ValueError("key: 16 bytes or more; life: 8 bytes")
        self.key, self.incarnation = hashlib.blake2b(key).digest(), incarnation

    def make(self, number: int, identity: str, ends_ms: float) -> str:
        """A token for a flight; identity is the request's correlation id, which it is good for alone."""
        body = LAYOUT.pack(self.incarnation, number, int(ends_ms))
        return base64.urlsafe_b64encode(body + self._mac(body, identity)).decode().rstrip("=")

    def read(self, text: str, identity: str, now_ms: float) -> int | InvalidToken:
        """The flight's number. A token of an earlier life can be told from a forged one if the key lasts."""
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
        except (ValueError, binascii.Error):
            return InvalidToken.FORGED
        body, mac = raw[: LAYOUT.size], raw[LAYOUT.size :]
        if len(raw) != LAYOUT.size + MAC_BYTES or not hmac.compare_digest(mac, self._mac(body, identity)):
            return InvalidToken.FORGED
        incarnation, number, ends = LAYOUT.unpack(body)
        return int(number) if incarnation == self.incarnation and now_ms <= ends else InvalidToken.STALE

    def _mac(self, body: bytes, identity: str) -> bytes:
        text = VERSION + body + identity.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(text, key=self.key, digest_size=MAC_BYTES).digest()
