"""The names that records and their fields bear on the wire and on disks.

They stand apart from the names in the code: a class or a field may be renamed for its readers as
long as its name here stays. Other versions of the program and data folders know records by these
names alone, since the Avro schemas, the type ids and the fingerprints are made of them.

Owns the table of declared names; ``wire.schema`` and ``wire.codec`` read it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

T = TypeVar("T")

_NO_RENAMED_FIELDS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class WireNames:
    """The name of one record on the wire, and of those of its fields that differ in the code."""

    record: str
    fields: Mapping[str, str]
    """By the field's name in the code: its name on the wire."""


_NAMES: dict[Any, WireNames] = {}


def wire_type(
    name: str, renamed_fields: Mapping[str, str] = _NO_RENAMED_FIELDS
) -> Callable[[type[T]], type[T]]:
    """Class decorator: declare what a dataclass is called on the wire and on disks.

    ``renamed_fields`` holds, by the name of a field in the code, its name on the wire; all other
    fields have one name. It goes outside of ``@dataclass``.
    """

    def declare(cls: type[T]) -> type[T]:
        unknown = set(renamed_fields) - set(getattr(cls, "__dataclass_fields__", ()))
        if unknown:
            raise TypeError(f"{cls.__qualname__} has no fields {sorted(unknown)}")
        _NAMES[cls] = WireNames(name, renamed_fields)
        return cls

    return declare


def wire_name(cls: Any) -> str:
    """Return a record's name on the wire; raises ``TypeError`` where none was declared."""
    return _declared(cls).record


def wire_field_name(cls: Any, field: str) -> str:
    """Return the name on the wire of a record's field, given its name in the code."""
    return _declared(cls).fields.get(field, field)


def _declared(cls: Any) -> WireNames:
    names = _NAMES.get(cls)
    if names is None:
        raise TypeError(f"{cls.__qualname__} has no name on the wire: declare one by @wire_type")
    return names
