"""One request of a client and the answer to it, as handlers see them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from rainsail.http.headers import HeaderFields


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request, including its body.

    ``received_s`` is the clock time at which its first byte had arrived at this machine.
    """

    method: bytes
    target: bytes
    headers: HeaderFields
    body: bytes
    received_s: float

    def without_body(self) -> "HttpRequest":
        """Return the request without its body, to be kept once nothing needs the body."""
        return replace(self, body=b"") if self.body else self


class Exchange(Protocol):
    """The answer to one request; after its end all methods do nothing."""

    request: HttpRequest

    def answer(self, status: int, headers: HeaderFields, body: bytes) -> None:
        """Send a complete answer."""
        ...

    def begin(self, status: int, headers: HeaderFields) -> None:
        """Send the head of an answer whose body follows in pieces."""
        ...

    def write(self, data: bytes) -> None:
        """Send a piece of the body at once."""
        ...

    def end(self) -> None:
        """End the answer as complete."""
        ...

    def abort(self) -> None:
        """Reset the connection, so that the answer does not look complete."""
        ...

    def on_disconnect(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the client closes before the answer has ended."""
        ...

    def on_slow_client(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` with True when the answer should pause, with False when it may go on.

        What is written during a pause is sent all the same.
        """
        ...

    def take_body(self) -> bytes:
        """Return the request's body and drop it from the request, which needs it no more."""
        ...


def watch_client(exchange: Exchange) -> Callable[[], bool]:
    """Return a function that tells whether the client still waits for its answer.

    Call it only after awaiting something else: a close that arrived with the request is read after
    it.
    """
    has_left = False

    def left() -> None:
        nonlocal has_left
        has_left = True

    exchange.on_disconnect(left)
    return lambda: not has_left


Handler = Callable[[Exchange], None]
"""Handles a request; answers it at once or later."""
