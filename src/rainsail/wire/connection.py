"""A connection to a peer: first the hellos, then envelopes, and keepalive frames when idle."""

from typing import Any, Protocol

from twisted.python.failure import Failure

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.sockets import set_user_timeout
from rainsail.wire.codec import CodecError, decode, encode
from rainsail.wire.envelope import decode_envelope
from rainsail.wire.framing import FramedConnection
from rainsail.wire.hello import CertifiedIdentity, LinkHello, LinkRefused, RoleOf, check_hello
from rainsail.wire.messenger import Envelope, ProcessName
from rainsail.wire.names import wire_name
from rainsail.wire.settings import WireSettings

STEP = "wire.connection"
KEEPALIVE_FRAME = b""
REFUSAL_FLUSH_S = 1.0
"""Time for a refusal to be sent before the connection is aborted."""


class ConnectionOwner(Protocol):
    """The events that a connection reports to the transport that owns it."""

    def connection_opened(self, connection: "PeerConnection") -> None:
        """The hellos have been exchanged; ``connection.peer`` names the other side."""
        ...

    def envelope_received(self, peer: ProcessName, envelope: Envelope) -> None:
        """An envelope arrived on an open connection."""
        ...

    def connection_closed(self, connection: "PeerConnection", fault: Fault) -> None:
        """The connection has ended; called exactly once, even if it never opened."""
        ...


