"""Runners' reports at a controller: stored, shared with a quorum of controllers, pushed to nodes.

A report that a runner drains or is gone is acknowledged once a quorum of controllers has it on
disk. Nodes follow the voters, so a report that reaches another controller first is shared with a
quorum of the voters too. Relies on the registry for which of two reports is newer.
"""

from collections.abc import Iterable
from typing import Any

from expression import Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.fleet_views import FleetViews
from rainsail.cluster.messages import (
    RunnerRecord,
    RunnerShared,
    RunnerState,
    RunnerUpdate,
    ShareRunner,
)
from rainsail.cluster.push_queue import PushQueue
from rainsail.cluster.quorum_wait import QuorumWait
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_version_file import RunnerVersionFile
from rainsail.cluster.runner_versions import NO_VERSION, RunnerVersions, encode_versions
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.wire.extensions import STREAM_ORIGINS


class RunnerReports:
    """Handles reports from runners and from other controllers."""

    def __init__(
        self,
        context: ControllerContext,
        views: FleetViews,
        journal: RunnerJournal,
        versions: RunnerVersionFile,
    ) -> None:
        self._context = context
        self._registry = context.registry
        self._views = views
        self._journal = journal
        self._versions = versions
        self._pushed_revision = 0
        self._pushes = PushQueue(context.clock, self._count_followers, self._push_batch)
        self._unshared: set[str] = set()
        context.follower.on_runners = self._push
        context.messenger.serve(ShareRunner, self._take_shared)

    def take(
        self, record: RunnerRecord, version: str = NO_VERSION
    ) -> "Deferred[Result[None, Fault]]":
        """Handle a runner's report with the version of its software.

        If it drains or is gone, a quorum knows it when this fires.
        """
        known = self._registry.get(record.runner)
        changed = self._register(record, version)
        now_known = self._registry.get(record.runner)
        if now_known is None:
            return succeed(Ok(None))
        if now_known.state == RunnerState.READY:
            return self._share_ready(now_known, now_known in changed)
        if known is not None and known.state == now_known.state and known.state != record.state:
            return succeed(Ok(None))
        return self._share(now_known)

    def take_deregistration(
        self, runner: str, born: int | None = None
    ) -> "Deferred[Result[None, Fault]]":
        """Handle a deregistration; ``born`` is the incarnation's start, None the known one."""
        return self.take(self._registry.gone_record(runner, born))

    def _register(self, record: RunnerRecord, version: str = NO_VERSION) -> list[RunnerRecord]:
        """Merge a report from any source; return the records that must be pushed to others."""
        merged = self._registry.take((record,))
        changed = _without_repetitions([*merged, *self._registry.note_version(record, version)])
        if changed:
            self._push(changed)
            for each in changed:
                log = logger.bind(runner=each.runner, service=each.service, state=each.state.value)
                log = log.bind(version=self._registry.versions.of(each))
                log.bind(address=each.address, sequence=each.sequence).info("runner_changed")
        return changed

    # --- other controllers ---------------------------------------------------------------

    def _share_ready(self, record: RunnerRecord, changed: bool) -> "Deferred[Result[None, Fault]]":
        """Share a ready runner only if nodes do not learn of it from this controller."""
        if self._views.is_followed() or not (changed or record.runner in self._unshared):
            return succeed(Ok(None))
        self._unshared.add(record.runner)
        return self._share(record).addCallback(self._ready_shared, record.runner)

    def _ready_shared(self, result: Result[None, Fault], runner: str) -> Result[None, Fault]:
        if result.is_ok():
            self._unshared.discard(runner)
        return result

    def _share(self, record: RunnerRecord) -> "Deferred[Result[None, Fault]]":
        """Send a record to the other voters, and wait until a quorum has acknowledged it."""
        own_address = self._context.node.address
        voters = self._views.voters()
        quorum = len(voters) // 2 + 1
        wait = QuorumWait(quorum, len(voters), "cluster.share_runner")
        if own_address in voters:
            self._keep((record,)).addCallback(wait.take)
        self._send_versions([name for name in voters if name != own_address], (record,))
        message = ShareRunner((record,))
        for name in voters:
            if name != own_address:
                self._call(name, message).addCallback(wait.take)
        return wait.done

    def _call(self, controller: str, message: ShareRunner) -> "Deferred[Result[Any, Fault]]":
        timeout_s = self._context.settings.share_within_s
        return self._context.messenger.call(controller, message, timeout_s)

    def _take_shared(self, source: str, message: ShareRunner) -> "Deferred[Any]":
        for record in message.records:
            self._register(record)
        kept = self._keep(message.records)
        return kept.addCallback(lambda result: result if result.is_error() else RunnerShared())

    def _keep(self, records: tuple[RunnerRecord, ...]) -> "Deferred[Result[None, Fault]]":
        """Fire once the records that must survive a restart are on disk: all but ready ones."""
        if all(record.state == RunnerState.READY for record in records):
            return succeed(Ok(None))
        return self._journal.sync()

    # --- nodes ---------------------------------------------------------------------------

    def _push(self, changed: list[RunnerRecord]) -> None:
        self._journal.note(changed)
        self._versions.changed()
        self._pushes.add(changed)

    def _count_followers(self) -> int:
        return len(self._context.live_nodes())

    def _push_batch(self, changed: tuple[RunnerRecord, ...]) -> None:
        previous, self._pushed_revision = self._pushed_revision, self._registry.revision
        update = RunnerUpdate(self._context.epoch, previous, self._registry.revision, changed)
        nodes = self._context.live_nodes()
        self._send_versions(nodes, changed)
        self._context.messenger.send_all(nodes, update)

    def _send_versions(self, nodes: Iterable[str], records: Iterable[RunnerRecord]) -> None:
        """Send the versions of runners, ahead of their records, to the nodes that know them."""
        messenger = self._context.messenger
        page = encode_versions(self._registry.versions.of_all(records))
        if page:
            supporting = [
                each for each in nodes if messenger.extension_level(each) >= STREAM_ORIGINS
            ]
            messenger.send_all(supporting, RunnerVersions(page))


def _without_repetitions(records: list[RunnerRecord]) -> list[RunnerRecord]:
    return list({record.runner: record for record in records}.values())
