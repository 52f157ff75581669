"""The transport of daemons: envelopes over TCP, with mutual TLS when settings name the files.

A process dials the peers whose addresses it knows when it first sends to them, and sends to every
other peer over the connection that this peer opened. The loss of a connection ends the calls on it
at once: NOT_RUN when they were never sent, UNKNOWN otherwise.
"""

from collections.abc import Callable
from random import Random, SystemRandom
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from rainsail.errors import Fault, FaultCode, Outcome, RainsailError
from rainsail.logs import logger
from rainsail.wire.address import PeerAddress, parse_address
from rainsail.wire.calls import UnansweredCalls
from rainsail.wire.connection import PeerConnection
from rainsail.wire.dialler import DialState, QueuedEnvelope
from rainsail.wire.envelope import encode_envelope
from rainsail.wire.extensions import (
    EXTENSION_LEVEL,
    NO_EXTENSIONS,
    announced_level,
    announcement,
)
from rainsail.wire.hello import LinkHello, RoleOf
from rainsail.wire.messenger import Envelope, EnvelopeKind, ProcessName
from rainsail.wire.protocol import PROTOCOL_MODULES, transport_fingerprint
from rainsail.wire.settings import TlsSettings, WireSettings
from rainsail.wire.sockets import Dial, dial, listen

STEP = "wire.tcp"


