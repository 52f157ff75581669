"""Job ids: the client's id is unique within its tenant, the scoped id within the whole ledger."""

TENANT_SEPARATOR = "\t"
"""Separates tenant and id; tenant names contain no tab."""


def scoped_id(tenant: str, job: str) -> str:
    """Return the ledger-wide id of a tenant's job."""
    return f"{tenant}{TENANT_SEPARATOR}{job}" if tenant else job


def client_id(tenant: str, scoped: str) -> str:
    """Return the client's id of a job, for logs and tools."""
    return scoped.removeprefix(scoped_id(tenant, "")) if tenant else scoped
