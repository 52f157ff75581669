"""Which running items step aside."""

from collections.abc import Sequence
from typing import TypeVar

from rainsail.batch.item_runner import ItemRun

Run = TypeVar("Run", bound=ItemRun)


def choose_victims(runs: Sequence[Run], count: int) -> list[Run]:
    """Return the ``count`` runs that are cheapest to go on with later.

    The generated text is kept, so what a preemption costs is reading prompt and text again;
    ties go to the item with the latest deadline.
    """
    by_cost = sorted(runs, key=_cost)
    return by_cost[:count]


def _cost(run: ItemRun) -> tuple[int, float, str]:
    held = run.held
    return (run.kv_tokens, -held.leased.deadline_unix_s, run.attempt_id)