class TcpTransport:
    """Implements ``rainsail.wire.messenger.Transport`` over TCP."""

    def __init__(
        self,
        name: ProcessName,
        peers: dict[ProcessName, PeerAddress],
        reactor: Any,
        tls: TlsSettings | None = None,
        settings: WireSettings = WireSettings(),
        fleet: str = "",
        random: Random | None = None,
        role_of: RoleOf | None = None,
        protocol_modules: tuple[str, ...] = PROTOCOL_MODULES,
    ) -> None:
        """With ``role_of`` every peer's certificate must name its role; peers must have the same
        schemas of ``protocol_modules``.

        Raises ``RainsailError`` for unusable TLS files, or for a peer off loopback without TLS."""
        self.name = name
        self._peers = dict(peers)
        self._reactor = reactor
        self._settings = settings
        self._random = random or Random(SystemRandom().getrandbits(64))
        self._role_of = role_of
        self._tls_options = _tls_options(name, tls, role_of)
        self._hello = LinkHello(name, fleet, transport_fingerprint(protocol_modules))
        self._announcement = encode_envelope(announcement(name, fleet))
        self._extension_levels: dict[ProcessName, int] = {}
        """The last announcement of each peer; it stays valid while there is no connection."""
        self._unannounced: set[ProcessName] = set()
        """Peers of new connections from which nothing has arrived yet."""
        self._deliver: Callable[[ProcessName, Envelope], None] | None = None
        self._dialled: dict[ProcessName, PeerConnection] = {}
        self._accepted: dict[ProcessName, PeerConnection] = {}
        self._dials: dict[ProcessName, DialState] = {}
        self._connections: dict[PeerConnection, None] = {}
        self._calls = UnansweredCalls()
        self._ports: list[Any] = []
        self._stopped = False
        self._last_envelope: Envelope | None = None
        self._last_data = b""
        for address in self._peers.values():
            self._require_tls_off_loopback(address)
        if tls is None and not settings.plaintext_off_loopback:
            logger.bind(process=name).info("TLS is off: only loopback addresses are used")

    # --- Transport ------------------------------------------------------------------------------

    def listen(self, deliver: Callable[[ProcessName, Envelope], None]) -> None:
        """Set the function that gets every arriving envelope with the name of its sender."""
        self._deliver = deliver

    def send(self, destination: ProcessName, envelope: Envelope) -> Fault | None:
        """Send without waiting; a fault means that nothing was sent."""
        if self._stopped:
            return self._fault(FaultCode.UNAVAILABLE, "the transport has been stopped", destination)
        if destination == self.name:
            self._reactor.callLater(0, self._pass_to_messenger, destination, envelope)
            return None
        data = self._encoded(envelope)
        connection = self._dialled.get(destination) or self._accepted.get(destination)
        call_id = envelope.call_id if envelope.kind == EnvelopeKind.CALL else 0
        if connection is not None:
            return self._send_on(connection, QueuedEnvelope(data, call_id))
        return self._queue_for(destination, QueuedEnvelope(data, call_id))

    def extension_level(self, peer: ProcessName) -> int:
        """Return the highest protocol extension that a peer has announced."""
        if peer == self.name:
            return EXTENSION_LEVEL
        return self._extension_levels.get(peer, NO_EXTENSIONS)

    def _encoded(self, envelope: Envelope) -> bytes:
        """Encode an envelope; one that is sent to many peers in a row is encoded only once."""
        if envelope is not self._last_envelope:
            self._last_envelope = envelope
            self._last_data = encode_envelope(envelope)
        return self._last_data

    # --- lifecycle -------------------------------------------------------------------------------

    def listen_on(self, host: str, port: int) -> "Deferred[Result[int, Fault]]":
        """Listen for peers; fires with the port in use (port 0 picks a free one)."""
        return Deferred.fromCoroutine(self._listen_on(PeerAddress(host, port)))

    async def _listen_on(self, address: PeerAddress) -> Result[int, Fault]:
        try:
            self._require_tls_off_loopback(address)
            port = listen(self._reactor, address, _AcceptingFactory(self), self._tls_options)
        except RainsailError as error:
            return Error(error.fault)
        except Exception as error:
            return Error(self._fault(FaultCode.UNAVAILABLE, f"{address}: {error}", ""))
        self._ports.append(port)
        return Ok(port.getHost().port)

    def set_peer(self, name: ProcessName, address: PeerAddress) -> None:
        """Set the address of a peer; an open connection is kept."""
        self._require_tls_off_loopback(address)
        self._peers[name] = address

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._stopped = True
        ports, self._ports = self._ports, []
        for port in ports:
            await _as_deferred(port.stopListening())
        for connection in list(self._connections):
            connection.close(self._fault(FaultCode.UNAVAILABLE, "stopping", connection.peer))

    # --- ConnectionOwner -------------------------------------------------------------------------

    def connection_opened(self, connection: PeerConnection) -> None:
        """Use an open connection for its peer."""
        peer = connection.peer
        connection.send_envelope(self._announcement)
        self._unannounced.add(peer)
        if connection.was_dialled:
            self._dialled[peer] = connection
            for queued in self._dial_state(peer).opened():
                self._send_queued(connection, queued)
            return
        former = self._accepted.get(peer)
        self._accepted[peer] = connection
        if former is not None:
            former.close(self._fault(FaultCode.UNAVAILABLE, "the peer connected anew", peer))

    def envelope_received(self, peer: ProcessName, envelope: Envelope) -> None:
        """Pass an envelope to the messenger, unless it announces extensions."""
        level = announced_level(envelope)
        if level is not None:
            self._extension_levels[peer] = level
        elif peer in self._unannounced:
            # An announcement comes first, so this peer has been replaced by an earlier version.
            self._extension_levels.pop(peer, None)
        self._unannounced.discard(peer)
        if level is not None:
            return
        if envelope.kind == EnvelopeKind.REPLY:
            self._calls.answered(peer, envelope.call_id)
        self._pass_to_messenger(peer, envelope)

    def connection_closed(self, connection: PeerConnection, fault: Fault) -> None:
        """Remove a connection and end the calls that were sent on it."""
        self._connections.pop(connection, None)
        peer = connection.peer
        for links in (self._dialled, self._accepted):
            if links.get(peer) is connection:
                del links[peer]
        if connection.was_dialled and self._dial_state(peer).dialling:
            self._dial_failed(peer, fault)
        for call_id in self._calls.pop_lost(peer, connection):
            self._end_call(peer, call_id, fault, Outcome.UNKNOWN)
        log = logger.bind(process=self.name, peer=peer)
        refused = fault.code == FaultCode.FORBIDDEN
        log.log("WARNING" if refused else "DEBUG", "connection closed: {}", fault)

    # --- sending --------------------------------------------------------------------------------

    def _send_on(self, connection: PeerConnection, queued: QueuedEnvelope) -> Fault | None:
        fault = connection.send_envelope(queued.data)
        if fault is None and queued.call_id:
            self._calls.sent(connection.peer, queued.call_id, connection)
        return fault

    def _send_queued(self, connection: PeerConnection, queued: QueuedEnvelope) -> None:
        fault = self._send_on(connection, queued)
        if fault is not None and queued.call_id:
            self._end_call(connection.peer, queued.call_id, fault, Outcome.NOT_RUN)

    def _queue_for(self, destination: ProcessName, queued: QueuedEnvelope) -> Fault | None:
        address = self._address_of(destination)
        if address is None:
            return self._fault(FaultCode.UNAVAILABLE, "not connected", destination)
        if len(queued.data) > self._settings.max_frame_bytes:
            detail = f"{len(queued.data)} bytes are over the frame bound"
            return self._fault(FaultCode.TOO_LARGE, detail, destination)
        state = self._dial_state(destination)
        fault = state.refusal(self._reactor.seconds()) or state.enqueue(queued)
        if fault is not None:
            return fault.at(destination)
        if not state.dialling:
            self._dial(destination, address, state)
        return None

    def _address_of(self, destination: ProcessName) -> PeerAddress | None:
        address = self._peers.get(destination)
        if address is not None or not self._settings.names_are_addresses:
            return address
        try:
            return parse_address(destination)
        except ValueError:
            return None

    def _dial_state(self, peer: ProcessName) -> DialState:
        state = self._dials.get(peer)
        if state is None:
            state = self._dials[peer] = DialState(self._random, self._settings)
        return state

    def _dial(self, peer: ProcessName, address: PeerAddress, state: DialState) -> None:
        state.dialling = True
        attempt = Dial(
            lambda: self._new_connection(peer),
            lambda failure: self._connect_failed(failure, peer),
        )
        dial(self._reactor, address, attempt, state.timeout_s, self._tls_options)

    def _connect_failed(self, failure: Failure, peer: ProcessName) -> None:
        detail = failure.getErrorMessage()
        self._dial_failed(peer, self._fault(FaultCode.UNAVAILABLE, detail, peer))

    def _dial_failed(self, peer: ProcessName, fault: Fault) -> None:
        logger.bind(process=self.name, peer=peer, fault=str(fault)).info("peer_unreachable")
        for queued in self._dial_state(peer).failed(self._reactor.seconds()):
            if queued.call_id:
                self._end_call(peer, queued.call_id, fault, Outcome.NOT_RUN)

    def _end_call(self, peer: ProcessName, call_id: int, fault: Fault, outcome: Outcome) -> None:
        """Pass the fault to the messenger as the reply."""
        ended = Fault(FaultCode.UNAVAILABLE, fault.step, fault.detail, peer, outcome)
        self._pass_to_messenger(peer, Envelope(EnvelopeKind.REPLY, call_id, ended))

    def _pass_to_messenger(self, peer: ProcessName, envelope: Envelope) -> None:
        if self._deliver is not None and not self._stopped:
            self._deliver(peer, envelope)

    # --- sockets --------------------------------------------------------------------------------

    def accept_connection(self) -> PeerConnection | None:
        """Return the protocol of an arriving connection; None when there are too many."""
        if len(self._connections) >= self._settings.max_accepted_connections:
            return None
        return self._new_connection(None)

    def _new_connection(self, expected: ProcessName | None) -> PeerConnection:
        tls = self._tls_options is not None
        connection = PeerConnection(
            self, self._reactor, self._hello, self._settings, expected, tls, self._role_of
        )
        self._connections[connection] = None
        return connection

    def _require_tls_off_loopback(self, address: PeerAddress) -> None:
        trusted = self._settings.plaintext_off_loopback or address.is_loopback()
        if self._tls_options is None and not trusted:
            detail = f"{address} is not a loopback address, so TLS must be on"
            raise RainsailError(self._fault(FaultCode.INVALID, detail, ""))

    def _fault(self, code: FaultCode, detail: str, peer: ProcessName) -> Fault:
        return Fault(code, STEP, detail, peer)


class _AcceptingFactory(Factory):
    """Builds the protocol of each accepted connection."""

    noisy = False

    def __init__(self, transport: TcpTransport) -> None:
        self._transport = transport

    def buildProtocol(self, addr: Any) -> PeerConnection | None:
        """Return a connection, or None to have it closed at once."""
        return self._transport.accept_connection()


def _tls_options(name: ProcessName, tls: TlsSettings | None, role_of: RoleOf | None) -> Any:
    if tls is None:
        return None
    # Imported only when used: a node without TLS starts faster and uses less memory.
    from rainsail.wire.tls import certificate_options, own_identity

    own = own_identity(tls)
    if own.name != name:
        detail = f"{tls.certificate_file} certifies {own.name!r}, this process is {name!r}"
        raise RainsailError(Fault(FaultCode.INVALID, STEP, detail))
    if role_of is not None and own.role != role_of(name):
        detail = f"{tls.certificate_file} is of role {own.role!r}, {name!r} is a {role_of(name)}"
        raise RainsailError(Fault(FaultCode.INVALID, STEP, detail))
    return certificate_options(tls)


async def _as_deferred(value: Any) -> None:
    if isinstance(value, Deferred):
        await value
