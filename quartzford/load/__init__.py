"""The load generator: open-loop arrivals, clients with timeouts and retries, latency from the intended send.

Modules without I/O: shapes (arrival rates), trace (recorded requests), clients (timeouts and retries),
options (the settings of a run), plan (the requests of each worker), record (histograms and counts), result
(merges the workers' records), reconciliation (checks the rules against the records of clients and servers)
and page (a result as HTML).

Modules with I/O: schedule, attempt, connection, connecting, connection_end and driver send one worker's
requests. worker and run are the processes. live shows a run in progress. cli is the command.
"""
