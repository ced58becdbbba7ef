"""Every decision of the balancer: events come in, actions go out. No I/O, and no clock of its own."""
