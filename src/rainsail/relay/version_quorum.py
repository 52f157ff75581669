"""What a quorum of controllers knows of software versions; a gateway's part.

The controllers' part is ``cluster.service_versions``.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from expression import Result

from rainsail.cluster.follower import CALL_TIMEOUT_S, FleetFollower
from rainsail.cluster.known_controllers import HEARTBEAT_PERIOD_S
from rainsail.cluster.registry import GONE_VERSION_TTL_S
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.cluster.service_versions import (
    KnownServiceVersions,
    ServiceVersions,
    ShareServiceVersions,
)
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.origin_client import REPLY_TIMEOUT_S
from rainsail.runtime.clock import Clock
from rainsail.wire.extensions import SERVICE_VERSIONS
from rainsail.wire.messenger import Messenger

UPDATED_NEVER = (-1, float("-inf"))
RENEWAL_PERIOD_S = GONE_VERSION_TTL_S / 10
"""A gateway shares the versions that it knows again after this time."""


class SoleVersion(StrEnum):
    """Results of asking a quorum whether a version is the only one of its service."""

    CONFIRMED = "confirmed"
    OTHERS_KNOWN = "others_known"
    """A controller knows another version, which has not reached this gateway yet."""
    UNSURE = "unsure"
    """No quorum has answered in time."""


@dataclass(frozen=True, slots=True)
class SoleVersionAnswer:
    """The result, and the controllers that count for it."""

    result: SoleVersion
    controllers: tuple[str, ...] = ()


class VersionQuorum(Protocol):
    """What a quorum of controllers knows of the software versions of services."""

    def is_known(self, service: str, version: str) -> bool:
        """Tell whether a quorum knows that a service has a version; streams may begin at it."""
        ...

    def confirm_sole(
        self, service: str, version: str, answered: Callable[[SoleVersionAnswer], None]
    ) -> None:
        """Ask whether a service has only this version; calls ``answered`` at once or later."""
        ...


class NoVersionQuorum:
    """``VersionQuorum`` of a gateway without controllers: what it knows is all there is."""

    def is_known(self, service: str, version: str) -> bool:
        """Return True."""
        return True

    def confirm_sole(
        self, service: str, version: str, answered: Callable[[SoleVersionAnswer], None]
    ) -> None:
        """Confirm at once."""
        answered(SoleVersionAnswer(SoleVersion.CONFIRMED))


@dataclass(slots=True)
class SoleVersionPoll:
    """Counts the replies to one question; pure but for the call of ``answered``."""

    version: str
    quorum: int
    waiting: int
    answered: Callable[[SoleVersionAnswer], None]
    agreeing: list[str] = field(default_factory=list)
    is_over: bool = False

    def take(self, result: Result[KnownServiceVersions, Fault], controller: str) -> None:
        """Take one controller's reply; one that names another version decides."""
        self.waiting -= 1
        if self.is_over:
            return
        if result.is_ok():
            known = {version for each in result.ok.services for version in each.versions}
            if known - {self.version}:
                self._end(SoleVersion.OTHERS_KNOWN, (controller,))
                return
            if result.ok.is_settled:
                self.agreeing.append(controller)
        if len(self.agreeing) >= self.quorum:
            self._end(SoleVersion.CONFIRMED, tuple(self.agreeing))
        elif len(self.agreeing) + self.waiting < self.quorum:
            self._end(SoleVersion.UNSURE, tuple(self.agreeing))

    def _end(self, result: SoleVersion, controllers: tuple[str, ...]) -> None:
        self.is_over = True
        self.answered(SoleVersionAnswer(result, controllers))


@dataclass(slots=True)
class _Shared:
    """What one controller has acknowledged in one life of its process (``epoch``)."""

    epoch: int
    revision: int = -1
    """That of the pairs that it has acknowledged last."""
    at_s: float = float("-inf")
    is_waiting: bool = False


