"""Decides at which software version a client's stream continues. Pure.

A client names the attempt that brought the first event of its stream. The stream continues only at
the service and version that sent that event. If that is not known, it continues only where the
route has had one service lately, and all its runners that the gateway remembers have the same
version.
"""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.relay.origin_client import FoundOrigin
from rainsail.relay.protocol import RequestFacts
from rainsail.tenancy.tenants import Identity

UNKNOWN_ORIGIN = "the software version that began the stream is not known"
NO_OTHER_RUNNER = "no other runner of the software version that began the stream may get it"
NAME_BYTES = 16
_LENGTH_BYTES = 8
_PURPOSE = b"rainsail.stream"


@dataclass(frozen=True, slots=True)
class LostStream:
    """The stream can't continue; ``is_certain``: nor at another gateway or a little later."""

    reason: str
    is_certain: bool


def stream_name(facts: RequestFacts, identity: Identity, request: str) -> str:
    """Return the name under which nodes know a stream that the attempt ``request`` began.

    A digest, since clients choose the ids of attempts: other tenants and hosts may use the same
    ones, and long ones would take the nodes' memory.
    """
    digest = blake2b(digest_size=NAME_BYTES, person=_PURPOSE)
    for part in (identity.tenant, facts.host.lower(), request):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part.encode())
    return digest.hexdigest()


def decide_origin(
    found: FoundOrigin,
    services: frozenset[str],
    sole_version: Callable[[str], str | None],
    lacks_versions: Callable[[str], bool],
) -> StreamOrigin | LostStream:
    """Return where a stream continues.

    ``services`` are those at which a stream of its route may have begun. ``sole_version`` returns
    the version of all runners of a service, if they have the same one; ``lacks_versions`` tells
    whether some of them are about to say theirs.
    """
    if found.origin is not None:
        return found.origin
    implied = implied_origin(services, sole_version)
    if found.is_certain and implied is not None:
        return implied
    is_settled = not any(map(lacks_versions, services))
    return LostStream(UNKNOWN_ORIGIN, found.is_certain and is_settled)


def implied_origin(
    services: frozenset[str], sole_version: Callable[[str], str | None]
) -> StreamOrigin | None:
    """Return the only origin that a stream can have, None if there may be several.

    ``services`` are those at which it may have begun.
    """
    if len(services) != 1:
        return None
    (service,) = services
    version = sole_version(service)
    return None if version is None else StreamOrigin(service, version)
