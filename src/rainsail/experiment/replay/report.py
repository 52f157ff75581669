"""The result of a replay, as the command prints it."""

import json
from dataclasses import dataclass
from typing import Any

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import History
from rainsail.experiment.replay.judge import Judgement, Verdict
from rainsail.experiment.trace.records import Trace

MAX_REPORTED_IDS = 50
"""Offending ids that the report names per outcome; ``offending_count`` counts all."""


@dataclass(frozen=True, slots=True)
class Replayed:
    """A finished replay. Violations are found by the checkers over a simulated run's history."""

    trace: Trace
    against: str
    history: History
    judgements: tuple[Judgement, ...]
    violations: tuple[Violation, ...]
    changes_replayed: int

    def count(self, verdict: Verdict) -> int:
        """Return how many outcomes got this verdict."""
        return sum(1 for each in self.judgements if each.verdict == verdict)

    def held(self, allow_not_observed: bool) -> bool:
        """Whether every stated outcome and every invariant checked held."""
        missing = 0 if allow_not_observed else self.count(Verdict.NOT_OBSERVED)
        return not self.violations and not self.count(Verdict.BROKEN) and not missing

    def to_json(self) -> str:
        """Return the result as one JSON object."""
        return json.dumps(
            {
                "site": self.trace.origin.site,
                "against": self.against,
                "requests": len(self.trace.requests),
                "jobs": len(self.trace.jobs),
                "changes": len(self.trace.changes),
                "changes_replayed": self.changes_replayed,
                "history_sha256": self.history.sha256(),
                "held": self.count(Verdict.HELD),
                "broken": self.count(Verdict.BROKEN),
                "not_observed": self.count(Verdict.NOT_OBSERVED),
                "outcomes": [_judgement_json(each) for each in self.judgements],
                "violations": [
                    {"checker": each.checker, "detail": each.detail} for each in self.violations
                ],
            }
        )


def _judgement_json(judgement: Judgement) -> dict[str, Any]:
    return {
        "name": judgement.name,
        "require": judgement.require,
        "verdict": judgement.verdict,
        "selected": judgement.selected,
        "measured": judgement.measured,
        "detail": judgement.detail,
        "offending": list(judgement.offending[:MAX_REPORTED_IDS]),
        "offending_count": len(judgement.offending),
    }
