"""HTTP/1.1: httptools in, bytes out."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import httptools

MOST_BODY = 64 * 1024
MOST_HEAD = 32 * 1024
MOST_FIELDS = 100
MOST_TARGET = 8 * 1024
WIRE = 8  # times the longest body, of one message on the wire: chunks may be tiny, their extensions long
TARGET = re.compile(rb"[!-\"$-~]+")  # what any worker can read: visible ASCII and no fragment
# Headers that we act on: a second one would leave open which of them counts.
ONCE = ("host", "content-length", "transfer-encoding", "expect", "idempotency-key")

REASONS = {
    100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    414: "URI Too Long", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable",
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
    came_at: float = 0.0  # when its last byte came, on the loop's clock

    @property
    def path(self) -> str:
        return self.target.split(b"?", 1)[0].decode("latin-1")


class _Reader:
    """Collects the messages of one connection from httptools' calls."""

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self.most_body = most_body
        self.complete: list[Message] = []
        self.expects_continue = False
        self._message = Message()
        self._body = bytearray()
        self._head = 0  # bytes of names and values, and of chunks that ended within the head
        self._fields = 0
        self._wire = 0  # bytes of the message that have come
        self._in_head = True
        self._begun = False  # some of a next message has come
        self._idle_bytes = 0  # bytes between messages: line ends, which the parser passes over

    @property
    def idle(self) -> bool:
        """Nothing of a next message has come."""
        return not self._begun and not self._idle_bytes

    # httptools calls these

    def on_message_begin(self) -> None:
        self._message = Message()
        self._body = bytearray()
        self._head = self._fields = self._wire = self._idle_bytes = 0
        self._in_head = self._begun = True

    def on_url(self, url: bytes) -> None:
        self._message.target += url
        if len(self._message.target) > MOST_TARGET:
            raise BadMessage(414, "the target is over 8 KiB")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer, which must not pass for a header
        self._head += len(name) + len(value) + 4
        self._fields += 1
        if self._head > MOST_HEAD or self._fields > MOST_FIELDS:
            raise BadMessage(431, "the head is over 32 KiB or 100 fields")
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip(" \t")
        if key in self._message.headers and (key in ONCE or key.startswith("req-")):
            raise BadMessage(400, f"{key} is given twice")
        self._message.headers[key] = text

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.most_body:
            raise BadMessage(413, f"the body is over {self.most_body >> 10} KiB")
        self._body += body

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.most_body:
            raise BadMessage(413, f"the body is over {self.most_body >> 10} KiB")
        if self._message.headers.get("expect", "").lower() == "100-continue":
            self.expects_continue = True

    def on_message_complete(self) -> None:
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser_keeps_alive()
        self._finish(self._message)
        self.complete.append(self._message)
        self._begun = False
        self._body = bytearray()

    def _parser_keeps_alive(self) -> bool:
        raise NotImplementedError

    def _finish(self, message: Message) -> None:
        raise NotImplementedError

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        begun = self._begun
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, BadMessage) else BadMessage(400, "not HTTP") from None
        except httptools.HttpParserError:
            raise BadMessage(400, "not HTTP") from None
        if not self._begun:
            self._idle_bytes = 0 if self.complete else self._idle_bytes + len(data)
            return
        if begun or not self.complete:  # else some of these bytes belong to the message before
            self._wire += len(data)
        if self._in_head and self._wire > MOST_HEAD:
            raise BadMessage(431, "the head is over 32 KiB")
        if self._wire > WIRE * self.most_body:
            raise BadMessage(413, f"the message is over {WIRE * self.most_body >> 10} KiB with its framing")


class RequestReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpRequestParser(self)

    @property
    def held(self) -> int:
        """Bytes of a body that has not come whole."""
        return len(self._body)

    @property
    def target(self) -> bytes:
        """Where the message that is coming is addressed; b"" where none is."""
        return self._message.target if self._begun else b""

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        headers, version = self._message.headers, self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise BadMessage(400, "HTTP/1.1 is spoken here")
        encoding = headers.get("transfer-encoding")
        if encoding is not None and (encoding.lower() != "chunked" or version == "1.0"):
            raise BadMessage(400, "the one transfer encoding is chunked, of HTTP/1.1")
        if encoding is not None and "content-length" in headers:
            raise BadMessage(400, "a length and an encoding are both given")
        if not TARGET.fullmatch(self._message.target):
            raise BadMessage(400, "the target holds what is not visible ASCII")

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
    def __init__(self, most_body: int = MOST_BODY) -> None:
        super().__init__(most_body)
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[Message]:
        self._feed(self._parser, data)
        done, self.complete = self.complete, []
        return [m for m in done if m.status >= 200]

    def message_at_eof(self) -> Message | None:
        """The answer that the end of its connection completes: one that told no length. None where it was
        cut, or none was under way."""
        message, h = self._message, self._message.headers
        if not self._begun or self._in_head or "content-length" in h or "transfer-encoding" in h:
            return None
        message.body, message.keep_alive, self._begun = bytes(self._body), False, False
        message.status = self._parser.get_status_code()
        return message

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