class ControllerVersionQuorum:
    """Implements ``VersionQuorum`` with the controllers that this gateway follows.

    Shares each new version with them as soon as it is known here, and again until a quorum has
    acknowledged it. Controllers of earlier versions can't: while one of them is in touch, what this
    gateway knows counts.
    """

    def __init__(
        self, messenger: Messenger, clock: Clock, follower: FleetFollower, metrics: NodeMetrics
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._follower = follower
        self._metrics = metrics
        self._controllers: dict[str, _Shared] = {}
        self._pairs: frozenset[tuple[str, str]] = frozenset()
        self._revision = 0
        self._updated_at = UPDATED_NEVER
        """The revision of the registry's versions by which the pairs were found, and the time."""
        self._acknowledged: dict[tuple[str, str], set[str]] = {}
        """The controllers that have acknowledged each service and version."""
        self._confirmed: set[tuple[str, str]] = set()
        """What a quorum has acknowledged.

        This does not expire: a gateway that is cut off for an hour goes on beginning streams.
        """
        follower.on_heard.append(self._share)

    # --- VersionQuorum ---------------------------------------------------------------------

    def is_known(self, service: str, version: str) -> bool:
        """Tell whether a quorum knows that a service has a version.

        Runners that state no version count as one version only where none states any.
        """
        if (service, version) in self._confirmed or self._is_unsupported():
            return True
        if version == NO_VERSION:
            versions = self._follower.registry.versions_by_service()
            return versions.get(service) == {NO_VERSION}
        if (service, version) not in self._pairs:
            self._updated_at = UPDATED_NEVER
            self._share()
        return False

    def confirm_sole(
        self, service: str, version: str, answered: Callable[[SoleVersionAnswer], None]
    ) -> None:
        """Ask the controllers whether a service has only this version."""
        if self._is_unsupported():
            answered(SoleVersionAnswer(SoleVersion.CONFIRMED))
            return

        def count(answer: SoleVersionAnswer) -> None:
            self._metrics.count("sole_versions_asked", outcome=answer.result.value)
            answered(answer)

        voters = self._voters()
        poll = SoleVersionPoll(version, _quorum(voters), len(voters), count)
        if not voters:
            count(SoleVersionAnswer(SoleVersion.UNSURE))
        message = _message({(service, version)} if version != NO_VERSION else set(), service)
        for controller in voters:
            reply = self._messenger.call(controller, message, REPLY_TIMEOUT_S)
            reply.addCallback(poll.take, controller)

    # --- sharing -----------------------------------------------------------------------------

    def _share(self) -> None:
        """Share the known versions with each controller that has not acknowledged them."""
        self._update_pairs()
        if not self._pairs:
            return
        in_touch = set(self._follower.controllers.in_touch())
        for controller in self._voters():
            if controller in in_touch and self._is_supporting(controller):
                self._share_with(controller)

    def _update_pairs(self) -> None:
        """Find the known pairs anew when a version is new, else once in a heartbeat period."""
        revision, now = self._follower.registry.versions.revision, self._clock.seconds()
        if revision == self._updated_at[0] and now - self._updated_at[1] < HEARTBEAT_PERIOD_S:
            return
        self._updated_at = revision, now
        by_service = self._follower.registry.versions_by_service()
        pairs = frozenset(
            (service, version)
            for service, versions in by_service.items()
            for version in versions
            if version != NO_VERSION
        )
        if pairs != self._pairs:
            self._pairs = pairs
            self._revision += 1
            for pair in self._acknowledged.keys() - pairs:
                del self._acknowledged[pair]
                self._confirmed.discard(pair)

    def _share_with(self, controller: str) -> None:
        known = self._follower.controllers.get(controller)
        epoch = known.epoch if known is not None else 0
        shared = self._controllers.get(controller)
        if shared is None or shared.epoch != epoch:
            shared = self._controllers[controller] = _Shared(epoch)
        is_current = shared.revision == self._revision
        is_fresh = self._clock.seconds() - shared.at_s < RENEWAL_PERIOD_S
        if shared.is_waiting or (is_current and is_fresh):
            return
        shared.is_waiting = True
        reply = self._messenger.call(controller, _message(set(self._pairs)), CALL_TIMEOUT_S)
        reply.addCallback(self._shared, controller, shared, self._pairs, self._revision)

    def _shared(
        self,
        result: Result[KnownServiceVersions, Fault],
        controller: str,
        shared: _Shared,
        pairs: frozenset[tuple[str, str]],
        revision: int,
    ) -> None:
        shared.is_waiting = False
        if result.is_error():
            return
        shared.revision, shared.at_s = revision, self._clock.seconds()
        for pair in pairs & self._pairs:
            self._acknowledged.setdefault(pair, set()).add(controller)
        self._confirm(pairs & self._pairs)
        if revision != self._revision:
            self._share()

    def _confirm(self, pairs: frozenset[tuple[str, str]]) -> None:
        """Note which versions a quorum has acknowledged by now."""
        voters = self._voters()
        for service, version in sorted(pairs - self._confirmed):
            knowing = [name for name in voters if name in self._acknowledged[service, version]]
            if len(knowing) >= _quorum(voters):
                self._confirmed.add((service, version))
                log = logger.bind(service=service, version=version, controllers=knowing)
                log.info("service_version_confirmed")

    # --- controllers ---------------------------------------------------------------------------

    def _voters(self) -> tuple[str, ...]:
        controllers = self._follower.controllers
        return controllers.voters() or controllers.addresses()

    def _is_supporting(self, controller: str) -> bool:
        return self._messenger.extension_level(controller) >= SERVICE_VERSIONS

    def _is_unsupported(self) -> bool:
        """Tell whether a controller in touch is of a version without this extension."""
        in_touch = self._follower.controllers.in_touch()
        return not all(map(self._is_supporting, in_touch))


def _quorum(voters: tuple[str, ...]) -> int:
    return len(voters) // 2 + 1


def _message(pairs: set[tuple[str, str]], asked: str = "") -> ShareServiceVersions:
    """Return the message that shares versions; ``asked`` is a service to ask about without any."""
    services: dict[str, list[str]] = {asked: []} if asked else {}
    for service, version in sorted(pairs):
        services.setdefault(service, []).append(version)
    return ShareServiceVersions(
        tuple(ServiceVersions(name, tuple(versions)) for name, versions in services.items())
    )
