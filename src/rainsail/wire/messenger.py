"""Typed messages between processes: one-way sends and calls with a reply.

``Transport`` is the interface to the network. ``rainsail.wire.tcp.TcpTransport`` carries envelopes
over TCP (with TLS if configured); ``rainsail.simulation.network.SimulatedTransport`` carries them
over a virtual network. Everything above that interface uses ``Messenger``. A message may be lost,
delayed, duplicated or reordered. A call without a reply in time ends with a TIMEOUT fault whose
outcome is UNKNOWN. A fault with NOT_RUN from ``call`` means that the message was certainly never
sent, or that the peer itself reported it as not run.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any, Protocol, TypeVar

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.python.failure import Failure

from rainsail.errors import Fault, FaultCode, Outcome, RainsailError
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_name

ProcessName = str
"""The unique name of a process, for instance ``replica-2`` or ``gateway-a1``."""

TOO_LARGE_LOG_INTERVAL_S = 10.0
"""Minimum interval between two log lines about too large messages of one type to one peer."""
Reply = TypeVar("Reply")
Handler = Callable[[ProcessName, Any], Any]
"""Takes (source, message). For calls: returns a reply record, a Fault, a Result or a Deferred."""


class EnvelopeKind(IntEnum):
    """How the receiver handles an envelope."""

    ONE_WAY = 0
    CALL = 1
    REPLY = 2


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message in transit; ``call_id`` correlates a reply with its call (0 for one-way)."""

    kind: EnvelopeKind
    call_id: int
    message: Any


class Transport(Protocol):
    """Carries envelopes between named processes."""

    name: ProcessName

    def send(self, destination: ProcessName, envelope: Envelope) -> Fault | None:
        """Send without waiting; a fault means that nothing was sent (peer not reachable)."""
        ...

    def listen(self, deliver: Callable[[ProcessName, Envelope], None]) -> None:
        """Set the function that gets every arriving envelope with the name of its sender."""
        ...

    def extension_level(self, peer: ProcessName) -> int:
        """Return the highest protocol extension that a peer has announced (``extensions``)."""
        ...


wire_record("Fault")(Fault)


