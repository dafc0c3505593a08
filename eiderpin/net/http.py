"""HTTP/1.1: parses requests and responses with httptools, and builds them as bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import httptools

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
MAX_HEADER_FIELDS = 100
MAX_TARGET_BYTES = 8 * 1024
MAX_MESSAGES_AT_ONCE = 16  # that one read may complete; what a peer sends ahead is limited to fewer
FEED_BYTES = 4096  # that the parser gets at once; it may hold so much without telling
FIELD_OVERHEAD_BYTES = 200  # of memory for a header field, beside its name and value
# A message with its framing may be this many times the longest body: chunks may be tiny, and their extensions
# long.
MAX_FRAMING_FACTOR = 8
MAX_CHUNKS = 1024  # of a message
VALID_TARGET = re.compile(rb"[!-\"$-~]+")  # what any worker can parse: visible ASCII and no fragment
# Headers that are acted on: if one were given twice, it would be open which of them counts.
SINGLE_VALUED_HEADERS = ("host", "content-length", "transfer-encoding", "expect", "idempotency-key")

REASON_PHRASES = {
    100: "Continue", 200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
    414: "URI Too Long", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    502: "Bad Gateway", 503: "Service Unavailable",
}  # fmt: skip


class BadMessage(Exception):
    """The input is not an HTTP message that is accepted here; `status` is the one to answer it with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response that has been received completely."""

    method: str = ""
    target: bytes = b""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    keep_alive: bool = True
    received_at: float = 0.0  # when its last byte arrived, in ms on the loop's clock

    @property
    def size(self) -> int:
        """Memory that it takes, without what every message takes."""
        text = sum(len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in self.headers.items())
        return len(self.target) + len(self.body) + text

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class _MessageReader:
    """Builds the messages of one connection from the parser's callbacks, and enforces the limits."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, kept_body_bytes: int | None = None) -> None:
        self.max_body_bytes = max_body_bytes
        self._kept_body_bytes = max_body_bytes if kept_body_bytes is None else kept_body_bytes
        self._body_bytes = 0  # received of the current body, of which `_body` has what is kept
        self.completed: list[Message] = []
        self.expects_continue = False
        self._message = Message()
        self._body = bytearray()
        self._head_bytes = 0  # of header names and values, and of chunks that ended within the head
        self._field_count = self._chunk_count = 0
        self._message_bytes = 0  # received of the current message, with its framing
        self._in_head = True
        self._started = False  # part of a message has been received
        self._idle_bytes = 0  # bytes between messages: line ends, which the parser skips
        self._unreported_bytes = 0  # fed since the parser last made a callback: it may hold them
        self._reported = False  # the parser has made a callback for the data that is being fed

    @property
    def idle(self) -> bool:
        """Whether nothing of a next message has been received."""
        return not self._started and not self._idle_bytes

    @property
    def buffered_bytes(self) -> int:
        """Memory that the incomplete message takes."""
        if not self._started:
            return 0
        return self._head_size() + len(self._body) + self._unreported_bytes

    def _head_size(self) -> int:
        return len(self._message.target) + self._head_bytes + FIELD_OVERHEAD_BYTES * self._field_count

    def release(self) -> None:
        """Drop all that was received and the parser, which refers back to here. Nothing may be fed any more.

        Otherwise the memory would stay in use until the garbage collector runs."""
        self._message, self._body, self.completed = Message(), bytearray(), []
        self._started, self._idle_bytes = False, 0
        self._drop_parser()

    def _drop_parser(self) -> None:
        """Drop the parser."""
        raise NotImplementedError

    # The parser's callbacks; httptools looks them up by name.

    def on_message_begin(self) -> None:
        """Start a new message."""
        self._message = Message()
        self._body = bytearray()
        self._head_bytes = self._field_count = self._message_bytes = self._idle_bytes = 0
        self._chunk_count = self._body_bytes = 0
        self._in_head = self._started = self._reported = True

    def on_url(self, url: bytes) -> None:
        """Append to the target. Raises `BadMessage` if it is too long."""
        self._reported = True
        self._message.target += url
        if len(self._message.target) > MAX_TARGET_BYTES:
            raise BadMessage(414, "the target is over 8 KiB")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. Raises `BadMessage` if the head is too large, or for a forbidden duplicate."""
        self._reported = True
        if not self._in_head:
            return  # a trailer, which must not count as a header
        self._head_bytes += len(name) + len(value) + 4
        self._field_count += 1
        if self._head_bytes > MAX_HEAD_BYTES or self._field_count > MAX_HEADER_FIELDS:
            raise BadMessage(431, "the head is over 32 KiB or 100 fields")
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip(" \t")
        if key in self._message.headers and (key in SINGLE_VALUED_HEADERS or key.startswith("req-")):
            raise BadMessage(400, f"{key} is given twice")
        self._message.headers[key] = text

    def on_body(self, body: bytes) -> None:
        """Append to the body. Raises `BadMessage` if it is too long."""
        self._reported = True
        self._body_bytes += len(body)
        if self._body_bytes > self.max_body_bytes:
            raise BadMessage(413, f"the body is over {self.max_body_bytes >> 10} KiB")
        self._body += body[: max(0, self._kept_body_bytes - len(self._body))]

    def on_headers_complete(self) -> None:
        """Check the headers. Raises `BadMessage` if they announce a body that is too long."""
        self._reported, self._in_head = True, False
        length = self._message.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            raise BadMessage(413, f"the body is over {self.max_body_bytes >> 10} KiB")
        if self._message.headers.get("expect", "").lower() == "100-continue":
            self.expects_continue = True

    def on_chunk_complete(self) -> None:
        """Count a chunk. Raises `BadMessage` if there are too many."""
        self._reported = True
        self._chunk_count += 1
        if self._chunk_count > MAX_CHUNKS:
            raise BadMessage(413, f"the body comes in over {MAX_CHUNKS} chunks")

    def on_message_complete(self) -> None:
        """Put the message among the completed ones. Raises `BadMessage` if there are too many at once."""
        if len(self.completed) >= MAX_MESSAGES_AT_ONCE:
            raise BadMessage(400, "too much is sent ahead")
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser_keeps_alive()
        self._read_start_line(self._message)
        self.completed.append(self._message)
        self._started = False
        self._body = bytearray()

    def _parser_keeps_alive(self) -> bool:
        """Whether the connection may be used after this message."""
        raise NotImplementedError

    def _read_start_line(self, message: Message) -> None:
        """Set what the parser knows of the message's start line: the method, or the status."""
        raise NotImplementedError

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        """Parse received bytes. Raises `BadMessage`."""
        view = memoryview(data)
        for start in range(0, len(data), FEED_BYTES):
            self._feed_part(parser, view[start : start + FEED_BYTES])

    def _feed_part(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: memoryview
    ) -> None:
        """Parse some of the received bytes, and check the limits. Raises `BadMessage`."""
        had_started, had_completed = self._started, len(self.completed)
        self._reported = False
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "no other protocol is spoken here") from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, BadMessage) else BadMessage(400, "not HTTP") from None
        except httptools.HttpParserError:
            raise BadMessage(400, "not HTTP") from None
        completes = len(self.completed) > had_completed
        if not self._started:
            self._idle_bytes = 0 if completes else self._idle_bytes + len(data)
            return
        if had_started or not completes:  # otherwise some of these bytes belong to the message before
            self._message_bytes += len(data)
        self._unreported_bytes = 0 if self._reported else self._unreported_bytes + len(data)
        self._check_sizes()

    def _check_sizes(self) -> None:
        """Check what has been received of the current message. Raises `BadMessage` if it is too much."""
        if self._in_head and self._message_bytes > MAX_HEAD_BYTES:
            raise BadMessage(431, "the head is over 32 KiB")
        if self._unreported_bytes > MAX_HEAD_BYTES:
            raise BadMessage(413, "a field behind the body, or a chunk's extension, is over 32 KiB")
        if self._message_bytes > MAX_FRAMING_FACTOR * self.max_body_bytes:
            raise BadMessage(
                413,
                f"the message is over {MAX_FRAMING_FACTOR * self.max_body_bytes >> 10} KiB with its framing",
            )


