"""Settings of the control plane: leases, long polls, retries, quotas and the operator API."""

from pydantic import BaseModel, ConfigDict, Field


class ControlSettings(BaseModel):
    """Periods in seconds, sizes in bytes, and counts; the same in every process of a fleet."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    replicas_per_group: int = Field(
        5,
        ge=1,
        description="Number of replicas in each replicated group; all when there are fewer.",
    )
    config_lease_s: float = Field(
        8.0,
        gt=0,
        description="How long a gateway may serve after it sent its last answered poll.",
    )
    clock_rate_margin: float = Field(
        0.01,
        ge=0,
        lt=1,
        description="Largest relative difference in rate between two machines' clocks.",
    )
    poll_wait_s: float = Field(
        2.0,
        gt=0,
        description="How long the leader holds a poll without new events; less than the lease.",
    )
    poll_grace_s: float = Field(
        0.5, gt=0, description="How long after the poll's wait a gateway still waits for the reply."
    )
    poll_coalesce_s: float = Field(
        0.02, ge=0, description="How long changes are batched before parked polls are answered."
    )
    max_events_per_poll: int = Field(
        256, gt=0, description="Maximum number of events in one poll's reply."
    )
    list_page_resources: int = Field(
        500, gt=0, description="Maximum number of resources in one page of a gateway's first list."
    )
    in_force_period_s: float = Field(
        0.1, gt=0, description="Minimum time between two MarkInForce commands of a leader."
    )
    item_lease_s: float = Field(
        10.0, gt=0, description="How long a holder keeps its batch item leases without a renewal."
    )
    item_lease_renewal_period_s: float = Field(
        2.5, gt=0, description="Ignored; `batch.lease_renewal_period_s` is used instead."
    )
    item_lease_check_period_s: float = Field(
        0.5, gt=0, description="How often the leader checks for expired batch item leases."
    )
    quota_share_s: float = Field(
        4.0, gt=0, description="How long a gateway's share of a tenant's token rate is valid."
    )
    quota_reserve_fraction: float = Field(
        0.2,
        gt=0,
        lt=1,
        description="Fraction of each tenant's rate reserved for gateways' minimum shares.",
    )
    attempt_timeout_s: float = Field(
        1.0, gt=0, description="Timeout of one attempt of a request to a replica."
    )
    backoff_first_s: float = Field(0.05, gt=0, description="First retry delay.")
    backoff_limit_s: float = Field(0.4, gt=0, description="Longest retry delay.")
    request_timeout_s: float = Field(
        10.0,
        gt=0,
        description="Total time that the operator API spends on one request to the leader.",
    )
    max_body_bytes: int = Field(
        32 * 1024 * 1024, gt=0, description="Largest request body of the operator API."
    )
    max_list_rows: int = Field(
        1000, gt=0, description="Maximum number of rows in one page of results."
    )
    watch_buffer_events: int = Field(
        1000,
        gt=0,
        description="Maximum number of events pending for one watcher before it is disconnected.",
    )
    watch_bookmark_period_s: float = Field(
        5.0, gt=0, description="How often a watch gets a bookmark."
    )
    watch_drain_s: float = Field(
        2.0,
        gt=0,
        description="How long a disconnected watcher may take to read the final error line.",
    )
    operator_key_hashes: tuple[str, ...] = Field(
        (), description="Hex SHA-256 of operator keys that are valid before any Tenant exists."
    )
