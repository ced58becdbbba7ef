"""A process is replaced while it serves: the two are one balancer. docs/replacement.md"""
