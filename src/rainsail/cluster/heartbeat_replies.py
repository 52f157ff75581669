"""What a controller answers to beats, made once for the many nodes that get the same."""

from collections.abc import Callable

from rainsail.cluster.known_controllers import EMPTY_VIEW
from rainsail.cluster.messages import FleetView, RunnerPage
from rainsail.cluster.registry import RunnerRegistry
from rainsail.wire.codec import encode

VIEW_REFRESH_PERIOD_S = 0.05
"""A view is made anew after this time: hundreds of nodes ask for it each second."""


class NumberedView:
    """The latest view, made anew now and then, and a number that rises when it has changed."""

    def __init__(self, make: Callable[[float], FleetView]) -> None:
        self.view = EMPTY_VIEW
        self.number = 0
        self._make = make
        self._made_s = float("-inf")

    def current(self, now: float) -> FleetView:
        """Return the view of now, or of a moment ago."""
        if now - self._made_s >= VIEW_REFRESH_PERIOD_S:
            self._made_s = now
            view = self._make(now)
            if view != self.view or not self.number:
                self.view = view
                self.number += 1
        return self.view


class RunnerPages:
    """Encoded runners by the revision after which they have changed."""

    def __init__(self, registry: RunnerRegistry) -> None:
        self._registry = registry
        self._pages: dict[int, bytes] = {}
        self._made_at_revision = 0

    def since(self, revision: int) -> bytes:
        """Return the encoded runners that changed after a revision; empty when none has."""
        newest = self._registry.revision
        if revision == newest:
            return b""
        if self._made_at_revision != newest:
            self._made_at_revision = newest
            self._pages.clear()
        page = self._pages.get(revision)
        if page is None:
            changed = self._registry.changed_since(revision)
            page = self._pages[revision] = encode(RunnerPage(changed)) if changed else b""
        return page
