"""What a client connection asks of its owner, the pool."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from rainsail.http.client import AnswerListener, ClientConnection


class UnframedAnswerEnd(Protocol):
    """Confirms the end of an unframed answer; implemented by ``UnframedAnswer``."""

    def connection_closed(self, listener: "AnswerListener") -> "AnswerListener":
        """Return who gets the rest of the answer instead of ``listener``."""
        ...

    def cancel(self) -> None:
        """Report nothing more."""
        ...


class ClientConnectionOwner(Protocol):
    """Receives the state changes of a connection; implemented by the pool."""

    def connection_idle(self, connection: "ClientConnection", idle_s: float | None) -> None:
        """The connection may be reused; the server keeps it open for ``idle_s`` if it says so."""
        ...

    def late_bytes(self, connection: "ClientConnection", data: bytes) -> None:
        """Bytes have come without a request; the connection is about to be closed."""
        ...

    def connection_closed(self, connection: "ClientConnection") -> None:
        """The connection has closed."""
        ...

    def unframed_answer_begun(self, connection: "ClientConnection") -> UnframedAnswerEnd:
        """The head of an answer has arrived that will end with the connection."""
        ...
