"""quartzford: a reverse proxy that balances requests over servers. Exports its decision module."""

from quartzford.decision import interface
from quartzford.decision.logic import Balancer

__all__ = ["Balancer", "interface"]
