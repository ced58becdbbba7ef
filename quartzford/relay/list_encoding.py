"""Encodes rows and lines of the endpoint list as JSON, in the list service's format. No I/O."""

from __future__ import annotations

from json.encoder import encode_basestring_ascii as quoted

from quartzford.decision import interface as io

EXACT_INTEGER_LIMIT = 2**53  # integral floats below this are written as integers

Address = tuple[str, int]  # host and port; the host is empty if the row has no address


def encode_row(endpoint: io.Endpoint, address: Address) -> bytes:
    """Return a row as JSON."""
    return (
        f'{{"host":{quoted(endpoint.server)},"dial":{quoted(_dial(address))},"site":{quoted(endpoint.zone)},'
        f'"class":{quoted(endpoint.kind)},"block":{endpoint.cell},"health":"{endpoint.state}",'
        f'"share":{endpoint.units!r},"born_ms":{_milliseconds(endpoint.started_ms)}}}'
    ).encode("ascii")


def encode_line(version: int, complete: bool, rows: list[bytes]) -> bytes:
    """Return a line with these rows, ending with a newline. Modifies the first and last item of `rows`."""
    head = b'{"seq":%d,"whole":%b,"hosts":[' % (version, b"true" if complete else b"false")
    if not rows:
        return head + b"]}\n"
    rows[0] = head + rows[0]  # the join below then makes the only copy of what may be millions of bytes
    rows[-1] += b"]}\n"
    return b",".join(rows)


def _dial(address: Address) -> str:
    host, port = address
    if not host:
        return ""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _milliseconds(value: float) -> str:
    if value < EXACT_INTEGER_LIMIT and value.is_integer():
        return str(int(value))
    return repr(value)
