"""The names of records and their fields on the wire and on disk.

They are independent of the names in the code: a class or a field may be renamed in the code as
long as its name here stays. Other versions of the program, and data folders, know records by these
names only, since the Avro schemas, the type ids and the fingerprints are derived from them.

This module owns the table of declared names; ``wire.schema`` and ``wire.codec`` read it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

T = TypeVar("T")

_NO_RENAMED_FIELDS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class WireNames:
    """A record's name on the wire, and the names of fields that are named differently there."""

    record: str
    fields: Mapping[str, str]
    """Names on the wire by names in the code."""


_NAMES: dict[Any, WireNames] = {}


def wire_type(
    name: str, renamed_fields: Mapping[str, str] = _NO_RENAMED_FIELDS
) -> Callable[[type[T]], type[T]]:
    """Class decorator: declare the name of a dataclass on the wire and on disk.

    ``renamed_fields`` maps the names of fields in the code to their names on the wire; all other
    fields are named alike in both. Put it above ``@dataclass``.
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
        raise TypeError(f"{cls.__qualname__} has no name on the wire: declare one with @wire_type")
    return names
