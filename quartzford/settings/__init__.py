"""Settings of a balancer: the configuration file, the operator's file, and the parsing of header values."""
