"""Wire protocols without I/O: bytes in, events and bytes out."""
