"""quartzford: the decisions of a reverse proxy that spreads requests over servers."""

from quartzford.decision import interface
from quartzford.decision.logic import Balancer

__all__ = ["Balancer", "interface"]
