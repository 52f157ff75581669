"""What tells that two requests are the same one, whoever takes them and under whatever id.

The digest stands for the caller's tenant, the host, the method, the path and the body, and for the
service where a route is split among several: a body that ends the runners of one may be answered by
those of another, which says nothing of the first. Where a route has one service it is left out, so
that nodes of earlier versions mean the same request by the same digest. Headers that
change from try to try (ids, deadlines, positions) are left out. It is cryptographic, so that nobody
can make a request that is taken for another caller's.
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
    """Return a fingerprint as logs and operators write it: in hexadecimal digits."""
    return fingerprint.hex()
