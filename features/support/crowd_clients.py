"""A crowd of clients outside the limits: each sends what its plan says and reads as it says.

All clients share one thread with non-blocking sockets. Nothing is sent to an address other than the
one given, and every client ends with the crowd.
"""

import errno
import itertools
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from features.support.platform_stand_in import CLIENT_PORT, client_fields

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
BODY_BYTES = 4 * MEBIBYTE
"""The limit on bodies that the platform's operators set."""
PIECE = b"x" * (64 * KIBIBYTE)
ENDLESS_BYTES = 3 * BODY_BYTES
"""An endless sender has done what it came for once it has sent so much."""
POLL_S = 0.05
READ_BYTES = 64 * KIBIBYTE
TRICKLE_BYTES = 400
TRICKLE_PERIOD_S = 0.1
"""A slow reader takes ``TRICKLE_BYTES`` each ``TRICKLE_PERIOD_S``, which is 4 KB a second."""

Payload = Callable[[str], Iterator[bytes]]
"""Returns what a client sends, for the id of its request."""


@dataclass(frozen=True)
class Plan:
    """What a client sends, how it reads, and how often it connects again after an end."""

    payload: Payload
    reads: str = "all"
    """``all``, ``slowly`` or ``nothing``."""
    returns: int = 0


def head(request: str, method: str, path: str, framing: str) -> bytes:
    """Return the head of a request; ``framing`` is a line, or empty."""
    fields = client_fields(Request_Id=request)
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    lines += [framing] if framing else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _pieces(total: int) -> Iterator[bytes]:
    for _ in range(total // len(PIECE)):
        yield PIECE
    if total % len(PIECE):
        yield PIECE[: total % len(PIECE)]


def _chunks(total: int, size: int) -> Iterator[bytes]:
    """Yield a chunked body without its end; many small chunks are sent together."""
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    together = max(1, len(PIECE) // len(chunk))
    left = total // size
    while left > 0:
        count = min(left, together)
        left -= count
        yield chunk * count


def announced(path: str, length: int, sent: int, expects: bool = False) -> Payload:
    """Announce a body by its length, and send ``sent`` bytes of it."""
    framing = f"Content-Length: {length}" + ("\r\nExpect: 100-continue" if expects else "")

    def payload(request: str) -> Iterator[bytes]:
        yield head(request, "POST", path, framing)
        yield from _pieces(sent)

    return payload


def chunked(path: str, total: int, size: int, end: bytes = b"") -> Payload:
    """Send a body of ``total`` bytes in chunks of ``size``, then ``end``."""

    def payload(request: str) -> Iterator[bytes]:
        yield head(request, "POST", path, "Transfer-Encoding: chunked")
        yield from _chunks(total, size)
        if end:
            yield end

    return payload


def extended_chunks(path: str, total: int) -> Payload:
    """Send chunks whose extensions are longer than their data, and trailers without end."""

    def payload(request: str) -> Iterator[bytes]:
        yield head(request, "POST", path, "Transfer-Encoding: chunked")
        chunk = b"1;" + b"e=f;" * 64 + b"\r\nx\r\n"
        for _ in range(total // len(chunk)):
            yield chunk
        yield b"0\r\n"
        for number in range(1024):
            yield f"Trailer-{number}: {'t' * 200}\r\n".encode()

    return payload


def asks(path: str, ahead: int = 0) -> Payload:
    """Send a request without a body, and ``ahead`` more bytes before its answer."""

    def payload(request: str) -> Iterator[bytes]:
        yield head(request, "POST", path, "Content-Length: 0")
        yield from _pieces(ahead)

    return payload


def unframed(path: str, total: int) -> Payload:
    """Send a head that announces no body, and one all the same."""

    def payload(request: str) -> Iterator[bytes]:
        yield head(request, "POST", path, "")
        yield from _pieces(total)

    return payload


def half_head(path: str, size: int) -> Payload:
    """Send the beginning of a head of ``size`` bytes; none for 0."""

    def payload(request: str) -> Iterator[bytes]:
        if size:
            begun = f"POST {path} HTTP/1.1\r\nHost: a.example\r\nFiller: "
            yield (begun + "f" * (size - len(begun))).encode()

    return payload


@dataclass
class _Client:
    """One client and its present connection."""

    plan: Plan
    number: int
    returns_left: int
    connection: socket.socket | None = None
    payload: Iterator[bytes] = field(default_factory=lambda: iter(()))
    unsent: bytes = b""
    sent_bytes: int = 0
    attempts: int = 0
    has_sent_all: bool = False
    is_closed: bool = False
    received: bytes = b""
    read_s: float = 0.0
    statuses: list[int] = field(default_factory=list)

    @property
    def settled(self) -> bool:
        """Tell whether the client has done what it came for, once at least."""
        if self.returns_left < self.plan.returns:
            return True
        done = self.has_sent_all or self.sent_bytes >= ENDLESS_BYTES
        return done or self.is_closed or bool(self.received)


class Crowd:
    """Clients of some plans at one address, until ``close``."""

    def __init__(self, ip: str, plans: list[Plan], port: int = CLIENT_PORT) -> None:
        self._address = (ip, port)
        self.clients = [_Client(plan, number, plan.returns) for number, plan in enumerate(plans, 1)]
        self._selector = selectors.DefaultSelector()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def settled(self) -> bool:
        """Tell whether every client has done what it came for, once at least."""
        return all(client.settled for client in self.clients)

    def statuses(self) -> list[int]:
        """Return the status of every answer so far."""
        return list(itertools.chain(*(client.statuses for client in self.clients)))

    def close(self) -> None:
        """End all clients."""
        self._stopped.set()
        self._thread.join(10)

    def _run(self) -> None:
        for client in self.clients:
            self._connect(client)
        while not self._stopped.is_set():
            for key, events in self._selector.select(POLL_S):
                self._serve(key.data, events)
            self._read_slowly()
        for client in self.clients:
            if client.connection is not None:
                client.connection.close()

    def _connect(self, client: _Client) -> None:
        client.attempts += 1
        client.payload = client.plan.payload(f"crowd-{client.number}-{client.attempts}")
        client.unsent, client.received = b"", b""
        client.has_sent_all = client.is_closed = False
        client.connection = connection = socket.socket()
        connection.setblocking(False)
        if connection.connect_ex(self._address) not in (0, errno.EINPROGRESS):
            self._ended(client)
            return
        self._selector.register(connection, selectors.EVENT_WRITE, client)

    def _serve(self, client: _Client, events: int) -> None:
        try:
            if events & selectors.EVENT_WRITE:
                self._send(client)
            if events & selectors.EVENT_READ and client.connection is not None:
                self._read(client, READ_BYTES)
        except OSError:
            self._ended(client)

    def _send(self, client: _Client) -> None:
        assert client.connection is not None
        if not client.unsent:
            client.unsent = next(client.payload, b"")
            client.has_sent_all = not client.unsent
        if client.unsent:
            count = client.connection.send(client.unsent)
            client.sent_bytes += count
            client.unsent = client.unsent[count:]
        wanted = 0 if client.has_sent_all else selectors.EVENT_WRITE
        if client.plan.reads == "all":
            wanted |= selectors.EVENT_READ
        if wanted:
            self._selector.modify(client.connection, wanted, client)
        else:
            self._selector.unregister(client.connection)

    def _read(self, client: _Client, limit: int) -> None:
        assert client.connection is not None
        data = client.connection.recv(limit)
        if not data:
            self._ended(client)
            return
        if not client.received and data.startswith(b"HTTP/1.1 "):
            client.statuses.append(int(data[9:12]))
        client.received = client.received or data

    def _read_slowly(self) -> None:
        now = time.monotonic()
        for client in self.clients:
            due = client.plan.reads == "slowly" and now - client.read_s >= TRICKLE_PERIOD_S
            if not due or client.connection is None or not client.has_sent_all:
                continue
            client.read_s = now
            try:
                self._read(client, TRICKLE_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                self._ended(client)

    def _ended(self, client: _Client) -> None:
        assert client.connection is not None
        if client.connection in self._selector.get_map():
            self._selector.unregister(client.connection)
        client.connection.close()
        client.connection = None
        client.is_closed = True
        if client.returns_left > 0:
            client.returns_left -= 1
            self._connect(client)
