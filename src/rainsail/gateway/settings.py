"""Settings of the gateway's core: fleet view, routing, admission, retries, sessions, drain."""

from pydantic import BaseModel, ConfigDict, Field


class FleetSettings(BaseModel):
    """Monitoring and ejection of runners."""

    model_config = ConfigDict(frozen=True)

    report_timeout_s: float = Field(
        default=1.8,
        gt=0,
        description="Seconds without a load report after which a runner gets no new work.",
    )
    watch_period_s: float = Field(
        default=0.25, gt=0, description="Seconds between checks for runners without load reports."
    )
    resubscribe_base_s: float = Field(
        default=0.1, gt=0, description="Mean seconds before a lost subscription is opened again."
    )
    resubscribe_limit_s: float = Field(
        default=5.0,
        gt=0,
        description="Maximum seconds before a lost subscription is opened again, before jitter.",
    )
    report_half_life_s: float = Field(
        default=1.0,
        gt=0,
        description="Half-life in seconds of the load attributed to other gateways.",
    )
    arrival_window_s: float = Field(
        default=2.0,
        gt=0,
        description="Accepted and ignored, because arrival rates are not estimated.",
    )
    cache_blocks_per_runner: int = Field(
        default=65_536, gt=0, description="Maximum prefix blocks remembered per runner."
    )
    other_zone_runners: int = Field(
        default=64,
        gt=0,
        description="Approximate number of followed runners of other zones, sampled by hash.",
    )
    asked_runners: int = Field(
        default=64,
        gt=0,
        description="Maximum runners followed in addition because a session is pinned to them.",
    )
    eject_after_failures: int = Field(
        default=3, gt=0, description="Consecutive failures after which a runner is ejected."
    )
    eject_base_s: float = Field(
        default=5.0, gt=0, description="Seconds of a runner's first ejection; doubles each time."
    )
    eject_limit_s: float = Field(
        default=60.0, gt=0, description="Maximum seconds of one ejection, before jitter."
    )
    max_ejected_fraction: float = Field(
        default=0.34,
        ge=0.0,
        le=1.0,
        description="Fraction of a service's runners that may be ejected at once, rounded down.",
    )


class RoutingSettings(BaseModel):
    """Selection of a runner for an attempt."""

    model_config = ConfigDict(frozen=True)

    affinity_weight: float = Field(
        default=8.0,
        ge=0,
        description="Draw weight, in addition to 1, of a runner that has the whole prompt cached.",
    )
    stale_cache_weight: float = Field(
        default=0.25, ge=0, le=1.0, description="Weight of a prefix match in a stale cache view."
    )
    load_cost_tokens: float = Field(
        default=200.0,
        gt=0,
        description="Cost of one running request, in prompt tokens to prefill.",
    )
    full_runner_cost_tokens: float = Field(
        default=2000.0,
        ge=0,
        description="Cost of each request beyond a runner's online slots, in prompt tokens.",
    )
    slots_per_runner: float = Field(
        default=2.0,
        gt=0,
        description="Online slots of a runner, as a multiple of its batch slots (as in admission).",
    )
    other_zone_cost_tokens: float = Field(
        default=800.0,
        ge=0,
        description="Cost of crossing zones, in prompt tokens to prefill.",
    )
    memory_pressure: float = Field(
        default=0.9,
        gt=0,
        le=1.0,
        description="Fraction of KV memory in use above which a runner counts as more loaded.",
    )
    explained_decisions: int = Field(
        default=10_000, gt=0, description="Routing decisions kept for the explain route."
    )


class AdmissionSettings(BaseModel):
    """Limits of admission control."""

    model_config = ConfigDict(frozen=True)

    max_queue_s: float = Field(
        default=2.0, gt=0, description="Maximum seconds that a request may wait for admission."
    )
    max_queued_per_tenant: int = Field(
        default=256, gt=0, description="Maximum waiting requests of one tenant per service."
    )
    max_queued: int = Field(default=4096, gt=0, description="Maximum waiting requests per service.")
    slots_per_runner: float = Field(
        default=2.0,
        gt=0,
        description="Online requests sent to a runner at once, as a multiple of its batch slots.",
    )
    tenant_slot_fraction: float = Field(
        default=0.6,
        gt=0,
        le=1.0,
        description="Fraction of a service's slots for one tenant while another is active; "
        "a tenant with a larger share by weight gets that share.",
    )
    quota_report_period_s: float = Field(
        default=1.0, gt=0, description="Seconds between reports of demand to control."
    )
    urgent_report_s: float = Field(
        default=0.1,
        gt=0,
        description="Minimum seconds between two demand reports while a tenant lacks tokens.",
    )
    quota_reserve_fraction: float = Field(
        default=0.2,
        gt=0,
        lt=1,
        description="Fraction of each quota reserved for minimum shares; must match control's.",
    )
    min_retry_after_s: float = Field(
        default=0.1, gt=0, description="Minimum retry-after of a refusal, in seconds."
    )
    max_retry_after_s: float = Field(
        default=60.0, gt=0, description="Maximum retry-after of a refusal, in seconds."
    )


