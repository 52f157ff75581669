"""Which running items are preempted.

Here those go first that cost the fewest tokens to read again. ``jobs.slot_use`` and
``jobs.item_order`` preempt the least urgent, as neither prompt nor tokens of a relayed item are
known.
"""

from collections.abc import Sequence
from typing import TypeVar

from rainsail.batch.item_runner import LeasedItemRun

Run = TypeVar("Run", bound=LeasedItemRun)


def choose_victims(runs: Sequence[Run], count: int) -> list[Run]:
    """Return the ``count`` runs that are cheapest to go on with later.

    Those that are still being read come first: they compete with online prompts for prefill.
    Of the others the generated text is kept, so what a preemption costs is reading prompt and
    text again; ties go to the item with the latest deadline.
    """
    by_cost = sorted(runs, key=_cost)
    return by_cost[:count]


def _cost(run: LeasedItemRun) -> tuple[bool, int, float, str]:
    held = run.held
    return (run.generating, run.kv_tokens, -held.leased.deadline_unix_s, run.attempt_id)
