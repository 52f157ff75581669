"""A controller's side of the nodes' heartbeats.

Each heartbeat is answered with what its sender lacks: the view of the fleet, the runners that have
changed, the version of the routing table. Hands on at once what gateways need sooner than that: a
new leader of the ledger, and runners that are busy with a long prompt.
"""

from rainsail.cluster.beat_answers import RunnerPages
from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.fleet_views import FleetViews
from rainsail.cluster.followed import in_turn
from rainsail.cluster.messages import (
    LedgerLeader,
    NodeBeat,
    NodeBeatReply,
    NodeRole,
    RunnerPrefill,
)
from rainsail.logs import logger

MOST_NOTICES_OF_A_PREFILL = 64
"""Gateways that hear of a runner's long prefill: in a larger fleet each of them sends that runner
so little that the notice is worth less than it costs."""


class NodeHeartbeats:
    """Answers heartbeats, and keeps the directory of the nodes that send them."""

    def __init__(
        self, context: ControllerContext, views: FleetViews, committed: CommittedCopies
    ) -> None:
        self._context = context
        self._views = views
        self._committed = committed
        self._pages = RunnerPages(context.registry)
        self._prefills = 0
        self._ledger_term = 0
        context.messenger.serve(NodeBeat, self._answer)
        context.messenger.serve(RunnerPrefill, self._hand_on_prefill)

    def _answer(self, source: str, beat: NodeBeat) -> NodeBeatReply:
        self._note(beat)
        context = self._context
        same_epoch = beat.epoch == context.epoch
        view = self._views.current()
        knows_view = same_epoch and beat.view == self._views.number
        return NodeBeatReply(
            None if knows_view else view,
            self._views.number,
            self._committed.version,
            context.epoch,
            context.registry.revision,
            self._pages.since(beat.revision if same_epoch else 0),
        )

    def _note(self, beat: NodeBeat) -> None:
        now = self._context.clock.seconds()
        if self._context.directory.heard(beat.node, beat.ledger, now):
            node = beat.node
            log = logger.bind(node=node.name, address=node.address, role=node.role.value)
            log.info("node_heard")
        self._notice_ledger_leader(beat)

    def _notice_ledger_leader(self, beat: NodeBeat) -> None:
        """Push the ledger's new leader at once: gateways report to it what they have running."""
        status = beat.ledger
        if status is None or not status.leads or status.term <= self._ledger_term:
            return
        self._ledger_term = status.term
        notice = LedgerLeader(beat.node.address, status.term)
        self._context.messenger.send_all(self._context.live_nodes(), notice)

    def _hand_on_prefill(self, source: str, message: RunnerPrefill) -> None:
        """Tell other gateways, in turn, that a runner is busy with a long prompt."""
        context = self._context
        now = context.clock.seconds()
        gateways = context.directory.addresses(NodeRole.GATEWAY, now)
        others = [address for address in gateways if address != source]
        self._prefills += 1
        told = in_turn(others, self._prefills, MOST_NOTICES_OF_A_PREFILL)
        context.messenger.send_all(told, message)
