"""The hello: who speaks on a connection, checked before any other message is taken."""

from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import ProcessName

STEP = "wire.hello"


@wire_record
@dataclass(frozen=True, slots=True)
class LinkHello:
    """The first frame of each side."""

    process: ProcessName
    fleet: str
    protocol_fingerprint: int


@wire_record
@dataclass(frozen=True, slots=True)
class LinkRefused:
    """Tells the other side why its hello was refused, before the connection is closed."""

    reason: str


def check_hello(
    own: LinkHello, other: LinkHello, expected: ProcessName | None, certified: ProcessName | None
) -> Fault | None:
    """Return why ``other`` is refused, or None when it is welcome.

    ``expected`` is the process that was dialled (None on accepted connections), ``certified``
    the common name of the peer's certificate (None without TLS).
    """
    if other.fleet != own.fleet:
        return _refuse(other, f"fleet is {other.fleet!r}, expected {own.fleet!r}")
    if other.protocol_fingerprint != own.protocol_fingerprint:
        return _refuse(
            other,
            f"protocol fingerprint is {other.protocol_fingerprint:#010x}, "
            f"expected {own.protocol_fingerprint:#010x}: both ends must run the same version",
        )
    if not other.process or other.process == own.process:
        return _refuse(other, f"process name {other.process!r} cannot be a peer's")
    if expected is not None and other.process != expected:
        return _refuse(other, f"process name is {other.process!r}, dialled {expected!r}")
    if certified is not None and other.process != certified:
        return _refuse(other, f"process name is {other.process!r}, certificate is {certified!r}'s")
    return None


def _refuse(other: LinkHello, detail: str) -> Fault:
    return Fault(FaultCode.FORBIDDEN, STEP, detail, other.process)
