"""The Unix socket by which a successor finds its predecessor: its path, both ends, and who may connect."""

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
OWNER_ONLY = 0o600
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id, as in Linux's struct ucred


def balancer_path(folder: str, name: str, listen: tuple[str, int]) -> str:
    """The path of a balancer's files in a folder, without suffix.

    name and listen: those of its configuration, the same at predecessor and successor.
    """
    identity = hashlib.sha256(f"{name} {listen[0]} {listen[1]}".encode()).hexdigest()[:12]
    return str(Path(folder) / f"quartzford-{identity}")


@contextlib.contextmanager
def short_path(path: str) -> Iterator[str]:
    """The path in a form that fits into a socket's address, however deep its folder lies.

    OSError where the folder can't be opened.
    """
    target = Path(path)
    folder = os.open(target.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{target.name}"
    finally:
        os.close(folder)


def listen_at(path: str) -> socket.socket:
    """A listening, non-blocking socket at the path, in place of what lies there.

    OSError where it can't be made; it leaves no descriptor and no file behind.
    """
    temporary = temporary_path(path)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)
        with short_path(temporary) as address:
            sock.bind(address)
        os.chmod(temporary, OWNER_ONLY)
        sock.listen(BACKLOG)
        os.replace(temporary, path)
    except OSError:
        sock.close()
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    return sock


def connect_to(path: str) -> socket.socket:
    """A non-blocking connection to the process that listens at the path.

    FileNotFoundError or ConnectionRefusedError where none does, PeerUserError where it is another user's, and
    OSError otherwise.
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
    """PeerUserError unless the peer runs as this process's user: only that one may take over our clients."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    if user != os.getuid():
        raise PeerUserError("it belongs to another user")
