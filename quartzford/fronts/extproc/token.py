"""Attempt tokens: they bind each stream of a retried request to it, and only this balancer can make one."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import struct
from enum import Enum

MAC_BYTES = 16
TOKEN_LAYOUT = struct.Struct(
    ">8sIQ"
)  # the incarnation that made it, the request's number, its end in Unix ms
VERSION = b"q1"


class InvalidToken(Enum):
    """Why a token opens nothing. Neither kind is ever taken for a request without a token."""

    STALE = "stale"  # ours, but of another incarnation of this balancer, or its time is over
    FORGED = "forged"


class Tokens:
    """Makes and reads tokens. key: 16 bytes or more; incarnation: 8 bytes, new with each start."""

    def __init__(self, key: bytes, incarnation: bytes) -> None:
        if len(key) < 16 or len(incarnation) != 8:
            raise ValueError("key: 16 bytes or more; incarnation: 8 bytes")
        self.key = hashlib.blake2b(key).digest()
        self.incarnation = incarnation

    def make(self, number: int, identity: str, expires_unix_ms: float) -> str:
        """A token for a request; identity is the request's correlation id, which it is good for alone."""
        body = TOKEN_LAYOUT.pack(self.incarnation, number, int(expires_unix_ms))
        return base64.urlsafe_b64encode(body + self._mac(body, identity)).decode().rstrip("=")

    def read(self, text: str, identity: str, now_ms: float) -> int | InvalidToken:
        """The request's number, or why there is none; now_ms: Unix ms.

        A token of an earlier incarnation differs from a forged one only where the key is kept.
        """
        try:
            decoded = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
        except (ValueError, binascii.Error):
            return InvalidToken.FORGED
        body, mac = decoded[: TOKEN_LAYOUT.size], decoded[TOKEN_LAYOUT.size :]
        if len(decoded) != TOKEN_LAYOUT.size + MAC_BYTES or not hmac.compare_digest(
            mac, self._mac(body, identity)
        ):
            return InvalidToken.FORGED
        incarnation, number, expires_unix_ms = TOKEN_LAYOUT.unpack(body)
        return (
            int(number)
            if incarnation == self.incarnation and now_ms <= expires_unix_ms
            else InvalidToken.STALE
        )

    def _mac(self, body: bytes, identity: str) -> bytes:
        text = VERSION + body + identity.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(text, key=self.key, digest_size=MAC_BYTES).digest()
