"""Real peers over loopback sockets, with scripted faults and journals of their own: for tests and benchmarks.

None of them is gentler than its specification. They know nothing of the balancer's internals.
"""
