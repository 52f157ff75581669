"""Fingerprints: identify equal requests and prompt parts, at whatever gateway they arrive.

The digest covers the caller's tenant, the host, the method, the path and the body. If a route is
split among several services it also covers the service: a body that crashes the runners of one may
be answered by those of another, which does not clear it for the first. For a route with one service
the service is left out, so that the digest is the same as at nodes of earlier versions. Headers
that change between attempts (ids, deadlines, stream positions) are left out. The digest is
cryptographic, so that a client cannot forge a request with the fingerprint of another caller's.

A prompt part has a fingerprint too, since one part may crash runners whatever else a request holds.
It covers the tenant, the service, the model and the part's id, but neither host nor path: a part
does the same on every route. No tenant can get another one's part held. The last part of a prompt
belongs to the request itself and has none.
"""

from collections.abc import Sequence
from hashlib import blake2b

from rainsail.routing.facts import PromptPart

Fingerprint = bytes
"""``DIGEST_BYTES`` bytes; of a prompt part one byte more, ``_PART_MARK``, before them."""

DIGEST_BYTES = 16
_LENGTH_BYTES = 8
_PURPOSE = b"rainsail.request"
_PART_PURPOSE = b"rainsail.part"
_PART_MARK = b"\x01"
PART_FINGERPRINT_BYTES = len(_PART_MARK) + DIGEST_BYTES
MAX_PARTS = 32
"""Parts of a prompt that get a fingerprint, the first ones; far above the number in use."""


def fingerprint_of(
    tenant: str, host: str, method: bytes, target: bytes, body: bytes, split_service: str = ""
) -> Fingerprint:
    """Return the digest of a request; ``target`` is its path with the query.

    ``split_service`` is empty where the route has one service.
    """
    fields = [tenant.encode(), host.encode(), method, target, body]
    if split_service:
        fields.append(split_service.encode())
    return _digest(_PURPOSE, fields)


def part_fingerprints(
    tenant: str, service: str, model: str, prompt: Sequence[PromptPart]
) -> tuple[Fingerprint, ...]:
    """Return the digests of a prompt's parts, without its last one."""
    owner = [tenant.encode(), service.encode(), model.encode()]
    return tuple(
        _PART_MARK + _digest(_PART_PURPOSE, [*owner, part.part.encode()])
        for part in prompt[:-1][:MAX_PARTS]
    )


def is_of_part(fingerprint: Fingerprint) -> bool:
    """Tell whether a fingerprint is that of a prompt part."""
    return len(fingerprint) == PART_FINGERPRINT_BYTES


def _digest(purpose: bytes, fields: Sequence[bytes]) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES, person=purpose)
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.digest()


def fingerprint_hex(fingerprint: Fingerprint) -> str:
    """Return a fingerprint in hexadecimal digits, as in logs and in the operator API."""
    return fingerprint.hex()
