"""The hello, which identifies a peer and is checked before any other message is accepted."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from rainsail.errors import Fault, FaultCode
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import ProcessName

STEP = "wire.hello"


class ProcessRole(StrEnum):
    """The role that a certificate grants its process."""

    REPLICA = "replica"
    GATEWAY = "gateway"


@dataclass(frozen=True, slots=True)
class CertifiedIdentity:
    """Process name and role in a verified certificate; ``role`` is empty if it names none."""

    name: ProcessName
    role: str


RoleOf = Callable[[ProcessName], ProcessRole]
"""Returns the role that the process of that name has in this fleet."""


@wire_record("LinkHello")
@dataclass(frozen=True, slots=True)
class LinkHello:
    """The first frame of each side."""

    process: ProcessName
    fleet: str
    protocol_fingerprint: int


@wire_record("LinkRefused")
@dataclass(frozen=True, slots=True)
class LinkRefused:
    """Tells the other side why its hello was refused, before the connection is closed."""

    reason: str


def check_hello(
    own: LinkHello,
    other: LinkHello,
    expected: ProcessName | None,
    certified: CertifiedIdentity | None,
    role_of: RoleOf | None = None,
) -> Fault | None:
    """Return why ``other`` is refused, or None when it is accepted.

    ``expected`` is the process that was dialled (None on accepted connections), ``certified``
    the identity in the peer's certificate (None without TLS). With ``role_of`` the certificate
    must also name the role that the process has.
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
    return _certificate_fault(other, certified, role_of) if certified is not None else None


def _certificate_fault(
    other: LinkHello, certified: CertifiedIdentity, role_of: RoleOf | None
) -> Fault | None:
    if other.process != certified.name:
        detail = f"process name is {other.process!r}, certificate is {certified.name!r}'s"
        return _refuse(other, detail)
    if role_of is not None and certified.role != role_of(other.process):
        wanted = role_of(other.process).value
        detail = f"certificate is of role {certified.role!r}, {other.process!r} is a {wanted}"
        return _refuse(other, detail)
    return None


def _refuse(other: LinkHello, detail: str) -> Fault:
    return Fault(FaultCode.FORBIDDEN, STEP, detail, other.process)
