"""Parses the responses of upstreams of host routes from bytes, without sockets."""

from __future__ import annotations

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from mallowvalve.proxy.steps import NO_STATUS, OK

MAX_BUFFERED_BODY_BYTES = 256 << 10
"""A body of this size or more is streamed to the client instead of buffered."""


class ResponseParser(HTTPResponseParser):
    """Parses one response from the bytes of a connection, and skips responses that carry another request id.

    `id_header` is the header of the request id (lower case; empty: the id is not checked). After each `receive`,
    `error` says what is wrong, `complete` whether the whole response is there, `extra_bytes` whether bytes followed it,
    and `foreign_responses` how many other responses were skipped. `header_map` has lower-case names.
    """

    def __init__(self, method: str, id_header: str, request_id: str):
        """Expects the response to the request `request_id`, which was sent with `method`."""
        super().__init__()
        self.id_header, self.request_id, self.has_no_body = id_header, request_id, method == "HEAD"
        self.complete = self.extra_bytes = self.keep_alive = self.started = self._matches = False
        self.error = ""
        self.foreign_responses = self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.header_map: dict[str, str] = {}
        self.body = bytearray()
        self._name: str | None = None
        self._value = ""
        self._fields: list[tuple[str, str]] = []

    def receive(self, data: bytes) -> None:
        """Parses received bytes; empty `data` is the end of the connection."""
        try:
            self.feed(data)
        except HTTPParseError as error:
            if self.complete:
                self.extra_bytes = True
            else:
                self.error = self.error or ("broken: ended early" if not data else f"garbage: {error}")
            return
        if not data and not self.complete:
            self.error = self.error or "broken: closed"

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request: it brought this one complete response and nothing else."""
        return self.complete and self.keep_alive and not self.extra_bytes and not self.foreign_responses

    def must_stream(self) -> bool:
        """Returns whether the body is incomplete and already too large to be buffered."""
        return not self.complete and self._matches and len(self.body) >= MAX_BUFFERED_BODY_BYTES

    def drain(self) -> bytes:
        """Removes and returns the body bytes received so far."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def content_length(self) -> int | None:
        """Returns the Content-Length, or None without a valid one."""
        length = self.header_map.get("content-length", "")
        return int(length) if length.isdigit() else None

    def _on_message_begin(self) -> None:
        self.started = True
        self._name, self._value, self._fields, self._matches = None, "", [], False
        self.extra_bytes = self.extra_bytes or self.complete

    def _on_status(self, text: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._value is None:
            self._name += text
            return
        if self._name is not None:
            self._fields.append((self._name, self._value))
        self._name, self._value = text, None

    def _on_header_value(self, text: str) -> None:
        self._value = text if self._value is None else self._value + text

    def _on_headers_complete(self) -> bool:
        if self._name is not None:
            self._fields.append((self._name, self._value or ""))
            self._name = None
        self._value = ""
        status = self.get_code()
        if status < OK or self.complete:
            return False
        header_map: dict[str, str] = {}
        for field, value in self._fields:
            name = field.lower()
            header_map[name] = f"{header_map[name]}, {value}" if name in header_map else value
        if not self.id_header or header_map.get(self.id_header) == self.request_id:
            self._matches = True
            self.status, self.headers, self.header_map = status, self._fields, header_map
        elif self.id_header not in header_map:
            self.error = "garbage: an answer without an id"
        if (
            "content-length" not in header_map
            and "transfer-encoding" not in header_map
            and status not in (204, 304)
            and not self.has_no_body
        ):
            self.error = self.error or "garbage: an answer of unknown length"
        if status >= NO_STATUS:
            self.error = self.error or f"garbage: status {status}"
        return self.has_no_body

    def _on_body(self, data: bytes) -> None:
        if self._matches:
            self.body += data

    def _on_message_complete(self) -> None:
        if self.get_code() < OK or self.complete:
            return
        if self._matches and not self.error:
            self.complete, self._matches, self.keep_alive = True, False, self.should_keep_alive()
        else:
            self.foreign_responses += 1
