"""A gateway's local copy of the configuration, kept fresh by long polls to the leader."""

import random as random_module
from collections.abc import Callable
from dataclasses import replace

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ControlClient
from rainsail.control.messages import ConfigPoll, ConfigPollReply, ListReply, ListRequest
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
from rainsail.state.commands import MUST_NOT_EXIST, ROOT_GROUP, PutResource, ResourceChanged
from rainsail.wire.messenger import Messenger


def revision_admitted(current: int, offered: int) -> bool:
    """Tell whether a view at ``current`` may move to ``offered``: revisions never fall."""
    return offered >= current


def lease_holds(now_s: float, sent_s: float, lease_s: float) -> bool:
    """Tell whether a lease of ``lease_s``, counted from the poll's sending, holds now."""
    return now_s < sent_s + lease_s


class ConfigView:
    """Registers the gateway, lists once through the leader, then follows (``ConfigReader``)."""

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
        self._spec = replace(spec, incarnation=incarnation)
        self._client = client
        self._clock = clock
        self._random = random
        self._settings = settings
        self._table = ResourceTable()
        self._listeners: list[Callable[[WatchEvent], None]] = []
        self._lease_sent_s = 0.0
        self._lease_s = 0.0
        self._registrations = 0
        self._registered_revision = 0
        self._list_due = True
        self._running = False
        self.revision = 0
        self.in_force_revision = 0
        self._listed = False

    def start(self) -> None:
        """Begin to follow the configuration; ``ready`` turns true after the first list."""
        if not self._running:
            self._running = True
            Deferred.fromCoroutine(self._follow())

    def stop(self) -> None:
        """Stop polling; the lease runs out by itself."""
        self._running = False

    def ready(self) -> bool:
        """Tell whether a first full list has been read."""
        return self._listed

    def lease_valid(self) -> bool:
        """Tell whether the configuration lease holds now."""
        return self._listed and lease_holds(
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
        """Do the next thing that is due; return whether it succeeded."""
        if self._list_due:
            return await self._list()
        if not self._registered():
            return await self._register()
        return await self._poll()

    async def _list(self) -> bool:
        answer: Result[ListReply, Fault] = await self._client.call(
            ListRequest(ROOT_GROUP, ()), self._settings.request_timeout_s
        )
        if answer.is_error() or not self._running:
            return False
        return self.apply_list(answer.ok)

    def _registered(self) -> bool:
        """Tell whether the Gateway resource names this incarnation (or is on its way here)."""
        if self.revision < self._registered_revision:
            return True
        mine = self._table.get(ResourceKey(Kind.GATEWAY, self._gateway))
        return (
            mine is not None
            and isinstance(mine.spec, GatewaySpec)
            and mine.spec.incarnation == self._incarnation
        )

    async def _register(self) -> bool:
        key = ResourceKey(Kind.GATEWAY, self._gateway)
        current = self._table.get(key)
        self._registrations += 1
        change_id = f"{self._gateway}/{self._incarnation}/{self._registrations}"
        command = PutResource(
            change_id,
            key,
            self._spec_to_register(current),
            MUST_NOT_EXIST if current is None else current.revision,
        )
        answer = await self._client.propose(command, self._settings.request_timeout_s)
        if answer.is_error():
            self._list_due = True
            return False
        if isinstance(answer.ok, ResourceChanged):
            self._registered_revision = answer.ok.revision
        return True

    def _spec_to_register(self, current: Resource | None) -> GatewaySpec:
        """Return this process's spec; an operator's drain outlasts a restart."""
        if current is not None and isinstance(current.spec, GatewaySpec):
            return replace(self._spec, drain=self._spec.drain or current.spec.drain)
        return self._spec

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
        """Tell whether the lease outlasts a poll that waits its whole time."""
        needed_s = self._settings.poll_wait_s + self._settings.poll_grace_s
        return lease_holds(now_s + needed_s, self._lease_sent_s, self._lease_s)

    def apply_reply(self, reply: ConfigPollReply, sent_s: float) -> None:
        """Take the reply to a poll sent at ``sent_s``; one at a lower revision is refused."""
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

    def apply_list(self, reply: ListReply) -> bool:
        """Take a full list; one at a lower revision is refused."""
        if not revision_admitted(self.revision, reply.revision):
            return False
        listed = {resource.key: resource for resource in reply.resources}
        changes = [
            WatchEvent(EventType.DELETED, reply.revision, old)
            for old in self._table.all_resources()
            if old.key not in listed
        ]
        changes += [
            WatchEvent(EventType.PUT, new.revision, new)
            for new in sorted(reply.resources, key=lambda each: each.revision)
            if self._table.get(new.key) != new
        ]
        self._listed = True
        self._list_due = False
        for change in sorted(changes, key=lambda each: each.revision):
            self._table.apply(change)
            for listener in self._listeners:
                listener(change)
        self.revision = reply.revision
        self.in_force_revision = max(self.in_force_revision, reply.in_force_revision)
        return True

    def _retry_wait_s(self, failures: int) -> float:
        longest_s = min(
            self._settings.backoff_limit_s, self._settings.backoff_first_s * 2 ** min(failures, 16)
        )
        return longest_s * self._random.uniform(0.5, 1.0)
