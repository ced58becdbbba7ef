"""The external processor: other proxies ask for each request where it goes, and report what came back.

token: attempt tokens. desk: flights, streams and the module, without I/O. outcome: what a report means.
messages: Envoy's ext_proc messages. server: gRPC. line: the desk over a Unix socket, for more than one core.
"""
