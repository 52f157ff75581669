"""Assigns jobs to replicated groups, each of which stores the ledger of its jobs."""

import xxhash

from rainsail.state.commands import GroupId


def job_id_of(tenant: str, job_key: str) -> str:
    """Return the id of a tenant's job: the same key gives the same id on every gateway."""
    digest = xxhash.xxh3_128_hexdigest(f"{len(tenant)}:{tenant}/{job_key}".encode())
    return f"job-{digest}"


def group_of_job(job_id: str, groups: tuple[GroupId, ...]) -> GroupId:
    """Return the job's group by rendezvous hashing, so that adding a group moves few jobs."""
    return max(groups, key=lambda group: (_rendezvous_weight(job_id, group), group))


def _rendezvous_weight(job_id: str, group: GroupId) -> int:
    return xxhash.xxh3_64_intdigest(job_id.encode(), seed=group)
