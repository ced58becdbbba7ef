"""The load generator: open-loop arrivals, clients that behave as clients do, latency from the intended send.

shapes: arrivals. trace: recorded requests. clients: what a client does next. options: what is to be played.
plan: the requests of each worker. record: histograms and counts. result: one result out of the workers'
records. reconciliation: the rules, by what clients and servers saw. page: a result as HTML. None of these
does I/O. schedule, attempt, connection, connecting, connection_end and driver: one worker's requests on their
way. worker and run: the processes. live: the view while they run. cli: the command.
"""
