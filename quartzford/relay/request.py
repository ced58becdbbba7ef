"""Parses the HTTP/1.1 request of a call to a relay, for the complete list or for a watch. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import httptools

LIST_PATH = "/catalog/members"
MAX_HEAD_BYTES = 8 * 1024
MAX_INDEX_DIGITS = 18
ABSOLUTE_FORM_PREFIX = "http://"  # of a request target in absolute form (RFC 9112, section 3.2.2)


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A valid request.

    index: the version after which a watch begins, 0 for the complete list; None if the call is not a watch.
    """

    index: int | None


class RequestError(Exception):
    """The request is invalid and is answered with an error. status: the HTTP status code."""

    def __init__(self, status: int) -> None:
        super().__init__(f"invalid request, answered with status {status}")
        self.status = status


class RequestParser:
    """Parses the head of one request; the bytes after the head are not interpreted."""

    def __init__(self) -> None:
        self.bytes_read = 0
        self._url = b""
        self._method: bytes | None = None  # known once the head is complete
        self._parser: Any = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> ListRequest | None:
        """Return the request once its head is complete, None before. Raise RequestError if it is invalid."""
        self.bytes_read += len(data)
        malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            malformed = True
        too_long = self.bytes_read > MAX_HEAD_BYTES
        if self._method is not None and not too_long:
            return self._request(self._method)
        if malformed:
            raise RequestError(400)
        if too_long:
            raise RequestError(431)
        return None

    def close(self) -> None:
        """Drop the httptools parser, which holds a reference to this object."""
        self._parser = None

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target. Called by httptools."""
        if self._method is None:
            self._url += url

    def on_headers_complete(self) -> None:
        """Note that the head is complete. Called by httptools; requests after the first are ignored."""
        if self._method is None:
            self._method = self._parser.get_method()

    def _request(self, method: bytes) -> ListRequest:
        target = self._url.decode("latin-1")
        if target.startswith(ABSOLUTE_FORM_PREFIX):
            target = "/" + target.removeprefix(ABSOLUTE_FORM_PREFIX).partition("/")[2]
        path, _, query = target.partition("?")
        if path != LIST_PATH:
            raise RequestError(404)
        if method != b"GET":
            raise RequestError(405)
        return ListRequest(_watch_index(query))


def _watch_index(query: str) -> int | None:
    """Return the index of a watch, None for other calls. Raise RequestError if the index is no version."""
    fields = dict(parse_qsl(query, keep_blank_values=True))
    if fields.get("stream") != "1":
        return None
    index = fields.get("index", "0")
    if not (index.isascii() and index.isdigit() and len(index) <= MAX_INDEX_DIGITS):
        raise RequestError(400)
    return int(index)
