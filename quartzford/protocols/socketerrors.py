"""Errors of socket calls whose cause is this machine alone."""

from __future__ import annotations

import errno

# Descriptors or memory have run out, which may be over in a moment.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# The same of connect(2), and ports.
LOCAL_TO_CONNECT = EXHAUSTED | {errno.EADDRNOTAVAIL}


def is_exhausted(error: BaseException) -> bool:
    """This machine has run out of descriptors or memory."""
    return isinstance(error, OSError) and error.errno in EXHAUSTED


def is_local_to_connect(error: BaseException) -> bool:
    """A connection failed for want of something of this machine: whoever it was to reach is not to blame."""
    return isinstance(error, OSError) and error.errno in LOCAL_TO_CONNECT
