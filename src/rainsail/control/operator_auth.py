"""Authenticates callers of the operator API: checks bearer tokens against key hashes."""

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass

from rainsail.resources.specs import Kind, TenantSpec
from rainsail.state.interface import ReplicatedReader


@dataclass(frozen=True, slots=True)
class AuthenticatedCaller:
    """A caller's tenant (empty for a fleet operator), and whether it has operator rights."""

    tenant: str
    operator: bool


Authenticator = Callable[[str], AuthenticatedCaller | None]
"""Returns the caller of a bearer token, or None when the token is unknown."""


def key_hash(token: str) -> str:
    """Return the hex SHA-256 of a key, as stored in a TenantSpec."""
    return hashlib.sha256(token.encode()).hexdigest()


class KeyAuthenticator:
    """Checks operator keys from the settings and tenants' keys from the replicated state."""

    def __init__(self, state: ReplicatedReader, operator_key_hashes: tuple[str, ...]) -> None:
        self._state = state
        self._operator_key_hashes = operator_key_hashes

    def __call__(self, token: str) -> AuthenticatedCaller | None:
        """Return the caller with that key, or None."""
        digest = key_hash(token)
        if _contains(self._operator_key_hashes, digest):
            return AuthenticatedCaller("", True)
        for resource in self._state.list_resources(Kind.TENANT):
            spec = resource.spec
            if isinstance(spec, TenantSpec) and _contains(spec.key_hashes, digest):
                return AuthenticatedCaller(resource.key.name, spec.operator)
        return None


def _contains(hashes: tuple[str, ...], digest: str) -> bool:
    return any(hmac.compare_digest(known, digest) for known in hashes)
