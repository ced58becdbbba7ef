"""The Unix socket between predecessor and successor: its path, listening, connecting, and the user check."""

from __future__ import annotations

import contextlib
import hashlib
import os
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

from quartzford.atomic_file import temporary_path
from quartzford.replacement.errors import PeerUserError

BACKLOG = 4
OWNER_ONLY_MODE = 0o600
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id, as in Linux's struct ucred


def balancer_path(folder: str, name: str, listen: tuple[str, int]) -> str:
    """Return the common path of a balancer's files in a folder, without suffix.

    name and listen: as in the configuration; predecessor and successor have the same values.
    """
    identity = hashlib.sha256(f"{name} {listen[0]} {listen[1]}".encode()).hexdigest()[:12]
    return str(Path(folder) / f"quartzford-{identity}")


@contextlib.contextmanager
def short_path(path: str) -> Iterator[str]:
    """Yield a form of the path that fits into a Unix socket address, however long the folder's path is.

    Raise OSError if the folder cannot be opened.
    """
    target = Path(path)
    folder = os.open(target.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{target.name}"
    finally:
        os.close(folder)


def listen_at(path: str) -> socket.socket:
    """Return a listening, non-blocking socket at the path, which replaces an existing file there.

    Raise OSError on failure; no descriptor and no file is left behind.
    """
    temporary = temporary_path(path)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)
        with short_path(temporary) as address:
            sock.bind(address)
        os.chmod(temporary, OWNER_ONLY_MODE)
        sock.listen(BACKLOG)
        os.replace(temporary, path)
    except OSError:
        sock.close()
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    return sock


def connect_to(path: str) -> socket.socket:
    """Return a non-blocking connection to the process that listens at the path.

    Raise FileNotFoundError or ConnectionRefusedError if no process listens, PeerUserError if the process
    belongs to another user, and OSError for other failures.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with short_path(path) as address:
            sock.connect(address)
        check_peer_user(sock)
    except (OSError, PeerUserError):
        sock.close()
        raise
    return sock


def check_peer_user(sock: socket.socket) -> None:
    """Raise PeerUserError unless the peer runs as this process's user.

    A process of another user must not take over client connections.
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    if user != os.getuid():
        raise PeerUserError("the process at the other end belongs to another user")
