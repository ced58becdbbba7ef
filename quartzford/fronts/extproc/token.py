"""Decision tokens: they tie the streams of a retried request to it, and only this balancer can issue them."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import struct
from enum import Enum

MAC_BYTES = 16
# Incarnation that issued the token, request number, expiry in Unix ms.
TOKEN_LAYOUT = struct.Struct(">8sIQ")
VERSION = b"q1"


class InvalidToken(Enum):
    """Why a token is invalid. A request with an invalid token is never handled as a new request."""

    STALE = "stale"  # issued with this key, but by another incarnation, or expired
    FORGED = "forged"


class Tokens:
    """Issues and reads tokens. key: at least 16 bytes; incarnation: 8 bytes, new at each start."""

    def __init__(self, key: bytes, incarnation: bytes) -> None:
        if len(key) < 16 or len(incarnation) != 8:
            raise ValueError("a token key needs at least 16 bytes, an incarnation exactly 8")
        self.key = hashlib.blake2b(key).digest()
        self.incarnation = incarnation

    def make(self, number: int, identity: str, expires_unix_ms: float) -> str:
        """Return a token for a request; it is valid only with the request's correlation id, `identity`."""
        body = TOKEN_LAYOUT.pack(self.incarnation, number, int(expires_unix_ms))
        return base64.urlsafe_b64encode(body + self._mac(body, identity)).decode().rstrip("=")

    def read(self, text: str, identity: str, now_ms: float) -> int | InvalidToken:
        """Return the request's number, or why the token is invalid; now_ms: Unix ms.

        An earlier incarnation's token reads as stale only if the key is still the same, otherwise as forged.
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
