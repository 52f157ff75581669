"""Commands that change resources, and what applying them returns."""

from dataclasses import dataclass

from rainsail.resources.specs import Condition, Resource, ResourceKey, Spec, Status
from rainsail.wire.names import wire_type

ANY_REVISION = -1
"""``expected_revision`` of a change that does not care about the current revision."""
MUST_NOT_EXIST = 0
"""``expected_revision`` of a change that creates."""


@wire_type("PutResource")
@dataclass(frozen=True, slots=True)
class PutResource:
    """Create or replace a spec. ``change_id`` makes a re-sent change get its first answer."""

    change_id: str
    key: ResourceKey
    spec: Spec
    expected_revision: int = ANY_REVISION


@wire_type("DeleteResource")
@dataclass(frozen=True, slots=True)
class DeleteResource:
    """Delete a resource."""

    change_id: str
    key: ResourceKey
    expected_revision: int = ANY_REVISION


@wire_type("PutStatus")
@dataclass(frozen=True, slots=True)
class PutStatus:
    """Replace status and conditions; refused with a conflict when the revision moved on."""

    key: ResourceKey
    status: Status | None
    conditions: tuple[Condition, ...]
    expected_revision: int = ANY_REVISION


@wire_type("MarkInForce")
@dataclass(frozen=True, slots=True)
class MarkInForce:
    """Record that every gateway under a configuration lease has applied ``revision``."""

    revision: int


@wire_type("ResourceChanged")
@dataclass(frozen=True, slots=True)
class ResourceChanged:
    """The resource after the change (for a deletion: as it last was) and the store revision."""

    resource: Resource
    revision: int
