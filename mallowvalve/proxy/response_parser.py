"""Reads answers of upstreams from bytes, without sockets."""

from __future__ import annotations

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from mallowvalve.proxy.steps import NO_STATUS, OK

WHOLE = 256 << 10


class ResponseParser(HTTPResponseParser):
    """Reads one answer out of what a connection brings, without sockets: answers that bear another id are passed over.

    `mark` is the header that bears the id (lower case; empty: not checked), `ask` the id of the request. After each
    `take`, `why` says what is wrong, `done` that the whole answer is here, `extra` that more came after it.
    """

    def __init__(self, method: str, mark: str, ask: str):
        super().__init__()
        self.mark, self.ask, self.bodiless = mark, ask, method == "HEAD"
        self.done = self.extra = self.keep_alive = self.begun = self._ours = False
        self.why = ""
        self.others = self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.header_map: dict[str, str] = {}
        self.body = bytearray()
        self._name: str | None = None
        self._value = ""
        self._fields: list[tuple[str, str]] = []

    def receive(self, data: bytes) -> None:
        try:
            self.feed(data)
        except HTTPParseError as e:
            if self.done:
                self.extra = True
            else:
                self.why = self.why or ("broken: ended early" if not data else f"garbage: {e}")
            return
        if not data and not self.done:
            self.why = self.why or "broken: closed"

    @property
    def reusable(self) -> bool:
        """Whether the next request may go on this connection: nothing came but this one whole answer."""
        return self.done and self.keep_alive and not self.extra and not self.others

    def large(self) -> bool:
        return not self.done and self._ours and len(self.body) >= WHOLE

    def drain(self) -> bytes:
        got, self.body = bytes(self.body), bytearray()
        return got

    def length(self) -> int | None:
        n = self.header_map.get("content-length", "")
        return int(n) if n.isdigit() else None

    def _on_message_begin(self) -> None:
        self.begun = True
        self._name, self._value, self._fields, self._ours = None, "", [], False
        self.extra = self.extra or self.done

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
        code = self.get_code()
        if code < OK or self.done:
            return False
        header_map: dict[str, str] = {}
        for field, value in self._fields:
            name = field.lower()
            header_map[name] = f"{header_map[name]}, {value}" if name in header_map else value
        if not self.mark or header_map.get(self.mark) == self.ask:
            self._ours = True
            self.status, self.headers, self.header_map = code, self._fields, header_map
        elif self.mark not in header_map:
            self.why = "garbage: an answer without an id"
        if (
            "content-length" not in header_map
            and "transfer-encoding" not in header_map
            and code not in (204, 304)
            and not self.bodiless
        ):
            self.why = self.why or "garbage: an answer of unknown length"
        if code >= NO_STATUS:
            self.why = self.why or f"garbage: status {code}"
        return self.bodiless

    def _on_body(self, data: bytes) -> None:
        if self._ours:
            self.body += data

    def _on_message_complete(self) -> None:
        if self.get_code() < OK or self.done:
            return
        if self._ours and not self.why:
            self.done, self._ours, self.keep_alive = True, False, self.should_keep_alive()
        else:
            self.others += 1
