"""quartzford: the decisions of a reverse proxy that spreads requests over servers."""

from quartzford import interface
from quartzford.logic import Balancer

__all__ = ["Balancer", "interface"]
