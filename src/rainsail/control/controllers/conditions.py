"""Setting one condition of a resource and leaving the others."""

from rainsail.resources.specs import Condition

READY = "Ready"
ROLLING_OUT = "RollingOut"
DRAINING = "Draining"


def find_condition(conditions: tuple[Condition, ...], type_: str) -> Condition | None:
    """Return the condition of a type."""
    return next((each for each in conditions if each.type == type_), None)


def with_condition(
    conditions: tuple[Condition, ...], condition: Condition
) -> tuple[Condition, ...]:
    """Return the conditions in order of type, one of them set."""
    others = [each for each in conditions if each.type != condition.type]
    return tuple(sorted([*others, condition], key=lambda each: each.type))
