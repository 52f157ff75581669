"""An unframed answer: its end is reported once the server's process is known to have survived it.

The close of the connection is followed by a wait for the closes of other connections to the same
address, and by probes of the address where no connection tells.
"""

from collections.abc import Callable
from typing import Protocol

from rainsail.http.client import (
    CONNECTION_CLOSED,
    PROCESS_ENDED,
    AnswerHead,
    AnswerListener,
    ClientConnection,
)
from rainsail.http.close_notice import note_close
from rainsail.http.reachability import HeldProbe, Reachability
from rainsail.http.unframed_end import (
    UNFRAMED_END_SETTLE_S,
    Closing,
    OtherConnections,
    ProcessVerdict,
    UnframedEnd,
    judge_probe,
    judge_unframed_end,
)
from rainsail.logs import logger
from rainsail.runtime.clock import Clock, Timer

MILLISECONDS_PER_S = 1000.0
NO_PROBE = "none"


class ServerKnowledge(Protocol):
    """What the pool knows of a server; implemented by the pool."""

    def other_connections(self, address: str, than: ClientConnection) -> OtherConnections:
        """Return what is known of the connections to an address other than ``than``."""
        ...

    def probe(self, address: str, on_result: Callable[[Reachability], None]) -> None:
        """Report whether an address accepts connections."""
        ...

    def hold(self, address: str, on_result: Callable[[Reachability], None]) -> HeldProbe:
        """Report whether an address accepts connections, and hold the one that was opened."""
        ...

    def unframed_end_begun(self, answer: "UnframedAnswer") -> None:
        """The confirmation of an end has begun."""
        ...

    def unframed_end_over(self, answer: "UnframedAnswer") -> None:
        """The confirmation of an end is over."""
        ...


class UnframedAnswer:
    """Implements ``AnswerListener`` for what follows the close of the connection."""

    def __init__(
        self, servers: ServerKnowledge, clock: Clock, address: str, connection: ClientConnection
    ) -> None:
        """Created when the head of the answer has arrived."""
        self._servers = servers
        self._clock = clock
        self._address = address
        self._connection = connection
        self._begun_s = clock.seconds()
        self._end: UnframedEnd | None = None
        self._listener: AnswerListener | None = None
        self._timer: Timer | None = None
        self._held: HeldProbe | None = None
        self._is_probed = False
        self._has_settled = False
        self._reach: Reachability | None = None

    def connection_closed(self, listener: AnswerListener) -> AnswerListener:
        """Return who gets the rest of the answer: its end is passed on when it is confirmed."""
        self._listener = listener
        return self

    # --- AnswerListener ------------------------------------------------------------------

    def answer_begun(self, head: AnswerHead) -> None:
        """Not called: the head arrived before the close."""

    def answer_data(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if self._listener is not None:
            self._listener.answer_data(data)

    def answer_failed(self, reason: str) -> None:
        """Pass the failure on."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.answer_failed(reason)

    def answer_ended(self) -> None:
        """Begin to confirm the end."""
        late = self._connection.is_read_late
        self._end = UnframedEnd(self._begun_s, note_close(self._clock), late)
        self._servers.unframed_end_begun(self)
        self._timer = self._clock.callLater(UNFRAMED_END_SETTLE_S, self._wait_for_poll)
        if not self._others().framed_open:
            self._is_probed = True
            self._held = self._servers.hold(self._address, self._probed)

    # --- confirmation --------------------------------------------------------------------

    def _others(self) -> OtherConnections:
        return self._servers.other_connections(self._address, self._connection)

    def _wait_for_poll(self) -> None:
        """Have the reactor poll its sockets once more: the process may have been suspended."""
        self._timer = self._clock.callLater(0, self._settled)

    def _settled(self) -> None:
        self._timer = None
        self._has_settled = True
        assert self._end is not None
        is_held = self._held is not None and self._held.is_open
        verdict = judge_unframed_end(self._end, self._others(), self._reach, is_held)
        if verdict != ProcessVerdict.UNKNOWN:
            self._finish(verdict)
        elif not self._is_probed:
            self._is_probed = True
            self._servers.probe(self._address, self._probed)

    def _probed(self, reach: Reachability) -> None:
        """Take a result; an early one counts together with what is known later."""
        self._is_probed = False
        if self._listener is None:
            return
        self._reach = reach
        verdict = judge_probe(reach)
        if self._has_settled or (verdict == ProcessVerdict.ENDED and not self._others().open):
            self._finish(verdict)

    def _finish(self, verdict: ProcessVerdict) -> None:
        self._log(verdict)
        listener = self._stop()
        if listener is None:
            return
        if verdict == ProcessVerdict.SURVIVED:
            listener.answer_ended()
        else:
            listener.answer_failed(
                PROCESS_ENDED if verdict == ProcessVerdict.ENDED else CONNECTION_CLOSED
            )

    def _stop(self) -> AnswerListener | None:
        listener, self._listener = self._listener, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._held is not None:
            self._held.close()
        self._servers.unframed_end_over(self)
        return listener

    def give_up(self) -> None:
        """Report the end as not confirmed: the pool stops."""
        self._finish(ProcessVerdict.UNKNOWN)

    def cancel(self) -> None:
        """Report nothing more: the call was cancelled."""
        self._stop()

    def _log(self, verdict: ProcessVerdict) -> None:
        """Write what was known: busy fleets have a line only for what was not told as whole."""
        others = self._others()
        log = logger.bind(
            address=self._address,
            open=others.open,
            idle_closed_ms_ago=self._ms_ago(others.last_s(Closing.IDLE)),
            broken_off_ms_ago=self._ms_ago(others.last_s(Closing.BROKEN_OFF)),
            probe=NO_PROBE if self._reach is None else self._reach.value,
            read_late=self._connection.is_read_late,
            verdict=verdict.value,
        )
        log.log("DEBUG" if verdict == ProcessVerdict.SURVIVED else "INFO", "unframed_end")

    def _ms_ago(self, then_s: float | None) -> int | None:
        if then_s is None:
            return None
        return round((self._clock.seconds() - then_s) * MILLISECONDS_PER_S)
