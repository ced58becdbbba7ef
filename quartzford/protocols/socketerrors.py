"""Errors of socket calls that tell of this machine alone."""

from __future__ import annotations

import errno

# Descriptors or memory have run out, which may be over in a moment.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


def is_exhausted(error: BaseException) -> bool:
    """This machine has run out of descriptors or memory."""
    return isinstance(error, OSError) and error.errno in EXHAUSTED
