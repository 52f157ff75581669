"""Which controllers a node beats to. Pure: what is known is handed in.

A node follows every controller of a small fleet. In a large one it follows the voters of the root
group, whose number does not grow with the fleet: what a quorum of them knows, every node hears.
While most voters say nothing it asks some others in turn, which may know of other voters.
"""

from collections.abc import Collection, Mapping, Sequence

MOST_FOLLOWED_WHOLE = 7
"""Up to so many controllers a node follows them all."""
ASKED_IN_TURN = 2
SILENT_AFTER_S = 2.5


def followed_controllers(
    heard_s: Mapping[str, float],
    voters: Collection[str],
    seeds: Sequence[str],
    turn: int,
    now: float,
) -> list[str]:
    """Return the controllers to beat to.

    ``heard_s`` has every controller known and when it last answered; ``turn`` counts the rounds.
    """
    known = sorted(heard_s)
    if len(known) <= MOST_FOLLOWED_WHOLE:
        return known
    first = [name for name in known if name in (voters or seeds)]
    fresh = [name for name in first if now - heard_s[name] < SILENT_AFTER_S]
    if first and 2 * len(fresh) > len(first):
        return first
    others = [name for name in known if name not in first]
    return first + in_turn(others, turn, ASKED_IN_TURN)


def in_turn(names: Sequence[str], turn: int, count: int) -> list[str]:
    """Return ``count`` of the names, others in each turn until all were named."""
    if len(names) <= count:
        return list(names)
    first = turn * count % len(names)
    return [names[(first + place) % len(names)] for place in range(count)]
