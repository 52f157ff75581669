"""Clients on in-memory connections; their parsing is independent of the gateway's code."""

from collections.abc import Callable

import h11
from features.support.relay_soak.history import ClientRequest, Outcome
from features.support.relay_soak.runner import CLIENT_HAS
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from rainsail.simulation.clock import VirtualClock

HOST = b"a.example"


class SoakClient(Protocol):
    """One connection: sends its requests one after the other and records the answers."""

    def __init__(
        self,
        clock: VirtualClock,
        requests: list[ClientRequest],
        begun: Callable[[ClientRequest], None],
    ) -> None:
        """``begun`` is called with each request as it is sent."""
        self._clock = clock
        self._waiting = requests
        self._begun = begun
        self._current: ClientRequest | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._framed = False
        self._is_lost = False

    def connectionMade(self) -> None:
        """Send the first request."""
        self._send_next()

    def _send_next(self) -> None:
        if not self._waiting or self._is_lost:
            self.transport.loseConnection()
            return
        self._current = current = self._waiting.pop(0)
        current.sent_s = self._clock.seconds()
        self._begun(current)
        body = b"asked"
        fields = [
            (b"Host", HOST),
            (b"Rainsail-Request", current.request.encode()),
            (b"Rainsail-Deadline-S", f"{current.timeout_s:g}".encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        if current.after_event is not None:
            after = str(current.after_event).encode()
            fields += [(b"Last-Event-ID", after), (CLIENT_HAS, after)]
        target = f"/{current.kind}/{current.request}".encode()
        head = h11.Request(method=b"POST", target=target, headers=fields)
        parts = [head, h11.Data(data=body), h11.EndOfMessage()]
        self.transport.write(b"".join(self._http.send(part) or b"" for part in parts))

    def leave(self, request: ClientRequest) -> None:
        """Close the connection if the request still waits for its answer."""
        if self._current is request:
            self._end(Outcome.LEFT)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer; surplus bytes are recorded with the request before."""
        try:
            self._http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError:
            self._end(Outcome.CUT)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Record an unfinished answer as cut."""
        self._is_lost = True
        self._end(Outcome.CUT)

    def _read(self) -> None:
        while self._current is not None:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self._current.status = event.status_code
                names = {name for name, _ in event.headers}
                self._framed = bool(names & {b"content-length", b"transfer-encoding"})
            elif isinstance(event, h11.Data):
                self._current.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()
            else:
                return

    def _take_end(self) -> None:
        """Record the end of an answer, and send the next request if the connection allows it."""
        assert self._current is not None
        self._current.surplus = self._http.trailing_data[0]
        self._end(Outcome.COMPLETE if self._framed else Outcome.CUT)
        if self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._http.start_next_cycle()
            self._clock.callLater(0, self._send_next)
        else:
            self.transport.loseConnection()

    def _end(self, outcome: Outcome) -> None:
        current, self._current = self._current, None
        if current is not None:
            current.outcome = outcome
            current.ended_s = self._clock.seconds()