class RequestReader(_MessageReader):
    """Parses the requests that are received on one connection."""

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpRequestParser(self)

    def _drop_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(None)

    @property
    def target(self) -> bytes:
        """The target of the request that is being received; empty if there is none."""
        return self._message.target if self._started else b""

    def on_headers_complete(self) -> None:
        """Check the headers of a request. Raises `BadMessage`."""
        super().on_headers_complete()
        headers, version = self._message.headers, self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise BadMessage(400, "HTTP/1.1 is spoken here")
        encoding = headers.get("transfer-encoding")
        if encoding is not None and (encoding.lower() != "chunked" or version == "1.0"):
            raise BadMessage(400, "the one transfer encoding is chunked, of HTTP/1.1")
        if encoding is not None and "content-length" in headers:
            raise BadMessage(400, "a length and an encoding are both given")
        if not VALID_TARGET.fullmatch(self._message.target):
            raise BadMessage(400, "the target holds what is not visible ASCII")

    def feed(self, data: bytes) -> list[Message]:
        """The requests that these bytes complete. Raises `BadMessage`; the reader must not be used after
        that."""
        self._feed(self._parser, data)
        completed, self.completed = self.completed, []
        return completed

    def _parser_keeps_alive(self) -> bool:
        return bool(self._parser.should_keep_alive())

    def _read_start_line(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("latin-1")


class ResponseReader(_MessageReader):
    """Parses the responses that are received on one connection; of each body only `kept_body_bytes` are kept,
    where that is given."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, kept_body_bytes: int | None = None) -> None:
        super().__init__(max_body_bytes, kept_body_bytes)
        self._parser = httptools.HttpResponseParser(self)

    def _drop_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(None)

    def feed(self, data: bytes) -> list[Message]:
        """The final responses that these bytes complete; interim ones (1xx) are dropped. Raises
        `BadMessage`."""
        self._feed(self._parser, data)
        completed, self.completed = self.completed, []
        return [message for message in completed if message.status >= 200]

    def message_at_eof(self) -> Message | None:
        """The response that the end of the connection completes: one without a length. None if the response
        was cut short, or if none was being received."""
        message, headers = self._message, self._message.headers
        if (
            not self._started
            or self._in_head
            or "content-length" in headers
            or "transfer-encoding" in headers
        ):
            return None
        message.body, message.keep_alive, self._started = bytes(self._body), False, False
        message.status = self._parser.get_status_code()
        return message

    def _parser_keeps_alive(self) -> bool:
        return bool(self._parser.should_keep_alive())

    def _read_start_line(self, message: Message) -> None:
        message.status = self._parser.get_status_code()


def response(status: int, body: bytes = b"", headers: tuple[str, ...] = (), close: bool = False) -> bytes:
    """A response as bytes. Each of `headers` is a whole line, `Name: value`; with `close` the client is told
    that the connection ends with this response."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Other')}", *headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def request(method: str, target: bytes, headers: tuple[str, ...] = (), body: bytes = b"") -> bytes:
    """A request as bytes. Each of `headers` is a whole line, `Name: value`."""
    head = [method.encode() + b" " + target + b" HTTP/1.1", *(h.encode("latin-1") for h in headers)]
    if body or method == "POST":
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body
