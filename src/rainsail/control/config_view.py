"""A gateway's local copy of the configuration, kept up to date by long polls to the leader."""

import random as random_module
from collections.abc import Callable
from dataclasses import replace

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.control.gateway_registration import GatewayRegistration
from rainsail.control.interface import ControlClient
from rainsail.control.messages import ConfigPoll, ConfigPollReply, ConfigRelease
from rainsail.control.paged_list import PagedList, read_all_pages
from rainsail.control.resource_table import ResourceTable
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault
from rainsail.resources.specs import (
    EventType,
    GatewaySpec,
    Kind,
    Resource,
    ResourceKey,
    WatchEvent,
)
from rainsail.runtime.clock import Clock, sleep
from rainsail.state.commands import ROOT_GROUP
from rainsail.wire.messenger import Messenger


def revision_admitted(current: int, offered: int) -> bool:
    """Tell whether a view at ``current`` may move to ``offered``: a view's revision never falls."""
    return offered >= current


def lease_holds(now_s: float, sent_s: float, lease_s: float) -> bool:
    """Tell whether a lease of ``lease_s``, counted from when the poll was sent, is valid now."""
    return now_s < sent_s + lease_s


class ConfigView:
    """Implements ``ConfigReader``: lists through the leader, registers the gateway, then polls."""

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        spec: GatewaySpec,
        messenger: Messenger,
        client: ControlClient,
        clock: Clock,
        random: random_module.Random,
        settings: ControlSettings,
    ) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self._client = client
        self._registration = GatewayRegistration(
            client, gateway, replace(spec, incarnation=incarnation), settings.request_timeout_s
        )
        self._clock = clock
        self._random = random
        self._settings = settings
        self._table = ResourceTable()
        self._listeners: list[Callable[[WatchEvent], None]] = []
        self._lease_sent_s = 0.0
        self._lease_s = 0.0
        self._list_due = True
        self._complete_revision = 0
        self._running = False
        self.revision = 0
        self.in_force_revision = 0
        self._listed = False

    def start(self) -> None:
        """Start to follow the configuration; ``ready`` becomes true after the first list."""
        if not self._running:
            self._running = True
            Deferred.fromCoroutine(self._follow())

    def stop(self) -> None:
        """Stop serving and polling, and release the lease so that the leader does not wait."""
        if not self._running:
            return
        self._running = False
        self._lease_s = 0.0
        release = ConfigRelease(ROOT_GROUP, self._gateway, self._incarnation)
        self._client.call(release, self._settings.attempt_timeout_s)

    def ready(self) -> bool:
        """Tell whether a full list and the changes made while it was read have been applied."""
        return self._listed and self.revision >= self._complete_revision

    def lease_valid(self) -> bool:
        """Tell whether the configuration lease is valid now."""
        return self.ready() and lease_holds(
            self._clock.seconds(), self._lease_sent_s, self._lease_s
        )

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return self._table.get(key)

    def list_resources(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind in name order."""
        return self._table.list_resources(kind)

    def on_event(self, listener: Callable[[WatchEvent], None]) -> None:
        """Call ``listener`` with each change as it is applied, in revision order."""
        self._listeners.append(listener)

    async def _follow(self) -> None:
        failures = 0
        while self._running:
            if await self._step():
                failures = 0
                continue
            failures += 1
            await sleep(self._clock, self._retry_wait_s(failures))

    async def _step(self) -> bool:
        """List, register or poll, whichever is due next; return whether it succeeded."""
        if self._list_due:
            return await self._list()
        if not self._registration.is_current(
            self._table.get(self._registration.key), self.revision
        ):
            return await self._register()
        return await self._poll()

    async def _list(self) -> bool:
        answer = await read_all_pages(
            self._client, self._settings.list_page_resources, self._settings.request_timeout_s
        )
        if answer.is_error() or not self._running:
            return False
        return self.apply_list(answer.ok)

    async def _register(self) -> bool:
        done = await self._registration.register(self._table.get(self._registration.key))
        self._list_due = not done
        return done

    async def _poll(self) -> bool:
        sent_s = self._clock.seconds()
        wait_s = self._settings.poll_wait_s if self._lease_lasts(sent_s) else 0.0
        poll = ConfigPoll(ROOT_GROUP, self._gateway, self._incarnation, self.revision, wait_s)
        answer: Result[ConfigPollReply, Fault] = await self._client.call(
            poll, wait_s + self._settings.poll_grace_s
        )
        if answer.is_error() or not self._running:
            return False
        self.apply_reply(answer.ok, sent_s)
        return True

    def _lease_lasts(self, now_s: float) -> bool:
        """Tell whether the lease outlasts a poll that waits for its full time."""
        needed_s = self._settings.poll_wait_s + self._settings.poll_grace_s
        return lease_holds(now_s + needed_s, self._lease_sent_s, self._lease_s)

    def apply_reply(self, reply: ConfigPollReply, sent_s: float) -> None:
        """Apply the reply to a poll sent at ``sent_s``; a lower revision is ignored."""
        if not revision_admitted(self.revision, reply.revision):
            return
        if reply.compacted:
            self._list_due = True
            return
        self._apply_events(reply.events)
        self.in_force_revision = max(self.in_force_revision, reply.in_force_revision)
        if reply.lease_s > 0.0:
            self._lease_sent_s = sent_s
            self._lease_s = reply.lease_s

    def _apply_events(self, events: tuple[WatchEvent, ...]) -> None:
        start = self.revision
        for event in events:
            if event.revision > start and revision_admitted(self.revision, event.revision):
                self._apply_event(event)

    def _apply_event(self, event: WatchEvent) -> None:
        self.revision = event.revision
        self._table.apply(event)
        for listener in self._listeners:
            listener(event)

    def apply_list(self, full: PagedList) -> bool:
        """Apply a full list; returns False for one at a lower revision, which is ignored."""
        if not revision_admitted(self.revision, full.revision):
            return False
        if not self._listed:
            self._complete_revision = full.complete_revision
        for change in self._changes_to(full):
            self._apply_event(change)
        self.revision = full.revision
        self.in_force_revision = max(self.in_force_revision, full.in_force_revision)
        self._listed = True
        self._list_due = False
        return True

    def _changes_to(self, full: PagedList) -> list[WatchEvent]:
        """Return the changes that the list makes to this view, in revision order.

        Resources newer than the list's revision are skipped: they arrive as events later.
        """
        listed = {resource.key: resource for resource in full.resources}
        deleted = [
            WatchEvent(EventType.DELETED, full.revision, old)
            for old in self._table.all_resources()
            if old.key not in listed
        ]
        put = [
            WatchEvent(EventType.PUT, new.revision, new)
            for new in full.resources
            if new.revision <= full.revision and self._table.get(new.key) != new
        ]
        return sorted(put, key=lambda event: event.revision) + deleted

    def _retry_wait_s(self, failures: int) -> float:
        longest_s = min(
            self._settings.backoff_limit_s, self._settings.backoff_first_s * 2 ** min(failures, 16)
        )
        return longest_s * self._random.uniform(0.5, 1.0)
