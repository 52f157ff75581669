"""One request of a client and the answer to it, as handlers see them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rainsail.http.headers import HeaderFields


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request: its body has been read to the end.

    ``received_s`` is the moment of the process's clock at which its head had arrived.
    """

    method: bytes
    target: bytes
    headers: HeaderFields
    body: bytes
    received_s: float


class Exchange(Protocol):
    """The answer's side of one request; every method after the end does nothing."""

    request: HttpRequest

    def answer(self, status: int, headers: HeaderFields, body: bytes) -> None:
        """Send a whole answer."""
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
        """Cut the connection: the answer must not look complete."""
        ...

    def on_disconnect(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the client closes before the answer has ended."""
        ...


def watch_client(exchange: Exchange) -> Callable[[], bool]:
    """Return what tells whether the client still waits for its answer.

    To be asked only after something else was awaited: a close that came with the request is read
    after it.
    """
    has_left = False

    def left() -> None:
        nonlocal has_left
        has_left = True

    exchange.on_disconnect(left)
    return lambda: not has_left


Handler = Callable[[Exchange], None]
"""Takes each request; answers now or later."""
