"""Selects the founders of the ledger group: the storage nodes that are its first voters."""

from rainsail.cluster.messages import NodeRecord

EXTRA_VOTERS_PER_LOSS = 2


def voters_for(losses: int) -> int:
    """Return the number of voters that tolerates the loss of ``losses`` of them."""
    return EXTRA_VOTERS_PER_LOSS * losses + 1


def choose_founders(nodes: list[NodeRecord], wanted: int) -> tuple[str, ...]:
    """Return the addresses of an odd number of nodes, spread round-robin over the zones."""
    count = min(wanted, len(nodes))
    if count and count % 2 == 0:
        count -= 1
    by_zone: dict[str, list[NodeRecord]] = {}
    for node in sorted(nodes, key=lambda node: node.address):
        by_zone.setdefault(node.zone, []).append(node)
    chosen: list[str] = []
    while len(chosen) < count:
        for zone in sorted(by_zone):
            if by_zone[zone] and len(chosen) < count:
                chosen.append(by_zone[zone].pop(0).address)
    return tuple(sorted(chosen))
