"""The last list on a lasting disk, so that a balancer can serve before the list service has answered. No I/O.

A snapshot is one line of JSON (format, service, taken_ms, length and SHA-256 of what follows) and the list
in discovery's form. It is of one service at one address: another's versions mean something else. What may be
done with one of a given age is `SnapshotAgeLimits`'s to say; snapshot_writer.py writes and reads the file.
"""

from __future__ import annotations

import hashlib
import json
import math
from typing import Any, NamedTuple

FORMAT = 1
SKEW_S = 1.0  # a snapshot may seem to be so much younger than it is without a step of the clock
MOST_BYTES = 64 * 1024 * 1024


class SnapshotError(ValueError):
    """A snapshot that can't be used; the text gives the reason."""


class Snapshot(NamedTuple):
    """A list as it was last received, and when (Unix ms), from which service ("host:port")."""

    service: str
    taken_ms: float
    table: dict[str, Any]  # in discovery's form


class SnapshotAgeLimits(NamedTuple):
    """How lists are used by their age, in seconds.

    most_age: an older one is not used at all. fresh_age: up to it the list counts as the platform's `known`
    does, as last received. Between the two every upstream of it counts as having started when the balancer
    did: it may have been replaced since, so it is in slow start until the service has answered. So does every
    upstream of a list from the future: the clock was stepped, and its age is unknown.
    """

    most_age: float
    fresh_age: float

    def cold(self, age: float) -> bool:
        """Whether the upstreams of a list of this age, in seconds, count as cold."""
        return age > self.fresh_age or age < -SKEW_S


def encode(one: Snapshot) -> bytes:
    """The file's bytes: a line of JSON with length and digest, then the list as JSON."""
    body = json.dumps(one.table, separators=(",", ":")).encode()
    head = {
        "format": FORMAT,
        "service": one.service,
        "taken_ms": one.taken_ms,
        "bytes": len(body),
        "sha256": hashlib.sha256(body).hexdigest(),
    }
    return json.dumps(head).encode() + b"\n" + body


def decode(data: bytes) -> Snapshot:
    """SnapshotError names what is wrong: cut off, damaged, of another format."""
    if len(data) > MOST_BYTES:
        raise SnapshotError(f"{len(data)} bytes are more than a list has")
    line, found, body = data.partition(b"\n")
    if not found:
        raise SnapshotError("it does not begin with a snapshot's line")
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
        raise SnapshotError("it does not begin with a snapshot's line") from None
    return head


def _check_body(head: dict[str, Any], body: bytes) -> None:
    if head.get("format") != FORMAT:
        raise SnapshotError(f"format {head.get('format')!r} is not {FORMAT}")
    if head.get("bytes") != len(body):
        raise SnapshotError(f"cut off: {len(body)} bytes of {head.get('bytes')!r}")
    if head.get("sha256") != hashlib.sha256(body).hexdigest():
        raise SnapshotError("damaged: its digest differs")


def _origin(head: dict[str, Any]) -> tuple[str, float]:
    """Of which service the list is, and when it was taken (Unix time in ms)."""
    service, taken = head.get("service"), head.get("taken_ms")
    if not isinstance(service, str) or isinstance(taken, bool) or not isinstance(taken, int | float):
        raise SnapshotError("service or taken_ms is missing")
    if not math.isfinite(taken):
        raise SnapshotError("taken_ms is not a moment")
    return service, float(taken)


def usable(one: Snapshot, service: str, now_ms: float, rule: SnapshotAgeLimits) -> float:
    """Its age in seconds, negative after a step of the clock; SnapshotError where it may not be used."""
    if one.service != service:
        raise SnapshotError(f"it is of {one.service}, and the list service is {service}")
    age = (now_ms - one.taken_ms) / 1000.0
    if age > rule.most_age:
        raise SnapshotError(f"it is {age:.0f} s old, over the {rule.most_age:g} allowed")
    return age
