"""HTTP/1.1: httptools in, bytes out."""

from __future__ import annotations

from dataclasses import dataclass, field

import httptools

MOST_BODY = 64 * 1024
MOST_HEAD = 32 * 1024

REASONS = {
    100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable",
}  # fmt: skip


class BadMessage(Exception):
    """What came is no message that we take; `status` is what a client is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response that has come whole."""

    method: str = ""
    target: bytes = b""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> str:
        return self.target.split(b"?", 1)[0].decode("latin-1")


class _Reader:
    """Collects the messages of one connection from httptools' calls."""

    def __init__(self) -> None:
        self.complete: list[Message] = []
        self.expects_continue = False
        self._message = Message()
        self._body = bytearray()
        self._head = 0
        self._in_head = True
        self._begun = False  # some of a next message has come

    # httptools calls these

    def on_message_begin(self) -> None:
        self._message = Message()
        self._body = bytearray()
        self._head, self._in_head, self._begun = 0, True, True

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        if key in self._message.headers and key in ("host", "content-length", "req-id"):
            raise BadMessage(400, f"{key} is given twice")
        self._message.headers[key] = text

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MOST_BODY:
            raise BadMessage(413, "the body is over 64 KiB")
        self._body += body

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get("content-length", "0")
        if length.isdigit() and int(length) > MOST_BODY:
            raise BadMessage(413, "the body is over 64 KiB")
        if self._message.headers.get("expect", "").lower() == "100-continue":
            self.expects_continue = True

    def on_message_complete(self) -> None:
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser_keeps_alive()
        self._finish(self._message)
        self.complete.append(self._message)
        self._begun = False

    def _parser_keeps_alive(self) -> bool:
        raise NotImplementedError

    def _finish(self, message: Message) -> None:
        raise NotImplementedError

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, BadMessage) else BadMessage(400, "not HTTP") from None
        except httptools.HttpParserError:
            raise BadMessage(400, "not HTTP") from None
        if self._begun and self._in_head:
            self._head += len(data)
        if self._head > MOST_HEAD:
            raise BadMessage(431, "the head is over 32 KiB")


class RequestReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpRequestParser(self)

    @property
    def idle(self) -> bool:
        """Nothing of a next request has come."""
        return not self._begun

    def feed(self, data: bytes) -> list[Message]:
        """The requests that these bytes complete. Raises `BadMessage`, after which the reader is spent."""
        self._feed(self._parser, data)
        done, self.complete = self.complete, []
        return done

    def _parser_keeps_alive(self) -> bool:
        return bool(self._parser.should_keep_alive())

    def _finish(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("latin-1")


class ResponseReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[Message]:
        self._feed(self._parser, data)
        done, self.complete = self.complete, []
        return [m for m in done if m.status >= 200]

    def _parser_keeps_alive(self) -> bool:
        return bool(self._parser.should_keep_alive())

    def _finish(self, message: Message) -> None:
        message.status = self._parser.get_status_code()


def response(status: int, body: bytes = b"", headers: tuple[str, ...] = (), close: bool = False) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", *headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request(method: str, target: bytes, headers: tuple[str, ...] = (), body: bytes = b"") -> bytes:
    head = [method.encode() + b" " + target + b" HTTP/1.1", *(h.encode("latin-1") for h in headers)]
    if body or method == "POST":
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body
