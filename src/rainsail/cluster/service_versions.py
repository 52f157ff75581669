"""Which software versions a service has, as a quorum of controllers knows it.

A node knows only what the controllers that it follows have told it. In a partition two gateways may
each know one version of a service, and not the same one. So a stream begins at a version only once
a quorum of controllers knows that the service has it, and a stream of unknown origin continues at a
gateway's only version only if a quorum knows of no other. Two quorums share a controller.

A controller knows the versions of the runners in its registry, and those that gateways have shared
with it and renew. It stores the latter before it acknowledges them, since a gateway that relies on
the acknowledgement may not reach it again after a restart. After its start it does not count for a
quorum before gateways have had the time to share again, as its disk may have been lost. That is
ruled out where it has founded the fleet since its start: no stream began before the first routing
table.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from expression import Ok, Result
from twisted.internet.defer import Deferred

from rainsail.cluster.registry import GONE_VERSION_TTL_S, RunnerRegistry
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.cluster.stream_origins import REPORTS_WAIT_S, TOLD_AGAIN_WITHIN_S
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import Messenger
from rainsail.wire.names import wire_type

MAX_SHARED = 10_000
"""Limit on the versions that gateways have shared with one controller."""


@wire_type("ServiceVersions")
@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """A service and versions of its runners, those of gone and former ones included."""

    service: str
    versions: tuple[str, ...]


@wire_record("ShareServiceVersions")
@dataclass(frozen=True, slots=True)
class ShareServiceVersions:
    """From a gateway: versions that it knows; asks for all that the controller knows."""

    services: tuple[ServiceVersions, ...]


@wire_record("KnownServiceVersions")
@dataclass(frozen=True, slots=True)
class KnownServiceVersions:
    """The versions that a controller knows of the services it was asked about.

    ``is_settled``: it has run for long enough to know what it was told before its start.
    """

    services: tuple[ServiceVersions, ...]
    is_settled: bool


class SharedVersionStore(Protocol):
    """Keeps the shared versions across restarts of a controller."""

    def load(self) -> tuple[tuple[str, str], ...]:
        """Return the stored services and versions."""
        ...

    async def write(self, pairs: Iterable[tuple[str, str]]) -> Result[None, Fault]:
        """Replace what is stored; done once it is durable."""
        ...


class NoSharedVersionStore:
    """``SharedVersionStore`` of a controller that never restarts."""

    def load(self) -> tuple[tuple[str, str], ...]:
        """Return nothing."""
        return ()

    async def write(self, pairs: Iterable[tuple[str, str]]) -> Result[None, Fault]:
        """Do nothing."""
        return Ok(None)


class ServiceVersionKeeper:
    """A controller's part: keeps the versions that gateways share, and answers with all known."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        registry: RunnerRegistry,
        store: SharedVersionStore | None = None,
        has_founded: Callable[[], bool] = lambda: False,
    ) -> None:
        """``has_founded``: this controller has founded the fleet since its start."""
        self._clock = clock
        self._registry = registry
        self._store = store or NoSharedVersionStore()
        self._has_founded = has_founded
        self._started_s = clock.seconds()
        self._durable = frozenset(self._store.load())
        self._shared = OrderedDict.fromkeys(sorted(self._durable), self._started_s)
        """When each service and version was last shared, the one longest ago first."""
        self._unstored: list[tuple[Deferred[KnownServiceVersions | Fault], ShareServiceVersions]]
        self._unstored = []
        """Calls with versions that are not durable yet; they are answered once these are."""
        self._is_writing = False
        messenger.serve(ShareServiceVersions, self._take)

    def _take(
        self, source: str, message: ShareServiceVersions
    ) -> "KnownServiceVersions | Deferred[KnownServiceVersions | Fault]":
        now = self._clock.seconds()
        pairs = [(each.service, version) for each in message.services for version in each.versions]
        for pair in pairs:
            self._shared[pair] = now
            self._shared.move_to_end(pair)
        self._drop_expired(now)
        if self._durable.issuperset(pairs):
            return self._answer(message)
        stored: Deferred[KnownServiceVersions | Fault] = Deferred()
        self._unstored.append((stored, message))
        self._write()
        return stored

    def _answer(self, message: ShareServiceVersions) -> KnownServiceVersions:
        return KnownServiceVersions(
            tuple(
                ServiceVersions(each.service, self._known(each.service))
                for each in message.services
            ),
            self._is_settled(self._clock.seconds()),
        )

    def _write(self) -> None:
        """Store the shared versions, then answer the calls that wait for it."""
        if self._is_writing or not self._unstored:
            return
        self._is_writing = True
        waiting, self._unstored = self._unstored, []
        pairs = frozenset(self._shared)
        written = Deferred.fromCoroutine(self._store.write(sorted(pairs)))
        written.addCallback(self._written, pairs, waiting)

    def _written(
        self,
        result: Result[None, Fault],
        pairs: frozenset[tuple[str, str]],
        waiting: "list[tuple[Deferred[KnownServiceVersions | Fault], ShareServiceVersions]]",
    ) -> None:
        self._is_writing = False
        if result.is_ok():
            self._durable = pairs
        else:
            logger.bind(fault=str(result.error)).warning("service_versions_not_written")
        for stored, message in waiting:
            stored.callback(self._answer(message) if result.is_ok() else result.error)
        self._write()

    def _known(self, service: str) -> tuple[str, ...]:
        shared = {version for name, version in self._shared if name == service}
        own = self._registry.versions_by_service().get(service, frozenset())
        return tuple(sorted((shared | own) - {NO_VERSION}))

    def _is_settled(self, now: float) -> bool:
        if now < self._started_s + TOLD_AGAIN_WITHIN_S and not self._has_founded():
            return False
        return now >= self._started_s + REPORTS_WAIT_S or not self._registry.has_unheard()

    def _drop_expired(self, now: float) -> None:
        while self._shared:
            shared_s = next(iter(self._shared.values()))
            if len(self._shared) <= MAX_SHARED and now - shared_s <= GONE_VERSION_TTL_S:
                return
            self._shared.popitem(last=False)
