"""Errors of a handover between two processes."""

from __future__ import annotations


class HandoverError(Exception):
    """Something that the other process gave, or left behind, can't be used; the text says what."""


class PeerUserError(HandoverError):
    """The process at the other end of a connection belongs to another user."""


class MessageFormatError(HandoverError):
    """A message of the other process can't be read."""


class StateFormatError(HandoverError):
    """The state that a predecessor handed over can't be read, or is of another format."""


class MaintenanceFileError(HandoverError):
    """The content of a maintenance file can't be read, or is of another format."""
