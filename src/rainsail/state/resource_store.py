"""Resources under one store revision, and the window of recent events for watches.

Each change of a resource increments the store revision and records one event, so event numbers
have no gaps. Writing a status that equals the stored one is not a change.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from sortedcontainers import SortedDict

from rainsail.errors import Fault
from rainsail.resources.specs import (
    SPEC_TYPES,
    EventType,
    Kind,
    Resource,
    ResourceKey,
    SessionStatus,
    WatchEvent,
)
from rainsail.state.commands import (
    ANY_REVISION,
    DeleteResource,
    Done,
    MarkInForce,
    PutResource,
    PutStatus,
    ResourceChanged,
    SessionView,
)
from rainsail.state.faults import conflict, invalid, not_found
from rainsail.wire.codec import wire_record


@wire_record("StoreRevisions")
@dataclass(frozen=True, slots=True)
class StoreRevisions:
    """The revisions of a resource store, in a snapshot."""

    revision: int
    in_force_revision: int


@wire_record("StoredEvent")
@dataclass(frozen=True, slots=True)
class StoredEvent:
    """One event of the window, in a snapshot."""

    event: WatchEvent


def _name(key: ResourceKey) -> str:
    return f"{key.kind} {key.name!r}"


class ResourceStore:
    """Resources by kind and name, their revisions and recent events."""

    def __init__(self, event_window_count: int) -> None:
        self._event_window_count = event_window_count
        self._by_kind: dict[Kind, SortedDict] = {kind: SortedDict() for kind in Kind}
        self._events: dict[int, WatchEvent] = {}
        self._oldest_event = 1
        self.revision = 0
        self.in_force_revision = 0

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return self._by_kind[key.kind].get(key.name)

    def list_resources(self, kind: Kind | None = None) -> list[Resource]:
        """Return the resources of one kind, or of all kinds, in key order."""
        kinds = sorted(Kind) if kind is None else [kind]
        return [resource for each in kinds for resource in self._by_kind[each].values()]

    def events_since(self, revision: int, limit: int) -> list[WatchEvent] | None:
        """Return up to ``limit`` events after ``revision``, or None if some are compacted."""
        if revision + 1 < self._oldest_event:
            return None
        last = min(self.revision, revision + limit)
        return [self._events[number] for number in range(revision + 1, last + 1)]

    def put(self, command: PutResource) -> ResourceChanged | Fault:
        """Create a resource or replace its spec; status and conditions stay."""
        key = command.key
        if not key.name:
            return invalid("put_resource", "a resource needs a name")
        if type(command.spec) is not SPEC_TYPES[key.kind]:
            return invalid(
                "put_resource", f"{_name(key)} can't have a {type(command.spec).__name__}"
            )
        current = self.get(key)
        refusal = self._check_revision("put_resource", key, current, command.expected_revision)
        if refusal is not None:
            return refusal
        revision = self.revision + 1
        if current is None:
            changed = Resource(key, command.spec, revision, revision)
        else:
            changed = replace(current, spec=command.spec, revision=revision, generation=revision)
        return self._store(changed)

    def delete(self, command: DeleteResource) -> ResourceChanged | Fault:
        """Delete a resource; returns its last state."""
        current = self.get(command.key)
        if current is None:
            return not_found("delete_resource", f"there is no {_name(command.key)}")
        refusal = self._check_revision(
            "delete_resource", command.key, current, command.expected_revision
        )
        if refusal is not None:
            return refusal
        del self._by_kind[command.key.kind][command.key.name]
        self._record(EventType.DELETED, current, self.revision + 1)
        return ResourceChanged(current, self.revision)

    def put_status(self, command: PutStatus) -> ResourceChanged | Fault:
        """Replace status and conditions; the spec and its generation stay."""
        current = self.get(command.key)
        if current is None:
            return not_found("put_status", f"there is no {_name(command.key)}")
        refusal = self._check_revision(
            "put_status", command.key, current, command.expected_revision
        )
        if refusal is not None:
            return refusal
        if (current.status, current.conditions) == (command.status, command.conditions):
            return ResourceChanged(current, self.revision)
        changed = replace(
            current,
            status=command.status,
            conditions=command.conditions,
            revision=self.revision + 1,
        )
        return self._store(changed)

    def update_session_status(self, view: SessionView) -> None:
        """Write a session's gateway and runner to the status of its resource, if it has one."""
        current = self.get(ResourceKey(Kind.SESSION, view.session))
        if current is None:
            return
        status = SessionStatus(view.runner, view.gateway, view.fence, len(view.turns))
        if status != current.status:
            self._store(replace(current, status=status, revision=self.revision + 1))

    def mark_in_force(self, command: MarkInForce) -> Done:
        """Raise the revision in force; it never decreases or exceeds the store revision."""
        reached = min(command.revision, self.revision)
        self.in_force_revision = max(self.in_force_revision, reached)
        return Done()

    def _check_revision(
        self, step: str, key: ResourceKey, current: Resource | None, expected: int
    ) -> Fault | None:
        found = 0 if current is None else current.revision
        if expected in (ANY_REVISION, found):
            return None
        detail = f"{_name(key)} is at revision {found}, not {expected}"
        return conflict(step, detail, current_revision=found)

    def _store(self, resource: Resource) -> ResourceChanged:
        self._by_kind[resource.key.kind][resource.key.name] = resource
        self._record(EventType.PUT, resource, resource.revision)
        return ResourceChanged(resource, self.revision)

    def _record(self, type_: EventType, resource: Resource, revision: int) -> None:
        self.revision = revision
        self._events[revision] = WatchEvent(type_, revision, resource)
        while len(self._events) > self._event_window_count:
            del self._events[self._oldest_event]
            self._oldest_event += 1

    def records(self) -> Iterator[StoreRevisions | Resource | StoredEvent]:
        """Yield the whole store for a snapshot: revisions, then resources, then events."""
        yield StoreRevisions(self.revision, self.in_force_revision)
        yield from self.list_resources()
        for event in self._events.values():
            yield StoredEvent(event)

    def restore(self, record: StoreRevisions | Resource | StoredEvent) -> None:
        """Restore one record of a snapshot; records come in the order of ``records``."""
        if isinstance(record, StoreRevisions):
            self.revision = record.revision
            self.in_force_revision = record.in_force_revision
            self._oldest_event = record.revision + 1
        elif isinstance(record, Resource):
            self._by_kind[record.key.kind][record.key.name] = record
        else:
            self._oldest_event = min(self._oldest_event, record.event.revision)
            self._events[record.event.revision] = record.event
