"""Helpers that read one condition of a resource or replace it without touching the others."""

from rainsail.resources.specs import Condition

READY = "Ready"
ROLLING_OUT = "RollingOut"
DRAINING = "Draining"


def find_condition(conditions: tuple[Condition, ...], type_: str) -> Condition | None:
    """Return the condition of the given type, or None."""
    return next((each for each in conditions if each.type == type_), None)


def with_condition(
    conditions: tuple[Condition, ...], condition: Condition
) -> tuple[Condition, ...]:
    """Return the conditions sorted by type, with ``condition`` added or replaced."""
    others = [each for each in conditions if each.type != condition.type]
    return tuple(sorted([*others, condition], key=lambda each: each.type))
