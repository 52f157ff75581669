"""Commands that change resources, and their outcomes."""

from dataclasses import dataclass

from rainsail.resources.specs import Condition, Resource, ResourceKey, Spec, Status
from rainsail.wire.names import wire_type

ANY_REVISION = -1
"""``expected_revision`` of a change that applies at any revision."""
MUST_NOT_EXIST = 0
"""``expected_revision`` of a change that creates a resource."""


@wire_type("PutResource")
@dataclass(frozen=True, slots=True)
class PutResource:
    """Create a resource or replace its spec. ``change_id`` makes the command idempotent."""

    change_id: str
    key: ResourceKey
    spec: Spec
    expected_revision: int = ANY_REVISION


@wire_type("DeleteResource")
@dataclass(frozen=True, slots=True)
class DeleteResource:
    """Delete a resource. ``change_id`` makes the command idempotent."""

    change_id: str
    key: ResourceKey
    expected_revision: int = ANY_REVISION


@wire_type("PutStatus")
@dataclass(frozen=True, slots=True)
class PutStatus:
    """Replace status and conditions; a conflict if ``expected_revision`` is outdated."""

    key: ResourceKey
    status: Status | None
    conditions: tuple[Condition, ...]
    expected_revision: int = ANY_REVISION


@wire_type("MarkInForce")
@dataclass(frozen=True, slots=True)
class MarkInForce:
    """Record that every gateway with a configuration lease has applied ``revision``."""

    revision: int


@wire_type("ResourceChanged")
@dataclass(frozen=True, slots=True)
class ResourceChanged:
    """The resource after the change (before it, for a deletion) and the store revision."""

    resource: Resource
    revision: int
