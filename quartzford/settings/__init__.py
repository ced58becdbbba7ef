"""What a balancer is configured with: the configuration file, the operator's file, header values."""
