"""A ``ConfigReader`` straight over a replicated state in the same process."""

from collections.abc import Callable

from rainsail.resources.specs import Kind, Resource, ResourceKey, WatchEvent
from rainsail.state.machine import ReplicatedState

EVENT_PAGE = 1000
"""Events read from the state at a time."""


class LocalConfig:
    """Reads the state itself; ``publish`` tells the listeners what is new."""

    def __init__(self, state: ReplicatedState) -> None:
        self._state = state
        self._listeners: list[Callable[[WatchEvent], None]] = []
        self.revision = state.revision
        self.valid = True

    def ready(self) -> bool:
        """Tell that the state can be read: always."""
        return True

    def lease_valid(self) -> bool:
        """Tell whether the configuration lease holds; ``valid`` sets it."""
        return self.valid

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return self._state.get(key)

    def list_resources(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind in name order."""
        return self._state.list_resources(kind)

    def on_event(self, listener: Callable[[WatchEvent], None]) -> None:
        """Call ``listener`` with each change when it is published."""
        self._listeners.append(listener)

    def publish(self) -> None:
        """Tell the listeners every change since the last call."""
        events = self._state.events_since(self.revision, EVENT_PAGE) or []
        for event in events:
            self.revision = event.revision
            for listener in self._listeners:
                listener(event)
