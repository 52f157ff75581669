"""Ids of jobs: a client's id holds within its tenant, the scoped id within the whole ledger."""

TENANT_SEPARATOR = "\t"
"""Stands between tenant and id: no tenant's name has a tab."""


def scoped_id(tenant: str, job: str) -> str:
    """Return the id of a tenant's job within the whole ledger."""
    return f"{tenant}{TENANT_SEPARATOR}{job}" if tenant else job


def client_id(tenant: str, scoped: str) -> str:
    """Return what the client calls a job, for logs and tools."""
    return scoped.removeprefix(scoped_id(tenant, "")) if tenant else scoped