class PeerConnection(FramedConnection):
    """Exchanges hellos, then carries envelopes.

    ``expected`` names the dialled process. It is None on accepted connections, which send their
    hello only after they have accepted the peer's.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        clock: Any,
        hello: LinkHello,
        settings: WireSettings,
        expected: ProcessName | None,
        tls: bool,
        role_of: RoleOf | None = None,
    ) -> None:
        super().__init__(settings.max_frame_bytes, settings.outgoing_buffer_bytes)
        self.peer: ProcessName = expected or ""
        self.is_open = False
        self._owner = owner
        self._clock = clock
        self._hello = hello
        self._settings = settings
        self._expected = expected
        self._tls = tls
        self._role_of = role_of
        self._fault: Fault | None = None
        self._ended = False
        self._remote = ""
        self._timer: Any = None
        self._sent_s = 0.0
        self._received_s = 0.0

    @property
    def was_dialled(self) -> bool:
        """Tell whether this side opened the connection."""
        return self._expected is not None

    # --- Twisted's callbacks ---------------------------------------------------------------

    def connectionMade(self) -> None:
        """Start the exchange of hellos."""
        super().connectionMade()
        self._remote = str(getattr(self.transport.getPeer(), "host", ""))
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        set_user_timeout(self.transport, self._settings.user_timeout_s)
        self._sent_s = self._received_s = self._clock.seconds()
        self._timer = self._clock.callLater(self._settings.hello_timeout_s, self._hello_timed_out)
        if self._expected is not None:
            self.send_frame(encode(self._hello))

    def dataReceived(self, data: bytes) -> None:
        """Record that the peer is alive and process the frames in ``data``."""
        if self._ended:
            return
        self._received_s = self._clock.seconds()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Handle one frame: a hello, a keepalive or an envelope."""
        if self._ended:
            return
        if not self.is_open:
            self._handle_hello(string)
        elif string != KEEPALIVE_FRAME:
            self._handle_envelope(string)

    def lengthLimitExceeded(self, length: int) -> None:
        """Close the connection at the length prefix of an oversized frame, without buffering it."""
        self.close(self._invalid(FaultCode.TOO_LARGE, f"frame of {length} bytes announced"))

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Report the end of the connection to the owner."""
        self._ended = True
        self.is_open = False
        self._cancel_timer()
        self.stopProducing()
        self._owner.connection_closed(self, self._fault or self._loss(reason))

    def _loss(self, reason: Failure | None) -> Fault:
        """Return why the connection was lost; a peer without a name is given by its address."""
        peer = self.peer or self._remote
        if reason is None:
            return Fault(FaultCode.UNAVAILABLE, STEP, "closed", peer)
        refused = _handshake_fault(reason, peer) if self._tls else None
        return refused or Fault(FaultCode.UNAVAILABLE, STEP, reason.getErrorMessage(), peer)

    # --- the transport's calls ---------------------------------------------------------------

    def send_envelope(self, data: bytes) -> Fault | None:
        """Send an encoded envelope; a fault means that it was not sent."""
        fault = self.send_frame(data)
        if fault is not None:
            return fault.at(self.peer)
        self._sent_s = self._clock.seconds()
        return None

    def close(self, fault: Fault) -> None:
        """Close at once because of ``fault``; data that is not written yet is dropped."""
        if self._fault is None:
            self._fault = fault
        self._ended = True
        self.is_open = False
        self.transport.abortConnection()

    # --- the hello ----------------------------------------------------------------------------

    def _handle_hello(self, frame: bytes) -> None:
        try:
            message = decode(frame)
        except CodecError as error:
            self.close(self._invalid(FaultCode.INVALID, f"no hello: {error}"))
            return
        if isinstance(message, LinkRefused):
            self.close(self._invalid(FaultCode.FORBIDDEN, f"refused by the peer: {message.reason}"))
        elif isinstance(message, LinkHello):
            self._validate_hello(message)
        else:
            name = wire_name(type(message))
            self.close(self._invalid(FaultCode.FORBIDDEN, f"{name} arrived before the hello"))

    def _validate_hello(self, other: LinkHello) -> None:
        proof = _peer_identity(self.transport) if self._tls else None
        fault = check_hello(self._hello, other, self._expected, proof, self._role_of)
        if fault is not None:
            self._refuse(fault)
            return
        if self._expected is None:
            self.send_frame(encode(self._hello))
        self.peer = other.process
        self.is_open = True
        self.accept_large_frames()
        self._cancel_timer()
        self._check_liveness()
        self._owner.connection_opened(self)

    def _refuse(self, fault: Fault) -> None:
        """Send the peer the reason, then close."""
        self._fault = fault
        self._ended = True
        self._cancel_timer()
        self.send_frame(encode(LinkRefused(fault.detail)))
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._timer = self._clock.callLater(REFUSAL_FLUSH_S, self.transport.abortConnection)

    def _hello_timed_out(self) -> None:
        self._timer = None
        detail = f"no hello within {self._settings.hello_timeout_s:g} s"
        self.close(self._invalid(FaultCode.TIMEOUT, detail))

    # --- envelopes and keepalive -------------------------------------------------------------

    def _handle_envelope(self, frame: bytes) -> None:
        try:
            envelope = decode_envelope(frame)
        except CodecError as error:
            self.close(self._invalid(FaultCode.INVALID, str(error)))
            return
        self._owner.envelope_received(self.peer, envelope)

    def _check_liveness(self) -> None:
        """Send a keepalive if the connection is idle, close it if the peer is silent."""
        now_s = self._clock.seconds()
        silent_s = now_s - self._received_s
        if silent_s >= self._settings.dead_peer_timeout_s:
            self._timer = None
            detail = f"silent for {silent_s:.1f} s"
            self.close(self._invalid(FaultCode.UNAVAILABLE, detail))
            return
        if now_s - self._sent_s >= self._settings.keepalive_period_s:
            self.send_envelope(KEEPALIVE_FRAME)
        self._timer = self._clock.callLater(self._settings.keepalive_period_s, self._check_liveness)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _invalid(self, code: FaultCode, detail: str) -> Fault:
        return Fault(code, STEP, detail, self.peer)


def _handshake_fault(reason: Failure, peer: str) -> Fault | None:
    """Import TLS only when it is used: a node without it starts faster and uses less memory."""
    from rainsail.wire.tls import handshake_fault

    return handshake_fault(reason, peer)


def _peer_identity(transport: Any) -> CertifiedIdentity:
    from rainsail.wire.tls import peer_identity

    return peer_identity(transport)
