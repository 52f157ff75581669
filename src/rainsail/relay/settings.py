"""Settings of the relay."""

from dataclasses import dataclass, field

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.choice import ChoiceSettings
from rainsail.routing.overload import OverloadSettings
from rainsail.tenancy.quota_terms import QuotaTerms


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Times are seconds.

    The ``retry_after`` times say when a refused client should come back: after a runner was full,
    after a start of this gateway, and while no runner of the service is known. Clients come back
    once or so, so that the time has to cover what they wait for.
    ``silence_targets`` is how many of a route's targets a repeatable request may stay without an
    answer before it goes to another runner; the least of these waits is ``least_silence_s``.
    ``stream_speaks_within_s`` and ``answer_speaks_within_s`` are how long a runner that owes an
    answer may say nothing before it is left out for ``silent_out_s``; a prompt that takes a runner
    longer than ``told_reading_ms`` to read is told to the other gateways.
    ``keys_trusted_s`` is how long keys are still taken while fewer than ``trusted_controllers``
    answer: one of so many knows every table that was acknowledged. None: for any time.
    """

    retry_after_s: float = 0.25
    not_ready_retry_after_s: float = 1.2
    no_runner_retry_after_s: float = 0.8
    silence_targets: float = 2.5
    least_silence_s: float = 0.6
    least_gap_s: float = 1.0
    least_time_left_s: float = 0.03
    buffered_bytes: int = 256 * 1024
    use_report_period_s: float = 0.02
    use_reports_per_s: float = 2500.0
    """The ledger's leader gets at most so many words on what is under way, of all gateways."""
    silence_look_period_s: float = 0.1
    stream_speaks_within_s: float = 0.35
    answer_speaks_within_s: float = 1.0
    silent_out_s: float = 1.0
    told_reading_ms: float = 40.0
    keys_trusted_s: float | None = None
    trusted_controllers: int = 1
    quota: QuotaTerms = field(default_factory=QuotaTerms)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    mechanisms: Mechanisms = DEFAULTS

    def use_report_period_s_at(self, gateways: int) -> float:
        """Return the time between two words of one gateway among so many."""
        return max(self.use_report_period_s, gateways / self.use_reports_per_s)

    def keys_expired(self, out_of_touch_s: float) -> bool:
        """Tell whether keys can't be relied on after so long without controllers."""
        return self.keys_trusted_s is not None and out_of_touch_s > self.keys_trusted_s
