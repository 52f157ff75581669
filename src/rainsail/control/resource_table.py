"""An in-memory table of resources, keyed by kind and name."""

from rainsail.resources.specs import EventType, Kind, Resource, ResourceKey, WatchEvent


class ResourceTable:
    """Resources by key; lists are in name order."""

    def __init__(self) -> None:
        self._by_kind: dict[Kind, dict[str, Resource]] = {}

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return self._by_kind.get(key.kind, {}).get(key.name)

    def list_resources(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind in name order."""
        named = self._by_kind.get(kind, {})
        return [named[name] for name in sorted(named)]

    def all_resources(self) -> list[Resource]:
        """Return every resource, in order of kind and name."""
        return [each for kind in Kind for each in self.list_resources(kind)]

    def apply(self, event: WatchEvent) -> None:
        """Apply one change."""
        named = self._by_kind.setdefault(event.resource.key.kind, {})
        if event.type == EventType.DELETED:
            named.pop(event.resource.key.name, None)
        else:
            named[event.resource.key.name] = event.resource
