"""Test rig: hundreds of real balancer processes on one machine, with scripted faults on their links.

Everything runs on loopback. Each balancer has its own address in 127.0.0.0/8, so a link is identified by
a pair of addresses; a fault proxy stands between the two ends wherever a script has faults for the link. See
docs/rig.md.
"""
