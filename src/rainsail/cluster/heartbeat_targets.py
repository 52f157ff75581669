"""Selects the controllers that a node sends heartbeats to. Pure functions.

In a small fleet a node follows every controller. In a large one it follows the voters of the root
group, whose number does not grow with the fleet: whatever a quorum of them knows reaches every
node. While most voters do not answer, the node also probes other controllers in rotation, since
they may know of new voters.
"""

from collections.abc import Collection, Mapping, Sequence

FOLLOW_ALL_LIMIT = 7
"""With up to this many controllers, a node follows all of them."""
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
    """Return ``count`` names; successive turns rotate through all of them."""
    if len(names) <= count:
        return list(names)
    first = turn * count % len(names)
    return [names[(first + place) % len(names)] for place in range(count)]
