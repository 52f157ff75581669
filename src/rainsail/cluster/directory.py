"""The nodes of the fleet, as a controller learns them from their heartbeats."""

from dataclasses import dataclass

from rainsail.cluster.messages import LedgerStatus, NodeRecord, NodeRole

NODE_SILENT_AFTER_S = 3.0
"""A node that has sent no heartbeat for this long counts as down."""


@dataclass(slots=True)
class _NodeEntry:
    node: NodeRecord
    at_s: float
    ledger: LedgerStatus | None


class NodeDirectory:
    """The nodes that have sent heartbeats, by address."""

    def __init__(self) -> None:
        self._nodes: dict[str, _NodeEntry] = {}

    def note_heartbeat(self, node: NodeRecord, ledger: LedgerStatus | None, now: float) -> bool:
        """Record a heartbeat; True if the node is new or was down before."""
        known = self._nodes.get(node.address)
        is_new = known is None or now - known.at_s >= NODE_SILENT_AFTER_S
        self._nodes[node.address] = _NodeEntry(node, now, ledger)
        return is_new

    def live(self, role: NodeRole, now: float) -> list[NodeRecord]:
        """Return the live nodes of a role, sorted by address."""
        found = [
            entry.node
            for entry in self._nodes.values()
            if entry.node.role == role and now - entry.at_s < NODE_SILENT_AFTER_S
        ]
        return sorted(found, key=lambda node: node.address)

    def addresses(self, role: NodeRole, now: float) -> tuple[str, ...]:
        """Return the addresses of the live nodes of a role."""
        return tuple(node.address for node in self.live(role, now))

    def zones(self) -> frozenset[str]:
        """Return the zones of all nodes that have ever sent a heartbeat."""
        return frozenset(entry.node.zone for entry in self._nodes.values())

    def find(self, name: str, role: NodeRole) -> NodeRecord | None:
        """Return the node of a name and role, the last heard from if several, None if unknown."""
        found = [
            entry
            for entry in self._nodes.values()
            if entry.node.name == name and entry.node.role == role
        ]
        return max(found, key=lambda entry: entry.at_s).node if found else None

    def live_addresses(self, now: float) -> list[str]:
        """Return the addresses of all live nodes, to push changes to."""
        return [
            address
            for address, entry in self._nodes.items()
            if now - entry.at_s < NODE_SILENT_AFTER_S
        ]

    def ledger_status(self, now: float) -> tuple[str, LedgerStatus] | None:
        """Return the address and the report of the ledger's leader of the highest term."""
        best: tuple[str, LedgerStatus] | None = None
        for address, entry in self._nodes.items():
            status = entry.ledger
            if status is None or not status.leads or now - entry.at_s >= NODE_SILENT_AFTER_S:
                continue
            if best is None or status.term > best[1].term:
                best = (address, status)
        return best
