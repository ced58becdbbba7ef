"""Errors of a handover between two processes."""

from __future__ import annotations


class HandoverError(Exception):
    """Data that the other process sent, or left in a file, cannot be used. The message gives the reason."""


class PeerUserError(HandoverError):
    """The process at the other end of a connection belongs to another user."""


class MessageFormatError(HandoverError):
    """A message from the other process cannot be decoded."""


class StateFormatError(HandoverError):
    """The state that a predecessor handed over cannot be decoded or has another format."""


class MaintenanceFileError(HandoverError):
    """The content of a maintenance file cannot be decoded or has another format."""
