"""Stand-ins for the balancer's peers over loopback sockets, for tests and benchmarks.

They play scripted faults and record journals of what they observe. No stand-in is more lenient than its
specification, and none depends on the balancer's internals.
"""
