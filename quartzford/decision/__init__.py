"""The decision module of the balancer: takes events and returns actions, without I/O and without a clock."""
