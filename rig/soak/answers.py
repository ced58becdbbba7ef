"""The forms of answers that a soak's clients ask its upstreams for, in a header field."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

ANSWER_FIELD = "x-soak-answer"
FRAMINGS = ("length", "chunked", "close")
LATE_BODY_S = 0.85  # from the head to the first byte of a late body
LUMP_PAUSE_S = 0.5
STEADY_PIECES = 20
BULK_PIECE_BYTES = 64 * 1024
STEADY_S = 1.0  # from the first to the last piece of a steady body


class AnswerForm(NamedTuple):
    """shape: "short", "steady", "lumps", "late" or "bulk". framing: one of FRAMINGS. size: in bytes."""

    shape: str
    framing: str
    size: int

    def field(self) -> str:
        """Return the header field that asks for this form, with its CRLF."""
        return f"{ANSWER_FIELD}: {self.shape} {self.framing} {self.size}\r\n"

    @classmethod
    def parse(cls, text: str) -> AnswerForm:
        """Return the form that a field's value asks for; a short answer if there is none."""
        if not text:
            return SHORT
        shape, framing, size = text.split()
        return cls(shape, framing, int(size))


SHORT = AnswerForm("short", "length", 40)


def body_start(identity: str) -> bytes:
    """Return what the body of the answer to a request begins with; the rest is dots."""
    return identity.encode()


def pieces_of(identity: str, form: AnswerForm) -> Iterator[tuple[float, bytes]]:
    """Yield the pieces in which a body is written, each with the pause before it in seconds."""
    bulk_count = -(-form.size // BULK_PIECE_BYTES)
    count = {"steady": STEADY_PIECES, "lumps": 3, "late": 4, "bulk": bulk_count}[form.shape]
    pause_s = {"steady": STEADY_S / STEADY_PIECES, "lumps": LUMP_PAUSE_S, "late": 0.1, "bulk": 0.0}[
        form.shape
    ]
    piece_bytes = -(-form.size // count)
    dots = b"." * piece_bytes
    yield LATE_BODY_S if form.shape == "late" else 0.0, body_start(identity).ljust(piece_bytes, b".")
    for given in range(piece_bytes, form.size, piece_bytes):
        yield pause_s, dots[: form.size - given]
