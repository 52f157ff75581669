"""Which software versions a service has, as a quorum of controllers knows it.

A node knows only what the controllers that it follows have told it. In a partition two gateways may
each know one version of a service, and not the same one. So a stream begins at a version only once
a quorum of controllers knows that the service has it, and a stream of unknown origin continues at a
gateway's only version only if a quorum knows of no other. Two quorums share a controller.

A controller knows the versions of the runners in its registry, and those that gateways have shared
with it. The latter are soft state that gateways renew. After its start a controller does not count
for a quorum before they have had the time to do so.
"""

from collections import OrderedDict
from dataclasses import dataclass

from rainsail.cluster.registry import GONE_VERSION_TTL_S, RunnerRegistry
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.cluster.stream_origins import REPORTS_WAIT_S
from rainsail.runtime.clock import Clock
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import Messenger
from rainsail.wire.names import wire_type

SHARED_AGAIN_WITHIN_S = 2.5
"""Within this time after a controller's start each gateway in touch has shared its versions again:
two heartbeats and their replies."""
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


class ServiceVersionKeeper:
    """A controller's part: keeps the versions that gateways share, and answers with all known."""

    def __init__(self, messenger: Messenger, clock: Clock, registry: RunnerRegistry) -> None:
        self._clock = clock
        self._registry = registry
        self._started_s = clock.seconds()
        self._shared: OrderedDict[tuple[str, str], float] = OrderedDict()
        """When each service and version was last shared, the one longest ago first."""
        messenger.serve(ShareServiceVersions, self._take)

    def _take(self, source: str, message: ShareServiceVersions) -> KnownServiceVersions:
        now = self._clock.seconds()
        for each in message.services:
            for version in each.versions:
                self._shared[each.service, version] = now
                self._shared.move_to_end((each.service, version))
        self._drop_expired(now)
        return KnownServiceVersions(
            tuple(
                ServiceVersions(each.service, self._known(each.service))
                for each in message.services
            ),
            self._is_settled(now),
        )

    def _known(self, service: str) -> tuple[str, ...]:
        shared = {version for name, version in self._shared if name == service}
        own = self._registry.versions_by_service().get(service, frozenset())
        return tuple(sorted((shared | own) - {NO_VERSION}))

    def _is_settled(self, now: float) -> bool:
        if now < self._started_s + SHARED_AGAIN_WITHIN_S:
            return False
        return now >= self._started_s + REPORTS_WAIT_S or not self._registry.has_unheard()

    def _drop_expired(self, now: float) -> None:
        while self._shared:
            shared_s = next(iter(self._shared.values()))
            if len(self._shared) <= MAX_SHARED and now - shared_s <= GONE_VERSION_TTL_S:
                return
            self._shared.popitem(last=False)
