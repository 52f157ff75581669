"""Whether a failed attempt is followed by another: pure decisions and the retry budget.

Only the gateway retries, never a second layer. Work is sent again when it is repeatable, or
when it is certain that nothing of it was ever sent; a budget per destination (a service's
runners) keeps retries from multiplying an overload; the caller's deadline is carried along.

``relay.continuation`` decides for relayed requests: their runners answer in HTTP statuses and can't
say for certain what they did not run, so the route says what may be repeated.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from rainsail.gateway.settings import RetrySettings


class RetryBudget:
    """Each request pays in a fraction of a retry; a trickle is allowed at all times."""

    def __init__(self, settings: RetrySettings, now_s: float) -> None:
        self._settings = settings
        self._saved = settings.budget_burst
        self._updated_s = now_s

    @property
    def saved(self) -> float:
        """Retries saved up when the budget was last used."""
        return self._saved

    def request_started(self) -> None:
        """Pay in for one request."""
        self._add(self._settings.budget_ratio)

    def take(self, now_s: float) -> bool:
        """Take one retry; False when the budget is used up."""
        self._add(max(0.0, now_s - self._updated_s) * self._settings.budget_min_per_s)
        self._updated_s = now_s
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _add(self, amount: float) -> None:
        self._saved = min(self._settings.budget_burst, self._saved + amount)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What a retry decision looks at. ``sent`` is whether a byte may have reached an engine."""

    repeatable: bool
    sent: bool
    attempts: int
    now_s: float
    deadline_s: float


class RetryReason(StrEnum):
    """Why another attempt follows or not."""

    AGAIN = "another attempt follows"
    NOT_REPEATABLE = "the request may not be repeated"
    ATTEMPTS = "as many attempts failed as are allowed"
    DEADLINE = "the deadline leaves no time for another attempt"
    BUDGET = "the retry budget is used up"


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to try again after ``delay_s``, and why."""

    again: bool
    delay_s: float
    reason: RetryReason


def may_send_again(repeatable: bool, sent: bool) -> bool:
    """Tell whether work may be sent (again) without the risk of running it twice."""
    return repeatable or not sent


def backoff_s(attempts: int, random: Random, settings: RetrySettings) -> float:
    """Return a jittered delay before the attempt that follows ``attempts`` others."""
    mean_s = settings.base_delay_s * 2.0 ** max(0, attempts - 1)
    return min(mean_s, settings.max_delay_s) * (0.5 + random.random())


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, random: Random, settings: RetrySettings
) -> RetryDecision:
    """Decide whether another attempt follows a failed one."""
    if not may_send_again(failed.repeatable, failed.sent):
        return RetryDecision(False, 0.0, RetryReason.NOT_REPEATABLE)
    if failed.attempts >= settings.max_attempts:
        return RetryDecision(False, 0.0, RetryReason.ATTEMPTS)
    delay_s = backoff_s(failed.attempts, random, settings)
    if failed.now_s + delay_s >= failed.deadline_s:
        return RetryDecision(False, 0.0, RetryReason.DEADLINE)
    if not budget.take(failed.now_s):
        return RetryDecision(False, 0.0, RetryReason.BUDGET)
    return RetryDecision(True, delay_s, RetryReason.AGAIN)
