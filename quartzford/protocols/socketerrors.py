"""Classifies errors of socket calls that are caused by this machine and not by the peer."""

from __future__ import annotations

import errno

# Errors for lack of descriptors or memory, which may be temporary.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Errors of connect(2) for lack of descriptors, memory or local ports.
LOCAL_TO_CONNECT = EXHAUSTED | {errno.EADDRNOTAVAIL}


def is_exhausted(error: BaseException) -> bool:
    """Return whether this machine has run out of descriptors or memory."""
    return isinstance(error, OSError) and error.errno in EXHAUSTED


def is_local_to_connect(error: BaseException) -> bool:
    """Return whether a connection attempt failed for lack of a local resource, not because of the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_TO_CONNECT
