"""Settings of control: leases, long polls, retries, quotas and the operator API."""

from pydantic import BaseModel, ConfigDict, Field


class ControlSettings(BaseModel):
    """Periods in seconds, sizes in bytes or counts; the same in every process of a fleet."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    replicas_per_group: int = Field(
        5, ge=1, description="Replicas that keep each replicated group; all when there are fewer."
    )
    config_lease_s: float = Field(
        8.0, gt=0, description="How long a gateway may serve after it sent its last answered poll."
    )
    clock_rate_margin: float = Field(
        0.01, ge=0, lt=1, description="Largest difference in rate between two machines' clocks."
    )
    poll_wait_s: float = Field(
        2.0, gt=0, description="How long the leader holds a poll without news; under the lease."
    )
    poll_grace_s: float = Field(
        0.5, gt=0, description="How long past the poll's wait a gateway waits for the reply."
    )
    poll_coalesce_s: float = Field(
        0.02, ge=0, description="How long changes gather before parked polls are answered."
    )
    max_events_per_poll: int = Field(256, gt=0, description="Most events in one poll's reply.")
    list_page_resources: int = Field(
        500, gt=0, description="Most resources in one page of a gateway's first list."
    )
    in_force_period_s: float = Field(
        0.1, gt=0, description="Least time between two MarkInForce commands of a leader."
    )
    item_lease_s: float = Field(
        10.0, gt=0, description="How long a holder keeps its batch items without a renewal."
    )
    item_lease_renewal_period_s: float = Field(
        2.5, gt=0, description="Accepted and not used: `batch.lease_renewal_period_s` is."
    )
    item_lease_check_period_s: float = Field(
        0.5, gt=0, description="How often the leader looks for lapsed holders of batch items."
    )
    quota_share_s: float = Field(
        4.0, gt=0, description="How long a lent share of a tenant's token rate holds."
    )
    quota_reserve_fraction: float = Field(
        0.2, gt=0, lt=1, description="Part of each tenant's rate kept for gateways' minimum shares."
    )
    attempt_timeout_s: float = Field(
        1.0, gt=0, description="How long one attempt of a request to a replica may take."
    )
    backoff_first_s: float = Field(0.05, gt=0, description="First wait before a retry.")
    backoff_limit_s: float = Field(0.4, gt=0, description="Longest wait before a retry.")
    request_timeout_s: float = Field(
        10.0, gt=0, description="How long the operator API tries one request at the leader."
    )
    max_body_bytes: int = Field(
        32 * 1024 * 1024, gt=0, description="Largest request body of the operator API."
    )
    max_list_rows: int = Field(1000, gt=0, description="Most rows in one page of results.")
    watch_buffer_events: int = Field(
        1000, gt=0, description="Most events waiting for one watcher before it is cut."
    )
    watch_bookmark_period_s: float = Field(
        5.0, gt=0, description="How often a watch without news gets a bookmark."
    )
    watch_drain_s: float = Field(
        2.0, gt=0, description="How long a watcher that is cut may take to read why."
    )
    operator_key_hashes: tuple[str, ...] = Field(
        (), description="Hex SHA-256 of operator keys that hold before any Tenant exists."
    )
