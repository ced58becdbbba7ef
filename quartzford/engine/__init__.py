"""Connects the decision module to a front and a backend; independent of protocols and sockets."""

from quartzford.engine.body import EMPTY_BODY, Body
from quartzford.engine.budget import BufferBudget, Charge
from quartzford.engine.clock import Clock, Handle, LoopClock
from quartzford.engine.core import Engine
from quartzford.engine.log import Log, StderrLog, print_error
from quartzford.engine.peaks import Peaks
from quartzford.engine.pending_request import Attempt, Backend, PendingRequest
from quartzford.engine.read_buffer import ReadBuffer
from quartzford.engine.request_counters import RequestCounters
from quartzford.engine.request_ids import PairedProcess, RequestIds

__all__ = [
    "Attempt",
    "Backend",
    "Body",
    "EMPTY_BODY",
    "BufferBudget",
    "Charge",
    "PairedProcess",
    "Peaks",
    "PendingRequest",
    "Clock",
    "Engine",
    "ReadBuffer",
    "RequestCounters",
    "RequestIds",
    "Handle",
    "Log",
    "LoopClock",
    "StderrLog",
    "print_error",
]
