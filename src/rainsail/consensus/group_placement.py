"""Placement of groups on replicas, computed identically by every process from the replica list."""

from rainsail.state.command_basics import GroupId


def members_of_group(
    group: GroupId, replicas: tuple[str, ...], replicas_per_group: int
) -> tuple[str, ...]:
    """Return the replicas that found a group, the one that starts the founding first.

    A group takes consecutive replicas of the list and starts where the previous group ends, which
    spreads groups evenly. Operators order the list so that neighbours are in different zones. If
    there are no more replicas than a group needs, every group has all of them, and each group
    starts at another replica.
    """
    count = min(replicas_per_group, len(replicas))
    step = count if count < len(replicas) else 1
    first = group * step % len(replicas)
    return tuple(replicas[(first + offset) % len(replicas)] for offset in range(count))
