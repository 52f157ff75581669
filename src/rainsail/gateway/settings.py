"""Settings of the gateway's core: fleet view, routing, admission, retries, sessions, drain."""

from pydantic import BaseModel, ConfigDict, Field


class FleetSettings(BaseModel):
    """How a gateway follows the runners."""

    model_config = ConfigDict(frozen=True)

    report_timeout_s: float = Field(
        default=1.8,
        gt=0,
        description="Seconds without a load report after which a runner gets no new work.",
    )
    watch_period_s: float = Field(
        default=0.25, gt=0, description="Seconds between looks for runners that went silent."
    )
    resubscribe_base_s: float = Field(
        default=0.1, gt=0, description="Mean seconds before a lost subscription is opened again."
    )
    resubscribe_limit_s: float = Field(
        default=5.0, gt=0, description="Most seconds between two tries to subscribe."
    )
    report_half_life_s: float = Field(
        default=1.0,
        gt=0,
        description="Seconds after which half of the load reported for others has lost its weight.",
    )
    arrival_window_s: float = Field(
        default=2.0, gt=0, description="Accepted and not used: nothing estimates arrivals."
    )
    cache_blocks_per_runner: int = Field(
        default=65_536, gt=0, description="Most prefix blocks remembered per runner."
    )
    other_zone_runners: int = Field(
        default=64,
        gt=0,
        description="Runners of other zones that are followed: about so many, drawn by hash.",
    )
    asked_runners: int = Field(
        default=64,
        gt=0,
        description="Most runners beyond those that are followed because a session is there.",
    )
    eject_after_failures: int = Field(
        default=3, gt=0, description="Consecutive failures that put a runner out."
    )
    eject_base_s: float = Field(
        default=5.0, gt=0, description="Seconds that a runner is out the first time."
    )
    eject_limit_s: float = Field(
        default=60.0, gt=0, description="Most seconds that a runner is out at a time."
    )
    max_ejected_fraction: float = Field(
        default=0.34,
        ge=0.0,
        le=1.0,
        description="Share of a service's runners that may be out at once, rounded down.",
    )


class RoutingSettings(BaseModel):
    """How a runner is chosen for an attempt."""

    model_config = ConfigDict(frozen=True)

    affinity_weight: float = Field(
        default=8.0,
        ge=0,
        description="How much more often a runner with the whole prompt cached is drawn.",
    )
    stale_cache_weight: float = Field(
        default=0.25, ge=0, le=1.0, description="Worth of a prefix match in a stale cache view."
    )
    load_cost_tokens: float = Field(
        default=200.0,
        gt=0,
        description="Prompt tokens to prefill that weigh as much as one running request.",
    )
    full_runner_cost_tokens: float = Field(
        default=2000.0,
        ge=0,
        description="Prompt tokens that each request beyond a runner's online slots weighs.",
    )
    slots_per_runner: float = Field(
        default=2.0,
        gt=0,
        description="A runner is full at this multiple of its batch slots (as in admission).",
    )
    other_zone_cost_tokens: float = Field(
        default=800.0,
        ge=0,
        description="Prompt tokens that must be saved before another zone is chosen.",
    )
    memory_pressure: float = Field(
        default=0.9,
        gt=0,
        le=1.0,
        description="Share of KV memory in use above which a runner counts as more loaded.",
    )
    explained_decisions: int = Field(
        default=10_000, gt=0, description="Decisions kept in the ring for explanation."
    )


class AdmissionSettings(BaseModel):
    """Limits on what is taken in."""

    model_config = ConfigDict(frozen=True)

    max_queue_s: float = Field(
        default=2.0, gt=0, description="Seconds that a request may wait before it is refused."
    )
    max_queued_per_tenant: int = Field(
        default=256, gt=0, description="Requests that one tenant may have waiting per service."
    )
    max_queued: int = Field(
        default=4096, gt=0, description="Requests that may be waiting per service."
    )
    slots_per_runner: float = Field(
        default=2.0,
        gt=0,
        description="Online requests sent to a runner at once, as a multiple of its batch slots.",
    )
    tenant_slot_fraction: float = Field(
        default=0.6,
        gt=0,
        le=1.0,
        description="Share of a service's slots that one tenant may hold while another is active; "
        "a tenant whose weight entitles it to more gets that.",
    )
    quota_report_period_s: float = Field(
        default=1.0, gt=0, description="Seconds between reports of demand to control."
    )
    urgent_report_s: float = Field(
        default=0.1,
        gt=0,
        description="Least seconds between two reports of demand when a tenant runs short.",
    )
    quota_reserve_fraction: float = Field(
        default=0.2,
        gt=0,
        lt=1,
        description="Part of each quota kept for minimum shares; the same value as control's.",
    )
    min_retry_after_s: float = Field(
        default=0.1, gt=0, description="Shortest time that a refused caller is told to wait."
    )
    max_retry_after_s: float = Field(
        default=60.0, gt=0, description="Longest time that a refused caller is told to wait."
    )


