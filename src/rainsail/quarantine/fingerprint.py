"""Request fingerprints: identify equal requests, at whatever gateway and with whatever id.

The digest covers the caller's tenant, the host, the method, the path and the body. If a route is
split among several services it also covers the service: a body that crashes the runners of one may
be answered by those of another, which does not clear it for the first. For a route with one service
the service is left out, so that the digest is the same as at nodes of earlier versions. Headers
that change between attempts (ids, deadlines, stream positions) are left out. The digest is
cryptographic, so that a client cannot forge a request with the fingerprint of another caller's.
"""

from hashlib import blake2b

Fingerprint = bytes
"""``DIGEST_BYTES`` bytes."""

DIGEST_BYTES = 16
_LENGTH_BYTES = 8
_PURPOSE = b"rainsail.request"


def fingerprint_of(
    tenant: str, host: str, method: bytes, target: bytes, body: bytes, split_service: str = ""
) -> Fingerprint:
    """Return the digest of a request; ``target`` is its path with the query.

    ``split_service`` is empty where the route has one service.
    """
    digest = blake2b(digest_size=DIGEST_BYTES, person=_PURPOSE)
    parts = [tenant.encode(), host.encode(), method, target, body]
    if split_service:
        parts.append(split_service.encode())
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def fingerprint_hex(fingerprint: Fingerprint) -> str:
    """Return a fingerprint in hexadecimal digits, as in logs and in the operator API."""
    return fingerprint.hex()
