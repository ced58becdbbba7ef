"""The load generator: open-loop arrivals, clients that behave as clients do, latency from the intended send.

shapes: arrivals. trace: recorded requests. clients: what a client does next. record: histograms and counts.
driver: connections and pacing. connection_end: whether a server had read a request when it closed. run:
worker processes, and one result out of theirs. The first four do no I/O.
"""
