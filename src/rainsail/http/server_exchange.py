"""One request on a server's connection, and its answer."""

from collections.abc import Callable
from typing import Protocol

import h11

from rainsail.http.exchange import HttpRequest
from rainsail.http.headers import HeaderFields
from rainsail.http.statuses import STATUS_GATEWAY_TIMEOUT, is_final_status
from rainsail.logs import logger


class AnswerConnection(Protocol):
    """The interface of a server's connection to its exchanges."""

    def send_head(self, status: int, headers: HeaderFields) -> None:
        """Send an answer's head."""
        ...

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        ...

    def send_end(self) -> None:
        """End the answer; raises ``h11.LocalProtocolError`` if it is shorter than announced."""
        ...

    def abort(self) -> None:
        """Reset the connection."""
        ...

    def watch_flow(self, paused: Callable[[bool], None]) -> None:
        """Call ``paused`` with True when the client reads too slowly, with False afterwards."""
        ...


class ServerExchange:
    """Implements ``rainsail.http.exchange.Exchange`` on a connection."""

    def __init__(self, connection: AnswerConnection, request: HttpRequest) -> None:
        self.request = request
        self._connection = connection
        self._begun = False
        self._over = False
        self._listener: Callable[[], None] | None = None

    def answer(self, status: int, headers: HeaderFields, body: bytes) -> None:
        """Send a complete answer."""
        if self._over or self._begun:
            return
        fields = tuple(each for each in headers if each[0].lower() != b"content-length")
        length = (b"Content-Length", str(len(body)).encode())
        self.begin(status, (*fields, length))
        if body and self.request.method != b"HEAD":
            self.write(body)
        self.end()

    def begin(self, status: int, headers: HeaderFields) -> None:
        """Send the head of an answer whose body follows in pieces.

        Instead of a status that no final answer may have the connection is reset.
        """
        if self._over or self._begun:
            return
        if not is_final_status(status):
            target = self.request.target.decode("latin-1")
            logger.bind(status=status, target=target).error("answer_status_invalid")
            self.abort()
            return
        self._begun = True
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a piece of the body at once."""
        if self._begun and not self._over and data:
            self._connection.send_data(data)

    def end(self) -> None:
        """End the answer as complete; if it is shorter than announced, reset the connection."""
        if self._over or not self._begun:
            return
        self._over = True
        try:
            self._connection.send_end()
        except h11.LocalProtocolError:
            self._connection.abort()

    def abort(self) -> None:
        """Reset the connection."""
        if not self._over:
            self._over = True
            self._connection.abort()

    def on_disconnect(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the client closes before the answer has ended."""
        self._listener = listener

    def on_slow_client(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` with True when the answer should pause, with False when it may go on.

        What is written during a pause is sent all the same.
        """
        if not self._over:
            self._connection.watch_flow(listener)

    def take_body(self) -> bytes:
        """Return the request's body and drop it from the request, which needs it no more."""
        body = self.request.body
        self.drop_body()
        return body

    def drop_body(self) -> None:
        """Drop the request's body: the request is over, or needs it no more."""
        self.request = self.request.without_body()

    def end_unfinished(self) -> None:
        """End the request at the end of a planned stop, and notify the listener.

        Its handler may have acted on it or not, so the status promises nothing. An answer that has
        begun must not look complete.
        """
        if self._over:
            return
        if self._begun:
            self.abort()
        else:
            self.answer(STATUS_GATEWAY_TIMEOUT, (), b"")
        if self._listener is not None:
            self._listener()

    def connection_lost(self) -> None:
        """Notify the listener that the client has disconnected."""
        self.drop_body()
        if self._over:
            return
        self._over = True
        if self._listener is not None:
            self._listener()
