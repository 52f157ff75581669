"""The routing table at a controller: committed by the root group, read back, published to nodes.

A table is in force once a quorum has synced it. Nodes get the version pushed and fetch the content.
"""

from collections.abc import Callable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.leader_answers import confirmed_read, not_leading, reply_to_proposal
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import (
    FetchTable,
    ReadTable,
    SubmitTable,
    TableAccepted,
    TableDocument,
    TableNotice,
)
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.state.cluster_commands import ReplaceTable

ServicesOf = Callable[[bytes], frozenset[str] | None]
"""Returns the services in an encoded routing table; None if it cannot be read."""


class TableService:
    """Accepts routing tables at any controller and forwards them to the leader, which decides."""

    def __init__(
        self,
        context: ControllerContext,
        calls: LeaderCaller,
        committed: CommittedCopies,
        services_of: ServicesOf,
    ) -> None:
        self._context = context
        self._calls = calls
        self._committed = committed
        self._services_of = services_of
        self._noticed_version = 0
        self._named_version = 0
        context.follower.on_table = self._take_followed
        messenger = context.messenger
        messenger.serve(FetchTable, lambda source, message: self._committed_document())
        messenger.serve(SubmitTable, lambda source, message: self._submit_as_leader(message))
        messenger.serve(ReadTable, lambda source, message: self._read_as_leader(message))
        self._name_services()

    def replace(self, version: int, content: bytes) -> "Deferred[Result[Any, Fault]]":
        """Replace the routing table by a valid one; fires once a quorum has synced it."""
        message = SubmitTable(version, content)
        within_s = self._context.settings.order_within_s
        return self._calls.call(message, self._submit_as_leader, within_s)

    def read(self) -> "Deferred[Result[Any, Fault]]":
        """Return the newest table, confirmed by a quorum."""
        within_s = self._context.settings.order_within_s
        return self._calls.call(ReadTable(), self._read_as_leader, within_s)

    def on_applied(self, index: int) -> None:
        """Put a newly committed table into effect here and notify the nodes."""
        context = self._context
        self._name_services()
        self._committed.changed()
        version = context.state.version
        if version <= self._noticed_version:
            return
        self._noticed_version = version
        context.follower.table_version = version
        logger.bind(version=version, index=index).info("table_applied")
        context.messenger.send_all(context.live_nodes(), TableNotice(version))

    def _submit_as_leader(self, message: SubmitTable) -> "Deferred[Any]":
        group = self._context.group
        state = self._context.state
        if not group.is_leader():
            return succeed(not_leading(group, "cluster.replace_table"))
        if message.version <= state.version:
            return confirmed_read(group, lambda: TableAccepted(state.version))
        proposed = group.propose(ReplaceTable(message.version, message.content))
        return proposed.addCallback(reply_to_proposal, TableAccepted(message.version))

    def _read_as_leader(self, message: ReadTable) -> "Deferred[Any]":
        group = self._context.group
        if not group.is_leader():
            return succeed(not_leading(group, "cluster.read_table"))
        return confirmed_read(group, self._applied_document)

    def _applied_document(self) -> TableDocument:
        state = self._context.state
        return TableDocument(state.version, state.content)

    def _committed_document(self) -> TableDocument:
        return TableDocument(self._committed.version, self._committed.content)

    def _take_followed(self, document: TableDocument) -> None:
        """Take a table from another controller while this one is outside the group."""
        self._committed.note_table(document)
        self._name_services()

    def _name_services(self) -> None:
        """Pass the newest table's services to the registry; runners of others hold no address."""
        if self._committed.version > self._named_version:
            self._named_version = self._committed.version
            self._context.registry.named_services = self._services_of(self._committed.content)
