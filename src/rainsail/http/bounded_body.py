"""Reads the bodies of Twisted's responses up to a size, whether they announce it or not.

A body with neither a length nor chunks ends with its connection. Twisted doesn't tell whether that
was closed or reset, so what has come may be a part of the body.
"""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss


class BodyTooLargeError(Exception):
    """The body exceeds the size up to which it is read."""


class UnframedBodyError(Exception):
    """Nothing but the end of the connection marked the end of the body."""


def read_body(response: Any, max_bytes: int, must_be_framed: bool = False) -> "Deferred[bytes]":
    """Read a response's body; cancelling closes its connection.

    ``must_be_framed`` refuses a body that only the end of the connection ends. A reader that
    doesn't has to notice by the content that a part is missing, as JSON objects and arrays show.

    Errors: ``BodyTooLargeError``, ``UnframedBodyError``, or what ended the connection before the
    end of the body.
    """
    body = _Body(max_bytes, must_be_framed)
    length = response.length
    if isinstance(length, int) and length > max_bytes:
        body.refuse(f"{length} bytes are announced")
    response.deliverBody(body)
    return body.done


class _Body(Protocol):
    transport: Any

    def __init__(self, max_bytes: int, must_be_framed: bool) -> None:
        self._max_bytes = max_bytes
        self._must_be_framed = must_be_framed
        self._received = bytearray()
        self._refused = ""
        self._is_over = False
        self.done: Deferred[bytes] = Deferred(lambda _: self._close())

    def refuse(self, detail: str) -> None:
        """Take nothing of the body, and close its connection."""
        self._refused = detail
        self._received.clear()

    def connectionMade(self) -> None:
        """Close the connection if its body is too large already."""
        if self._refused:
            self._fail()

    def dataReceived(self, data: bytes) -> None:
        """Append a piece of the body."""
        if self._is_over:
            return
        self._received += data
        if len(self._received) > self._max_bytes:
            self.refuse(f"more than {self._max_bytes} bytes")
            self._fail()

    def connectionLost(self, reason: Failure = Failure(ResponseDone())) -> None:
        """Report the body, or why it is not complete."""
        if self._is_over:
            return
        self._is_over = True
        if reason.check(PotentialDataLoss) and self._must_be_framed:
            self.done.errback(
                Failure(UnframedBodyError("the body has neither a length nor chunks"))
            )
        elif reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(bytes(self._received))
        else:
            self.done.errback(reason)

    def _fail(self) -> None:
        self._is_over = True
        self._close()
        self.done.errback(Failure(BodyTooLargeError(self._refused)))

    def _close(self) -> None:
        self._is_over = True
        if self.transport is not None:
            self.transport.loseConnection()
