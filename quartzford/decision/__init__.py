"""Every decision of the balancer, and the events and actions by which it is told and tells. No I/O."""
