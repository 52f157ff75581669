"""Counts of an item's failed runs, over all leaders, and the note that carries them in the ledger.

An item is not sent again once too many failures *may* have been answered, and not given up before
enough *certainly* have been. Pure.
"""

from dataclasses import dataclass, replace

from rainsail.state.job_commands import ItemNote

FAILURES_PER_ATTEMPT = 3
"""Answers of 500 that an item may get for each attempt of its route; beyond it is not sent."""
MAX_IMPOSSIBLE_ANSWERS = 3
"""Answers of 422 that an item may get; beyond it is not sent."""
COUNT_TEXTS = 2
"""Texts of a note with counts: ``impossible`` and ``unknown``."""


@dataclass(frozen=True, slots=True)
class FailureCounts:
    """The runs of an item that have failed or may have."""

    failed: int = 0
    """Complete answers of 500."""
    broken_off: int = 0
    """Answers of 500 that broke off."""
    impossible: int = 0
    """Answers of 422 that broke off; a complete one ends the item."""
    unknown: int = 0
    """Runs whose answers are not known, since their leader was lost."""

    @property
    def possible_failures(self) -> int:
        """The largest number of answers of 500 that may have been given."""
        return self.failed + self.broken_off + self.unknown

    @property
    def possible_impossible(self) -> int:
        """The largest number of answers of 422 that may have been given."""
        return self.impossible + self.unknown

    def with_unknown_run(self) -> "FailureCounts":
        """Count one more run whose answer is not known."""
        return replace(self, unknown=self.unknown + 1)

    def without_unknown_runs(self) -> "FailureCounts":
        """Forget the runs with unknown answers: a run that brings events shows a sound item."""
        return replace(self, unknown=0)

    def covers_run_after(self, known: "FailureCounts") -> bool:
        """Tell whether these counts also hold once another run has followed ``known`` ones."""
        return (
            self.possible_failures > known.possible_failures
            and self.possible_impossible > known.possible_impossible
        )

    def may_be_used_up(self, max_attempts: int) -> bool:
        """Tell whether so many failures may have been answered that no run may follow."""
        return (
            self.possible_failures >= FAILURES_PER_ATTEMPT * max_attempts
            or self.possible_impossible >= MAX_IMPOSSIBLE_ANSWERS
        )


NO_FAILURES = FailureCounts()
UNNOTED = FailureCounts(unknown=1)
"""What a new leader assumes of an item without a note.

A leader sends an item that has not failed without a note, so one run at most is not known.
"""


def failure_note(job: str, index: int, counts: FailureCounts) -> ItemNote:
    """Return the note that carries an item's counts."""
    texts = (str(counts.impossible), str(counts.unknown))
    return ItemNote(job, ~index, counts.failed, counts.broken_off, texts)


def is_failure_note(note: ItemNote) -> bool:
    """Tell whether a note carries counts, not progress."""
    return note.index < 0 and len(note.texts) == COUNT_TEXTS


def item_of(note: ItemNote) -> int:
    """Return the index of the item to which a note with counts belongs."""
    return ~note.index


def counts_in(note: ItemNote) -> FailureCounts:
    """Return the counts that a note carries."""
    impossible, unknown = (int(text) for text in note.texts)
    return FailureCounts(note.after_event, note.last_event, impossible, unknown)
