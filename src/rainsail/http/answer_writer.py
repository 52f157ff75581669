"""Writes the answers of one server connection, one after the other.

An answer without a length to an HTTP/1.0 client ends with the orderly close of its connection.
Until such an answer has been sent, any other close is a reset, including the kernel's when the
process ends.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h11

from rainsail.budget.client_budget import NO_ROOM
from rainsail.budget.memory import Holding
from rainsail.budget.progress import ProgressMeter
from rainsail.http.answer_flow import AnswerFlow
from rainsail.http.headers import HeaderFields, header_value
from rainsail.http.statuses import REASONS
from rainsail.runtime.sockets import close_in_order, reset_at_close

if TYPE_CHECKING:
    from rainsail.http.server import HttpServer

TAKES_NOTHING = "takes nothing"
CLOSES = (b"Connection", b"close")


class AnswerWriter:
    """Implements the framing of answers; calls ``abort`` for a client that takes nothing."""

    def __init__(
        self,
        server: "HttpServer",
        transport: Any,
        http: h11.Connection,
        holding: Holding,
        abort: Callable[[], None],
    ) -> None:
        self._server = server
        self._transport = transport
        self._http = http
        self._holding = holding
        self._abort = abort
        self._flow: AnswerFlow | None = None
        self.ends_by_close = False
        """An answer that ends with the close of the connection was not sent completely yet."""

    @property
    def meter(self) -> ProgressMeter | None:
        """The client's progress while there are unsent bytes to watch."""
        return None if self._flow is None else self._flow.meter

    @property
    def must_close(self) -> bool:
        """Tell whether the connection closes behind the answer that has been written."""
        return self._http.our_state is h11.MUST_CLOSE

    def send_head(self, status: int, headers: HeaderFields, closes: bool) -> None:
        """Send an answer's head; ``closes`` announces that the connection closes behind it."""
        fields = [*headers, CLOSES] if closes else list(headers)
        reason = REASONS.get(status, b"")
        head = h11.Response(status_code=status, reason=reason, headers=fields)
        if self._has_no_framing(fields):
            self.ends_by_close = True
            reset_at_close(self._transport)
        self._answer_flow().begin()
        self._transport.write(self._http.send(head))

    def _has_no_framing(self, fields: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer has no length and can't be chunked, as in HTTP/1.0."""
        version = self._http.their_http_version or b"1.0"
        return version < b"1.1" and header_value(fields, b"content-length") is None

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        sent = self._http.send(h11.Data(data=data))
        if not sent:
            return
        self._transport.write(sent)
        if not self._answer_flow().written():
            self._server.budget.refused(NO_ROOM, 0, self._holding.held_bytes)
            self._abort()

    def send_end(self) -> None:
        """End the body; raises ``h11.LocalProtocolError`` if it is shorter than announced."""
        sent = self._http.send(h11.EndOfMessage())
        if sent:
            self._transport.write(sent)

    def answer_ended(self) -> None:
        """Stop asking the source of the answer for pauses."""
        self._answer_flow().end()

    def allow_orderly_close(self) -> None:
        """Close in an orderly way: an answer that ends with the close was sent completely."""
        self.ends_by_close = False
        close_in_order(self._transport)

    # --- the client's pace ---------------------------------------------------------------

    def watch(self, paused: Callable[[bool], None]) -> None:
        """Call ``paused`` with True when the client reads too slowly, with False afterwards."""
        flow = self._answer_flow()
        flow.paused = paused
        if flow.is_paused:
            paused(True)

    def has_drained(self) -> bool:
        """Tell whether the client has taken its answers up to the high-water mark."""
        return self._flow is None or self._flow.has_drained()

    def when_drained(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` once the client has taken its answers up to the high-water mark."""
        self._answer_flow().when_drained(listener)

    def close(self) -> None:
        """Stop watching: the connection has ended."""
        if self._flow is not None:
            self._flow.close()

    def _answer_flow(self) -> AnswerFlow:
        if self._flow is None:
            self._flow = AnswerFlow(
                self._transport,
                self._holding,
                self._server.clock,
                lambda: self._server.limits.stall_timeout_s,
                self._stalled,
            )
        return self._flow

    def _stalled(self) -> None:
        self._server.budget.refused(TAKES_NOTHING, 0, self._holding.held_bytes)
        self._abort()
