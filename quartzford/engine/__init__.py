"""Drives the decision module for any front, over any backend; knows no protocol and no socket."""

from quartzford.engine.budget import Budget
from quartzford.engine.clock import Clock, Handle, LoopClock
from quartzford.engine.core import Engine
from quartzford.engine.figures import Figures
from quartzford.engine.flight import Attempt, Backend, Call
from quartzford.engine.log import Log, StderrLog, print_error

__all__ = [
    "Attempt",
    "Backend",
    "Budget",
    "Call",
    "Clock",
    "Engine",
    "Figures",
    "Handle",
    "Log",
    "LoopClock",
    "StderrLog",
    "print_error",
]
