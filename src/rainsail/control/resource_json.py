"""Converts resources to and from JSON objects for the operator API and the command line."""

import dataclasses
import json
from functools import cache
from typing import Any

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from rainsail.control.spec_rules import spec_problem
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import (
    SPEC_TYPES,
    EventType,
    Kind,
    Resource,
    Spec,
    WatchEvent,
)

JsonObject = dict[str, Any]
"""A JSON object; used only at the boundary to HTTP or files, not inside the system."""

STEP = "resource_json.read"


def kind_from_text(text: str) -> Result[Kind, Fault]:
    """Return the kind with that name, ignoring case."""
    for kind in Kind:
        if kind.value.lower() == text.lower():
            return Ok(kind)
    names = ", ".join(kind.value for kind in Kind)
    return Error(Fault(FaultCode.INVALID, STEP, f"kind: {text!r} is none of {names}"))


def json_value(value: Any) -> Any:
    """Return a record as plain JSON values."""
    return dataclasses.asdict(value) if dataclasses.is_dataclass(value) else value  # type: ignore[arg-type]


def resource_to_json(resource: Resource, in_force_revision: int | None = None) -> JsonObject:
    """Return a resource as a JSON object.

    With ``in_force_revision`` the conditions include whether every gateway has applied its spec.
    """
    conditions = [json_value(condition) for condition in resource.conditions]
    if in_force_revision is not None:
        conditions.append(_in_force_condition(resource, in_force_revision))
    return {
        "kind": resource.key.kind.value,
        "name": resource.key.name,
        "revision": resource.revision,
        "generation": resource.generation,
        "spec": json_value(resource.spec),
        "status": None if resource.status is None else json_value(resource.status),
        "conditions": conditions,
    }


def _in_force_condition(resource: Resource, in_force_revision: int) -> JsonObject:
    in_force = resource.generation <= in_force_revision
    reason = "applied by every gateway" if in_force else "waiting for gateways"
    return {
        "type": "InForce",
        "value": in_force,
        "reason": reason,
        "revision": resource.generation,
    }


def event_to_json(event: WatchEvent) -> JsonObject:
    """Return a watch event as a JSON object."""
    deleted = event.type == EventType.DELETED
    return {
        "type": "deleted" if deleted else "put",
        "revision": event.revision,
        "resource": resource_to_json(event.resource),
    }


def fault_to_json(fault: Fault) -> JsonObject:
    """Return a fault as the body of an error response."""
    return {"error": {key: value for key, value in json_value(fault).items() if value is not None}}


def spec_from_json(kind: Kind, body: Any, path: str = "spec") -> Result[Spec, Fault]:
    """Validate a spec; unknown keys are refused. The fault names the key and the expected value."""
    if not isinstance(body, dict):
        return Error(_invalid(f"{path}: expected an object"))
    cls = SPEC_TYPES[kind]
    unknown = _unknown_keys(cls, body)
    if unknown:
        known = ", ".join(field.name for field in dataclasses.fields(cls))
        return Error(_invalid(f"{path}.{unknown[0]}: unknown key, expected one of {known}"))
    try:
        spec: Spec = _adapter(cls).validate_json(json.dumps(body), strict=True)
    except ValidationError as error:
        return Error(_invalid(_explain(path, error)))
    problem = spec_problem(spec)
    return Error(_invalid(f"{path}.{problem}")) if problem else Ok(spec)


def merged_spec_json(spec: Spec, patch: JsonObject) -> JsonObject:
    """Return a spec's JSON with the keys of ``patch`` replaced; null restores the default."""
    merged = dict(json_value(spec))
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = value
    return merged


@cache
def _adapter(cls: Any) -> TypeAdapter[Any]:
    return TypeAdapter(cls)


def _unknown_keys(cls: Any, body: JsonObject) -> list[str]:
    known = {field.name for field in dataclasses.fields(cls)}
    return sorted(key for key in body if key not in known)


def _explain(path: str, error: ValidationError) -> str:
    first = error.errors()[0]
    where = ".".join([path, *[str(part) for part in first["loc"]]])
    return f"{where}: {first['msg']}"


def _invalid(detail: str) -> Fault:
    return Fault(FaultCode.INVALID, STEP, detail)
