"""What a balancer is told: the platform's configuration, the operator's file, header values."""
