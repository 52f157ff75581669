"""Settings of the relay."""

from dataclasses import dataclass, field

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.choice import ChoiceSettings
from rainsail.routing.overload import OverloadSettings
from rainsail.tenancy.quota_terms import QuotaTerms


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """What relaying goes by; times are seconds.

    Refused clients are told when to come back. Most come back once only, so that the time has to
    cover what they wait for. A value without another reason was not measured by itself.
    """

    retry_after_s: float = 0.25
    """When to come back after runners were full; chosen so that a short answer has ended."""
    not_ready_retry_after_s: float = 1.2
    """The same while the gateway has no routing table.

    0.5 s was too early after a loss of all power, when the controllers had a leader 1.1 s after the
    last of them was up: clients were refused a second time.
    """
    no_runner_retry_after_s: float = 0.8
    """The same while no runner of the service is known; 0.25 s was too early, as above."""
    response_timeout_targets: float = 2.5
    """A repeatable request leaves a runner that has sent nothing for so many of its targets.

    Chosen so that an answer that is merely late is not begun anew.
    """
    min_response_timeout_s: float = 0.6
    """No response timeout is shorter; chosen so that a short pause of a runner moves nothing."""
    min_event_timeout_s: float = 1.0
    """No timeout between two events of a stream is shorter; chosen for the same reason."""
    min_time_left_s: float = 0.03
    """With less time left no request is sent; chosen as the least that an answer takes."""
    buffered_bytes: int = 256 * 1024
    """An answer that is no stream is passed on in parts once it has grown to this size."""
    use_report_period_s: float = 0.02
    """A change of what is under way is reported to the ledger's leader after this time.

    Chosen short against the time that a request holds a slot.
    """
    use_reports_per_s: float = 2500.0
    """The leader gets at most so many of these reports from all gateways together.

    Chosen as what a leader takes at the fleet's peak beside its other work.
    """
    idle_check_period_s: float = 0.1
    """Idle runners are looked for this often; chosen short against the timeouts below."""
    stream_idle_timeout_s: float = 0.35
    """A runner that sends nothing for this long while a stream is awaited is ejected.

    Chosen above the 55 ms between tokens that fleets are designed for, several times over.
    """
    answer_idle_timeout_s: float = 1.0
    """The same while only other answers are awaited, which come in one piece."""
    idle_ejection_s: float = 1.0
    """How long such a runner is left out; chosen so that one that only paused is soon back."""
    announced_prefill_ms: float = 40.0
    """A prompt whose prefill takes longer is announced to the other gateways.

    Chosen so that only prompts which make others' first tokens late cost a message.
    """
    keys_trusted_s: float | None = None
    """How long keys are still taken while too few controllers answer; None: for any time."""
    trusted_controllers: int = 1
    """How many have to answer: one of so many knows every table that was acknowledged."""
    quota: QuotaTerms = field(default_factory=QuotaTerms)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    mechanisms: Mechanisms = DEFAULTS

    def use_report_period_s_at(self, gateways: int) -> float:
        """Return the time between two reports of one gateway among so many."""
        return max(self.use_report_period_s, gateways / self.use_reports_per_s)

    def keys_expired(self, without_controllers_s: float) -> bool:
        """Tell whether keys can't be relied on after so long without controllers."""
        return self.keys_trusted_s is not None and without_controllers_s > self.keys_trusted_s
