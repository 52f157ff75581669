"""Which replicas keep which group, worked out alike by every process from the list of replicas."""

from rainsail.state.command_basics import GroupId


def members_of_group(
    group: GroupId, replicas: tuple[str, ...], replicas_per_group: int
) -> tuple[str, ...]:
    """Return the replicas that a group is founded with, its founder first.

    Neighbours in the list go together, each group beginning where the one before ends, so that
    groups spread evenly over the replicas. Operators list replicas so that neighbours stand in
    different zones. With no more replicas than a group needs, every group has all of them, each
    with another founder.
    """
    count = min(replicas_per_group, len(replicas))
    step = count if count < len(replicas) else 1
    first = group * step % len(replicas)
    return tuple(replicas[(first + offset) % len(replicas)] for offset in range(count))
