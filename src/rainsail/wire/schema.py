"""Avro schemas derived from the type hints of frozen dataclasses."""

import dataclasses
import types
import typing
from enum import StrEnum
from functools import cache
from typing import Any

import fastavro

from rainsail.wire.names import wire_field_name, wire_name

_PRIMITIVES: dict[Any, str] = {
    int: "long",
    float: "double",
    str: "string",
    bytes: "bytes",
    bool: "boolean",
}


def union_members(hint: Any) -> tuple[Any, ...] | None:
    """Return the members of a union type; None for any other type."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return typing.get_args(hint)
    return None


def _avro_type(hint: Any, defined: dict[str, Any]) -> Any:
    if hint in _PRIMITIVES:
        return _PRIMITIVES[hint]
    if hint is type(None):
        return "null"
    members = union_members(hint)
    if members is not None:
        ordered = sorted(members, key=lambda member: member is not type(None))
        return [_avro_type(member, defined) for member in ordered]
    origin = typing.get_origin(hint)
    if origin is tuple:
        return {"type": "array", "items": _avro_type(typing.get_args(hint)[0], defined)}
    if origin is dict:
        return {"type": "map", "values": _avro_type(typing.get_args(hint)[1], defined)}
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return "string"
    if dataclasses.is_dataclass(hint):
        return _record_schema(hint, defined)
    raise TypeError(f"no Avro type for {hint!r}")


def avro_name(cls: Any) -> str:
    """Return the full name of a record in Avro schemas."""
    return f"rainsail.{wire_name(cls)}"


def _record_schema(cls: Any, defined: dict[str, Any]) -> Any:
    name = avro_name(cls)
    if name in defined:
        if defined[name] is not cls:
            raise TypeError(f"two records of one schema are named {wire_name(cls)}")
        return name
    defined[name] = cls
    hints = typing.get_type_hints(cls)
    fields = [
        {
            "name": wire_field_name(cls, field.name),
            "type": _avro_type(hints[field.name], defined),
        }
        for field in dataclasses.fields(cls)
    ]
    return {"type": "record", "name": name, "fields": fields}


@cache
def parsed_schema(cls: Any) -> Any:
    """Return the parsed Avro schema of a dataclass."""
    return fastavro.parse_schema(_record_schema(cls, {}))
