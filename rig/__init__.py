"""Hundreds of real processes of the program on one machine, between stand-ins, with faults on their links.

All on loopback. A balancer has an address of its own in 127.0.0.0/8, so a link is a pair of addresses;
a fault proxy stands between the two where a script has faults for them. docs/rig.md
"""
