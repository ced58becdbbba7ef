"""The real balancer's sockets."""
