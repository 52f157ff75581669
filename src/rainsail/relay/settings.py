"""Settings of the relay."""

from dataclasses import dataclass, field

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.choice import ChoiceSettings
from rainsail.routing.overload import OverloadSettings
from rainsail.tenancy.quota_terms import QuotaTerms


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Tuning of the relay; times are seconds.

    Refused clients are told when to retry. Most retry only once, so the delay has to cover the
    cause of the refusal.
    """

    retry_after_s: float = 0.25
    """Retry delay when runners were full: a short answer has ended by then."""
    not_ready_retry_after_s: float = 1.2
    """Retry delay while the gateway has no routing table.

    0.5 s is too early after a power loss of the whole site, when the controllers elect a leader
    1.1 s after the last of them is up: clients were refused a second time.
    """
    no_runner_retry_after_s: float = 0.8
    """Retry delay while no runner of the service is known; 0.25 s is too early, as above."""
    response_timeout_targets: float = 2.5
    """A repeatable request moves away from a runner that is silent for so many of its targets.

    High enough that an answer that is merely late is not started again.
    """
    min_response_timeout_s: float = 0.6
    """Lower bound of the response time-out, so that a short pause of a runner moves nothing."""
    min_event_timeout_s: float = 1.0
    """Lower bound of the time-out between two events of a stream, for the same reason."""
    min_time_left_s: float = 0.03
    """With less time left no request is sent: no answer takes less."""
    buffered_bytes: int = 256 * 1024
    """An answer that is not a stream is forwarded in parts once it has reached this size."""
    use_report_period_s: float = 0.02
    """Delay of the report to the ledger's leader after a change of the requests in flight.

    Short compared with the time that a request holds a slot.
    """
    use_reports_per_s: float = 2500.0
    """The maximum rate of these reports from all gateways together.

    A leader can handle this rate at the fleet's peak beside its other work.
    """
    idle_check_period_s: float = 0.1
    """How often idle runners are looked for; short compared with the time-outs below."""
    stream_idle_timeout_s: float = 0.35
    """A runner that sends nothing for this long while a stream is pending is ejected.

    Several times the 55 ms between tokens that fleets are designed for.
    """
    answer_idle_timeout_s: float = 1.0
    """The same while only other answers are pending, which arrive in one piece."""
    idle_ejection_s: float = 1.0
    """How long such a runner stays ejected; short, since it may only have paused."""
    announced_prefill_ms: float = 40.0
    """A prompt with a longer prefill is announced to the other gateways.

    Only prompts that delay the first tokens of other requests are worth a message.
    """
    keys_trusted_s: float | None = None
    """How long keys stay valid while too few controllers answer; None: without limit."""
    trusted_controllers: int = 1
    """How many controllers have to answer: one of so many knows every acknowledged table."""
    quota: QuotaTerms = field(default_factory=QuotaTerms)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    mechanisms: Mechanisms = DEFAULTS

    def use_report_period_s_at(self, gateways: int) -> float:
        """Return the report period of one gateway among ``gateways``."""
        return max(self.use_report_period_s, gateways / self.use_reports_per_s)

    def keys_expired(self, without_controllers_s: float) -> bool:
        """Tell whether keys are too old to be trusted after this time without controllers."""
        return self.keys_trusted_s is not None and without_controllers_s > self.keys_trusted_s
