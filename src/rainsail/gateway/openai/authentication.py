"""Bearer API keys of callers, checked against the tenants' key hashes."""

import hashlib

from expression import Error, Ok, Result

from rainsail.control.interface import ConfigReader
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec, WatchEvent

_STEP = "caller_api.authentication"
_SCHEME = "bearer "


def hash_key(key: str) -> str:
    """Return the hex SHA-256 of an API key, as tenants store it."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str | None:
    """Return the key in an Authorization header; None when it holds none."""
    if authorization is None or not authorization.lower().startswith(_SCHEME):
        return None
    return authorization[len(_SCHEME) :].strip()


class Authenticator:
    """Maps API keys to tenants; updates itself when the configuration changes."""

    def __init__(self, config: ConfigReader) -> None:
        self._config = config
        self._tenants: dict[str, str] | None = None
        config.on_event(self._changed)

    def _changed(self, event: WatchEvent) -> None:
        if event.resource.key.kind is Kind.TENANT:
            self._tenants = None

    def tenant(self, authorization: str | None) -> Result[str, Fault]:
        """Return the name of the tenant whose key is in the Authorization header."""
        if not self._config.ready():
            detail = "no configuration has been read yet"
            return Error(Fault(FaultCode.UNAVAILABLE, _STEP, detail, retry_after_s=1.0))
        key = bearer_key(authorization)
        if key is None:
            return Error(Fault(FaultCode.UNAUTHENTICATED, _STEP, "no bearer API key"))
        name = self._index().get(hash_key(key))
        if name is None:
            return Error(Fault(FaultCode.UNAUTHENTICATED, _STEP, "unknown API key"))
        return Ok(name)

    def is_operator(self, tenant: str) -> bool:
        """Return whether a tenant's keys also have operator rights."""
        resource = self._config.get(ResourceKey(Kind.TENANT, tenant))
        spec = None if resource is None else resource.spec
        return isinstance(spec, TenantSpec) and spec.operator

    def _index(self) -> dict[str, str]:
        if self._tenants is None:
            self._tenants = {
                key_hash: resource.key.name
                for resource in self._config.list_resources(Kind.TENANT)
                if isinstance(resource.spec, TenantSpec)
                for key_hash in resource.spec.key_hashes
            }
        return self._tenants
