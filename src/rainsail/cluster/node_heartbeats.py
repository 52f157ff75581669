"""The controller's side of the nodes' heartbeats.

The reply to a heartbeat holds what its sender lacks: the view of the fleet, the changed runners and
the version of the routing table. Two events are pushed to gateways at once, as they are needed
sooner: a new leader of the ledger, and a runner that is busy with a long prompt.
"""

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.fleet_views import FleetViews
from rainsail.cluster.heartbeat_replies import RunnerPages
from rainsail.cluster.heartbeat_targets import rotating_subset
from rainsail.cluster.messages import (
    LedgerLeader,
    NodeHeartbeat,
    NodeHeartbeatReply,
    NodeRole,
    RunnerPrefill,
)
from rainsail.cluster.runner_versions import RunnerVersions
from rainsail.logs import logger
from rainsail.wire.extensions import STREAM_ORIGINS

MAX_PREFILL_NOTICES = 64
"""Most gateways that are notified of one long prefill.

In a larger fleet each gateway sends so little to one runner that the notice costs more than it
gains.
"""


class NodeHeartbeats:
    """Answers heartbeats and maintains the directory of the nodes that send them."""

    def __init__(
        self, context: ControllerContext, views: FleetViews, committed: CommittedCopies
    ) -> None:
        self._context = context
        self._views = views
        self._committed = committed
        self._pages = RunnerPages(context.registry)
        self._prefills = 0
        self._ledger_term = 0
        context.messenger.serve(NodeHeartbeat, self._answer)
        context.messenger.serve(RunnerPrefill, self._relay_prefill)

    def _answer(self, source: str, heartbeat: NodeHeartbeat) -> NodeHeartbeatReply:
        self._note(heartbeat)
        context = self._context
        same_epoch = heartbeat.epoch == context.epoch
        view = self._views.current()
        knows_view = same_epoch and heartbeat.view == self._views.number
        page = self._pages.since(heartbeat.revision if same_epoch else 0)
        self._send_versions(source, page.versions)
        return NodeHeartbeatReply(
            None if knows_view else view,
            self._views.number,
            self._committed.version,
            context.epoch,
            context.registry.revision,
            page.runners,
        )

    def _send_versions(self, node: str, page: bytes) -> None:
        """Send the versions of the runners in a reply, ahead of it, to a node that knows them."""
        messenger = self._context.messenger
        if page and messenger.extension_level(node) >= STREAM_ORIGINS:
            messenger.send(node, RunnerVersions(page))

    def _note(self, heartbeat: NodeHeartbeat) -> None:
        now = self._context.clock.seconds()
        if self._context.directory.note_heartbeat(heartbeat.node, heartbeat.ledger, now):
            node = heartbeat.node
            log = logger.bind(node=node.name, address=node.address, role=node.role.value)
            log.info("node_heard")
        self._notice_ledger_leader(heartbeat)

    def _notice_ledger_leader(self, heartbeat: NodeHeartbeat) -> None:
        """Push a new leader of the ledger at once: gateways report their running requests to it."""
        status = heartbeat.ledger
        if status is None or not status.leads or status.term <= self._ledger_term:
            return
        self._ledger_term = status.term
        notice = LedgerLeader(heartbeat.node.address, status.term)
        self._context.messenger.send_all(self._context.live_nodes(), notice)

    def _relay_prefill(self, source: str, message: RunnerPrefill) -> None:
        """Notify a rotating subset of the other gateways of a runner's long prompt."""
        context = self._context
        now = context.clock.seconds()
        gateways = context.directory.addresses(NodeRole.GATEWAY, now)
        others = [address for address in gateways if address != source]
        self._prefills += 1
        notified = rotating_subset(others, self._prefills, MAX_PREFILL_NOTICES)
        context.messenger.send_all(notified, message)
