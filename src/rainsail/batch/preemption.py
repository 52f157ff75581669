"""Selects the running items to preempt: those that are cheapest to resume.

The cost is the number of tokens to prefill again. ``jobs.slot_use`` and ``jobs.item_order`` preempt
the least urgent items instead, since the prompt and tokens of a relayed item are unknown.
"""

from collections.abc import Sequence
from typing import TypeVar

from rainsail.batch.item_runner import LeasedItemRun

Run = TypeVar("Run", bound=LeasedItemRun)


def choose_victims(runs: Sequence[Run], count: int) -> list[Run]:
    """Return the ``count`` runs that are cheapest to resume later.

    Runs still in prefill come first: they compete with online prompts. Other runs keep their
    generated text, so a preemption costs another prefill of prompt and text; of equal runs the
    one with the latest deadline is chosen.
    """
    by_cost = sorted(runs, key=_cost)
    return by_cost[:count]


def _cost(run: LeasedItemRun) -> tuple[bool, int, float, str]:
    held = run.held
    return (run.generating, run.kv_tokens, -held.leased.deadline_unix_s, run.attempt_id)