class Messenger:
    """Sends, calls and serves typed messages over one transport."""

    def __init__(self, transport: Transport, clock: Clock) -> None:
        self.name = transport.name
        self._transport = transport
        self._clock = clock
        self._handlers: dict[type, Handler] = {}
        self._waiting: dict[int, tuple[Deferred[Any], Any, ProcessName]] = {}
        self._next_call_id = 1
        self.too_large = 0
        """Messages that were not sent as they exceed the bound on one message."""
        self._too_large_logged_s: dict[tuple[str, ProcessName], float] = {}
        transport.listen(self._deliver)

    def send_all(
        self, destinations: Iterable[ProcessName], message: Any
    ) -> dict[ProcessName, Fault]:
        """Send one message to many; a transport encodes it once.

        Returns a fault for each destination that nothing was sent to.
        """
        envelope = Envelope(EnvelopeKind.ONE_WAY, 0, message)
        faults: dict[ProcessName, Fault] = {}
        for destination in destinations:
            fault = self._send(destination, envelope)
            if fault is not None:
                faults[destination] = fault
        return faults

    def _send(self, destination: ProcessName, envelope: Envelope) -> Fault | None:
        """Pass an envelope on; one that is too large never arrives, whoever sends it again."""
        fault = self._transport.send(destination, envelope)
        if fault is not None and fault.code == FaultCode.TOO_LARGE:
            self._note_too_large(destination, envelope, fault)
        return fault

    def _note_too_large(self, peer: ProcessName, envelope: Envelope, fault: Fault) -> None:
        self.too_large += 1
        now, name = self._clock.seconds(), wire_name(type(envelope.message))
        logged_s = self._too_large_logged_s.get((name, peer), float("-inf"))
        if now - logged_s >= TOO_LARGE_LOG_INTERVAL_S:
            self._too_large_logged_s[name, peer] = now
            log = logger.bind(message=name, peer=peer, detail=fault.detail)
            log.error("message_too_large")

    def extension_level(self, peer: ProcessName) -> int:
        """Return the highest protocol extension that a peer has announced (``extensions``)."""
        return self._transport.extension_level(peer)

    def serve(self, message_type: type, handler: Handler) -> None:
        """Handle each arriving message of ``message_type``; one handler per type."""
        self._handlers[message_type] = handler

    def send(self, destination: ProcessName, message: Any) -> Fault | None:
        """Send one way; a fault means that nothing was sent."""
        return self._send(destination, Envelope(EnvelopeKind.ONE_WAY, 0, message))

    def call(
        self, destination: ProcessName, message: Any, timeout_s: float
    ) -> "Deferred[Result[Any, Fault]]":
        """Send and wait for the reply; never errbacks."""
        call_id = self._next_call_id
        self._next_call_id += 1
        fault = self._send(destination, Envelope(EnvelopeKind.CALL, call_id, message))
        if fault is not None:
            return succeed(Error(fault))
        done: Deferred[Any] = Deferred()
        step = f"call.{wire_name(type(message))}"
        timer = self._clock.callLater(timeout_s, self._expire, call_id, step, timeout_s)
        self._waiting[call_id] = (done, timer, destination)
        return done

    def _expire(self, call_id: int, step: str, timeout_s: float) -> None:
        done, _, peer = self._waiting.pop(call_id)
        detail = f"no reply within {timeout_s:g} s"
        done.callback(Error(Fault(FaultCode.TIMEOUT, step, detail, peer, Outcome.UNKNOWN)))

    def _deliver(self, source: ProcessName, envelope: Envelope) -> None:
        if envelope.kind == EnvelopeKind.REPLY:
            self._finish_call(source, envelope)
            return
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            if envelope.kind == EnvelopeKind.CALL:
                self._reply(source, envelope.call_id, self._unserved(envelope.message))
            return
        if envelope.kind == EnvelopeKind.ONE_WAY:
            handler(source, envelope.message)
            return
        answer = maybeDeferred(handler, source, envelope.message)
        answer.addErrback(self._handler_failed)
        answer.addCallback(lambda reply: self._reply(source, envelope.call_id, reply))

    def _unserved(self, message: Any) -> Fault:
        """Return the fault for a call that this process does not serve, or not yet.

        The process may still be opening its disk, and the message may be valid. The fault is
        therefore not INVALID: the caller should try another process.
        """
        detail = f"{wire_name(type(message))} is not served here, or not yet"
        return Fault(FaultCode.UNAVAILABLE, "messenger.deliver", detail, self.name, Outcome.NOT_RUN)

    def _handler_failed(self, failure: Failure) -> Fault:
        if isinstance(failure.value, RainsailError):
            return failure.value.fault
        detail = f"{failure.type.__name__ if failure.type else ''}: {failure.value}"
        return Fault(FaultCode.INTERNAL, "messenger.handler", detail, self.name, Outcome.UNKNOWN)

    def _reply(self, destination: ProcessName, call_id: int, reply: Any) -> None:
        if isinstance(reply, Result):
            reply = reply.ok if reply.is_ok() else reply.error
        fault = self._send(destination, Envelope(EnvelopeKind.REPLY, call_id, reply))
        if fault is not None and fault.code == FaultCode.TOO_LARGE:
            unknown = replace(fault, outcome=Outcome.UNKNOWN, peer=self.name)
            self._transport.send(destination, Envelope(EnvelopeKind.REPLY, call_id, unknown))

    def _finish_call(self, source: ProcessName, envelope: Envelope) -> None:
        waiting = self._waiting.pop(envelope.call_id, None)
        if waiting is None:
            return
        done, timer, peer = waiting
        if peer != source:
            self._waiting[envelope.call_id] = waiting
            return
        timer.cancel()
        message = envelope.message
        if isinstance(message, Fault):
            done.callback(Error(message if message.peer else message.at(source)))
        else:
            done.callback(Ok(message))
