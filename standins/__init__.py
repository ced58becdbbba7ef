"""Real peers over loopback sockets, with scripted faults and books of their own: for tests and benches.

None of them is gentler than its specification. They know nothing of the balancer's insides.
"""
