"""Format of the snapshot, the copy of the last list on a persistent disk. No I/O.

With a snapshot, a balancer can serve requests before the list service has answered. A snapshot consists of
one line of JSON (format, service, taken_ms, length and SHA-256 of the body) and the body, which is the list
in the format of discovery. It belongs to one service at one address, because versions of different services
cannot be compared. `SnapshotAgeLimits` defines the use of a snapshot by its age; snapshot_writer.py writes
and reads the file.
"""

from __future__ import annotations

import hashlib
import json
import math
from typing import Any, NamedTuple

FORMAT = 1
MAX_CLOCK_SKEW_S = 1.0  # a snapshot from further in the future than this shows a step of the clock
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


class SnapshotError(ValueError):
    """A snapshot cannot be used; the message gives the reason."""


class Snapshot(NamedTuple):
    """The last received list, its service ("host:port") and the time of receipt (Unix time in ms)."""

    service: str
    taken_ms: float
    table: dict[str, Any]  # the list in the format of discovery


class SnapshotAgeLimits(NamedTuple):
    """Limits on the age of a snapshot, in seconds.

    max_age_s: an older list is not used at all. fresh_age_s: up to this age, the list is used like the
    platform's `known`, as the last received list. Between the two limits, every upstream counts as started
    together with the balancer, because it may have been replaced since; it is in slow start until the service
    has answered. The same applies to a list from the future, whose age is unknown because the clock was
    stepped.
    """

    max_age_s: float
    fresh_age_s: float

    def is_cold(self, age_s: float) -> bool:
        """Return whether the upstreams of a list of this age count as cold."""
        return age_s > self.fresh_age_s or age_s < -MAX_CLOCK_SKEW_S


def encode(snapshot: Snapshot) -> bytes:
    """Return the bytes of the file: a line of JSON with length and digest, then the list as JSON."""
    body = json.dumps(snapshot.table, separators=(",", ":")).encode()
    head = {
        "format": FORMAT,
        "service": snapshot.service,
        "taken_ms": snapshot.taken_ms,
        "bytes": len(body),
        "sha256": hashlib.sha256(body).hexdigest(),
    }
    return json.dumps(head).encode() + b"\n" + body


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in the bytes of a file.

    Raises SnapshotError if the data is truncated, damaged or of another format.
    """
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise SnapshotError(f"{len(data)} bytes exceed the maximum size of a snapshot")
    line, found, body = data.partition(b"\n")
    if not found:
        raise SnapshotError("it does not begin with the header line of a snapshot")
    head = _read_head(line)
    _check_body(head, body)
    service, taken_ms = _origin(head)
    try:
        table = json.loads(body)
    except (ValueError, RecursionError):
        raise SnapshotError("the list is not JSON") from None
    if not isinstance(table, dict):
        raise SnapshotError("the list is not an object")
    return Snapshot(service, taken_ms, table)


def _read_head(line: bytes) -> dict[str, Any]:
    try:
        head = json.loads(line)
        if not isinstance(head, dict):
            raise ValueError
    except (ValueError, RecursionError):
        raise SnapshotError("it does not begin with the header line of a snapshot") from None
    return head


def _check_body(head: dict[str, Any], body: bytes) -> None:
    if head.get("format") != FORMAT:
        raise SnapshotError(f"format {head.get('format')!r} is not {FORMAT}")
    if head.get("bytes") != len(body):
        raise SnapshotError(f"truncated: {len(body)} bytes of {head.get('bytes')!r}")
    if head.get("sha256") != hashlib.sha256(body).hexdigest():
        raise SnapshotError("damaged: the SHA-256 digest differs")


def _origin(head: dict[str, Any]) -> tuple[str, float]:
    """Return the service of the list and the time of its receipt (Unix time in ms)."""
    service, taken = head.get("service"), head.get("taken_ms")
    if not isinstance(service, str) or isinstance(taken, bool) or not isinstance(taken, int | float):
        raise SnapshotError("service or taken_ms is missing or has a wrong type")
    if not math.isfinite(taken):
        raise SnapshotError("taken_ms is not finite")
    return service, float(taken)


def validated_age_s(snapshot: Snapshot, service: str, now_ms: float, age_limits: SnapshotAgeLimits) -> float:
    """Return the age of a snapshot in seconds; it is negative after a step of the clock.

    Raises SnapshotError if the snapshot is too old or belongs to another service.
    """
    if snapshot.service != service:
        raise SnapshotError(f"it belongs to {snapshot.service}, but the list service is {service}")
    age_s = (now_ms - snapshot.taken_ms) / 1000.0
    if age_s > age_limits.max_age_s:
        raise SnapshotError(f"it is {age_s:.0f} s old, more than the allowed {age_limits.max_age_s:g} s")
    return age_s