class RetrySettings(BaseModel):
    """When an attempt is followed by another."""

    model_config = ConfigDict(frozen=True)

    max_attempts: int = Field(default=3, gt=0, description="Attempts of one request, first too.")
    max_resumes: int = Field(
        default=2,
        ge=0,
        description="Tries to take up a lost stream at its engine without a chunk of progress.",
    )
    budget_ratio: float = Field(
        default=0.1, ge=0, description="Retries per request that a service may cost on average."
    )
    budget_min_per_s: float = Field(
        default=2.0, ge=0, description="Retries a second allowed also when there are few requests."
    )
    budget_burst: float = Field(default=20.0, gt=0, description="Most retries saved up.")
    base_delay_s: float = Field(
        default=0.02, gt=0, description="Mean seconds before the first retry; doubles each time."
    )
    max_delay_s: float = Field(default=1.0, gt=0, description="Most seconds before a retry.")
    gap_wait_s: float = Field(
        default=0.05,
        gt=0,
        description="Seconds that a stream waits for a missing chunk before it is taken up anew.",
    )
    early_chunks: int = Field(
        default=64, gt=0, description="Chunks kept that came before their turn."
    )
    stall_timeout_s: float = Field(
        default=10.0, gt=0, description="Seconds without a chunk that count as a lost stream."
    )
    claim_timeout_s: float = Field(
        default=2.0, gt=0, description="Seconds to claim or finish a non-repeatable request."
    )


class SessionSettings(BaseModel):
    """How sessions are kept and moved."""

    model_config = ConfigDict(frozen=True)

    command_timeout_s: float = Field(
        default=3.0, gt=0, description="Seconds that one session command may take with retries."
    )
    attach_attempts: int = Field(
        default=4, gt=0, description="Times that an attachment is tried when others race for it."
    )
    kv_timeout_s: float = Field(
        default=2.0, gt=0, description="Seconds for one export or import of a KV cache."
    )
    max_waiting_turns: int = Field(
        default=16, gt=0, description="Turns of one session that may wait behind a running one."
    )


class RunnerReconcilerSettings(BaseModel):
    """How owned runners are ordered and reported."""

    model_config = ConfigDict(frozen=True)

    check_period_s: float = Field(
        default=1.0, gt=0, description="Seconds between looks at each owned runner."
    )
    order_resend_s: float = Field(
        default=3.0, gt=0, description="Seconds before an order without effect is sent again."
    )
    command_timeout_s: float = Field(
        default=3.0, gt=0, description="Seconds that one status command may take with retries."
    )


class DrainSettings(BaseModel):
    """How a planned stop proceeds."""

    model_config = ConfigDict(frozen=True)

    grace_s: float = Field(
        default=120.0, gt=0, description="Seconds that requests in progress get to finish."
    )
    retry_after_s: float = Field(
        default=1.0, gt=0, description="When callers refused by a stopping gateway may come back."
    )


class GatewaySettings(BaseModel):
    """All settings of the gateway's core."""

    model_config = ConfigDict(frozen=True)

    fleet: FleetSettings = Field(default=FleetSettings(), description="Following the runners.")
    routing: RoutingSettings = Field(default=RoutingSettings(), description="Choosing a runner.")
    admission: AdmissionSettings = Field(
        default=AdmissionSettings(), description="Limits on what is taken in."
    )
    retry: RetrySettings = Field(default=RetrySettings(), description="Attempts after the first.")
    session: SessionSettings = Field(default=SessionSettings(), description="Sessions.")
    keeper: RunnerReconcilerSettings = Field(
        default=RunnerReconcilerSettings(), description="Owned runners."
    )
    drain: DrainSettings = Field(default=DrainSettings(), description="Planned stop.")
