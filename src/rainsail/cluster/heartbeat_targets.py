"""Which controllers a node beats to. Pure: what is known is handed in.

A node follows every controller of a small fleet. In a large one it follows the voters of the root
group, whose number does not grow with the fleet: what a quorum of them knows, every node hears.
While most voters say nothing it asks some others in turn, which may know of other voters.
"""

from collections.abc import Collection, Mapping, Sequence

FOLLOW_ALL_LIMIT = 7
"""Up to so many controllers a node follows them all."""
PROBES_PER_ROUND = 2
UNRESPONSIVE_AFTER_S = 2.5


def choose_heartbeat_targets(
    last_answer_s: Mapping[str, float],
    voters: Collection[str],
    seeds: Sequence[str],
    turn: int,
    now: float,
) -> list[str]:
    """Return the controllers to send heartbeats to.

    ``last_answer_s`` holds the time of the last answer of each known controller, ``turn`` the
    number of the round.
    """
    known = sorted(last_answer_s)
    if len(known) <= FOLLOW_ALL_LIMIT:
        return known
    first = [name for name in known if name in (voters or seeds)]
    fresh = [name for name in first if now - last_answer_s[name] < UNRESPONSIVE_AFTER_S]
    if first and 2 * len(fresh) > len(first):
        return first
    others = [name for name in known if name not in first]
    return first + rotating_subset(others, turn, PROBES_PER_ROUND)


def rotating_subset(names: Sequence[str], turn: int, count: int) -> list[str]:
    """Return ``count`` of the names, others in each turn until all were named."""
    if len(names) <= count:
        return list(names)
    first = turn * count % len(names)
    return [names[(first + place) % len(names)] for place in range(count)]
