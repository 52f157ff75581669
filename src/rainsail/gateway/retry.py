"""Retry decisions and the retry budget.

The gateway is the only layer that retries. It retries a request that is repeatable, or one of
which certainly nothing was sent. A retry budget per service keeps retries from amplifying an
overload. A retry never starts after the caller's deadline.

``relay.continuation`` decides for relayed requests: their runners answer with HTTP statuses, which
can't prove that a request did not run, so the route configuration says what may be repeated.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from rainsail.gateway.settings import RetrySettings


class RetryBudget:
    """Token bucket of retries.

    Each request adds ``budget_ratio`` of a retry; ``budget_min_per_s`` is added at all times.
    """

    def __init__(self, settings: RetrySettings, now_s: float) -> None:
        self._settings = settings
        self._saved = settings.budget_burst
        self._updated_s = now_s

    @property
    def saved(self) -> float:
        """Retries available when the budget was last updated."""
        return self._saved

    def request_started(self) -> None:
        """Add the share of one request to the budget."""
        self._add(self._settings.budget_ratio)

    def take(self, now_s: float) -> bool:
        """Take one retry from the budget; return False when the budget is used up."""
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
    """Input of a retry decision. ``sent``: whether any byte may have reached an engine."""

    repeatable: bool
    sent: bool
    attempts: int
    now_s: float
    deadline_s: float


class RetryReason(StrEnum):
    """Reason of a retry decision; part of the fault's detail."""

    AGAIN = "another attempt follows"
    NOT_REPEATABLE = "the request may not be repeated"
    ATTEMPTS = "as many attempts failed as are allowed"
    DEADLINE = "the deadline leaves no time for another attempt"
    BUDGET = "the retry budget is used up"


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry after ``delay_s`` seconds, and why."""

    again: bool
    delay_s: float
    reason: RetryReason


def may_send_again(repeatable: bool, sent: bool) -> bool:
    """Return whether a request may be sent again without violating at-most-once execution."""
    return repeatable or not sent


def backoff_s(attempts: int, random: Random, settings: RetrySettings) -> float:
    """Return the jittered exponential backoff in seconds after ``attempts`` attempts."""
    mean_s = settings.base_delay_s * 2.0 ** max(0, attempts - 1)
    return min(mean_s, settings.max_delay_s) * (0.5 + random.random())


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, random: Random, settings: RetrySettings
) -> RetryDecision:
    """Decide whether to retry after a failed attempt."""
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