class RetrySettings(BaseModel):
    """Retries of attempts and resumption of streams."""

    model_config = ConfigDict(frozen=True)

    max_attempts: int = Field(default=3, gt=0, description="Maximum attempts of one request.")
    max_resumes: int = Field(
        default=2,
        ge=0,
        description="Maximum resumes of a lost stream without a new chunk.",
    )
    budget_ratio: float = Field(
        default=0.1, ge=0, description="Retries added to a service's retry budget per request."
    )
    budget_min_per_s: float = Field(
        default=2.0,
        ge=0,
        description="Retries added to a service's retry budget per second, also without requests.",
    )
    budget_burst: float = Field(
        default=20.0, gt=0, description="Maximum retries in a retry budget."
    )
    base_delay_s: float = Field(
        default=0.02, gt=0, description="Mean seconds before the first retry; doubles each time."
    )
    max_delay_s: float = Field(
        default=1.0, gt=0, description="Maximum backoff in seconds, before jitter."
    )
    gap_wait_s: float = Field(
        default=0.05,
        gt=0,
        description="Seconds that a stream waits for a missing chunk before it is resumed.",
    )
    early_chunks: int = Field(
        default=64, gt=0, description="Maximum out-of-order chunks buffered per stream."
    )
    stall_timeout_s: float = Field(
        default=10.0,
        gt=0,
        description="Seconds without a chunk after which a stream counts as lost.",
    )
    claim_timeout_s: float = Field(
        default=2.0,
        gt=0,
        description="Timeout to claim or finish a non-repeatable request, in seconds.",
    )


class SessionSettings(BaseModel):
    """Placement and moves of sessions."""

    model_config = ConfigDict(frozen=True)

    command_timeout_s: float = Field(
        default=3.0,
        gt=0,
        description="Timeout of one session command including retries, in seconds.",
    )
    attach_attempts: int = Field(
        default=4,
        gt=0,
        description="Maximum attempts to attach a session when other gateways compete for it.",
    )
    kv_timeout_s: float = Field(
        default=2.0, gt=0, description="Timeout of one export or import of a KV cache, in seconds."
    )
    max_waiting_turns: int = Field(
        default=16, gt=0, description="Maximum waiting turns of one session."
    )


class RunnerReconcilerSettings(BaseModel):
    """Reconciliation of owned runners."""

    model_config = ConfigDict(frozen=True)

    check_period_s: float = Field(
        default=1.0, gt=0, description="Seconds between reconciliations of each owned runner."
    )
    order_resend_s: float = Field(
        default=3.0, gt=0, description="Seconds before an order that had no effect is sent again."
    )
    command_timeout_s: float = Field(
        default=3.0,
        gt=0,
        description="Timeout of one status command including retries, in seconds.",
    )


class DrainSettings(BaseModel):
    """Graceful stop of a gateway."""

    model_config = ConfigDict(frozen=True)

    grace_s: float = Field(
        default=120.0, gt=0, description="Seconds that requests in progress have to finish."
    )
    retry_after_s: float = Field(
        default=1.0,
        gt=0,
        description="Retry-after of requests refused by a stopping gateway, in seconds.",
    )


class GatewaySettings(BaseModel):
    """All settings of the gateway's core."""

    model_config = ConfigDict(frozen=True)

    fleet: FleetSettings = Field(
        default=FleetSettings(), description="Monitoring and ejection of runners."
    )
    routing: RoutingSettings = Field(default=RoutingSettings(), description="Selection of runners.")
    admission: AdmissionSettings = Field(
        default=AdmissionSettings(), description="Limits of admission control."
    )
    retry: RetrySettings = Field(
        default=RetrySettings(), description="Retries and stream resumption."
    )
    session: SessionSettings = Field(default=SessionSettings(), description="Sessions.")
    keeper: RunnerReconcilerSettings = Field(
        default=RunnerReconcilerSettings(), description="Reconciliation of owned runners."
    )
    drain: DrainSettings = Field(default=DrainSettings(), description="Graceful stop.")
