"""Contents of heartbeat replies, built once and shared by all nodes that need the same."""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.cluster.known_controllers import EMPTY_VIEW
from rainsail.cluster.messages import FleetView, RunnerPage, RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.runner_versions import encode_versions
from rainsail.wire.codec import encode

VIEW_REFRESH_PERIOD_S = 0.05
"""The view is rebuilt at most this often, since hundreds of nodes request it each second."""


class NumberedView:
    """A cached view, rebuilt periodically, with a number that increases whenever it changes."""

    def __init__(self, make: Callable[[float], FleetView]) -> None:
        self.view = EMPTY_VIEW
        self.number = 0
        self._make = make
        self._made_s = float("-inf")

    def current(self, now: float) -> FleetView:
        """Return the view, rebuilt if it is older than ``VIEW_REFRESH_PERIOD_S``."""
        if now - self._made_s >= VIEW_REFRESH_PERIOD_S:
            self._made_s = now
            view = self._make(now)
            if view != self.view or not self.number:
                self.view = view
                self.number += 1
        return self.view


@dataclass(frozen=True, slots=True)
class EncodedRunners:
    """An encoded ``RunnerPage`` and the encoded ``RunnerVersionPage`` of its runners."""

    runners: bytes = b""
    versions: bytes = b""


class RunnerPages:
    """Cache of encoded pages: the runners that changed after a given registry revision."""

    def __init__(self, registry: RunnerRegistry) -> None:
        self._registry = registry
        self._pages: dict[int, EncodedRunners] = {}
        self._made_at_revision = 0

    def since(self, revision: int) -> EncodedRunners:
        """Return the encoded runners that changed after a revision; empty if none did."""
        newest = self._registry.revision
        if revision == newest:
            return EncodedRunners()
        if self._made_at_revision != newest:
            self._made_at_revision = newest
            self._pages.clear()
        page = self._pages.get(revision)
        if page is None:
            changed = self._registry.changed_since(revision)
            page = self._pages[revision] = self._encode(changed)
        return page

    def _encode(self, changed: tuple[RunnerRecord, ...]) -> EncodedRunners:
        if not changed:
            return EncodedRunners()
        versions = self._registry.versions.of_all(changed)
        return EncodedRunners(encode(RunnerPage(changed)), encode_versions(versions))
