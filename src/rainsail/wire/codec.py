"""Avro codec for frozen dataclasses.

The Avro schema of a record is derived from the dataclass's type hints and the names declared in
``wire.names``, so the dataclass is the only definition. Supported field types: ``int`` (long),
``float`` (double), ``str``, ``bytes``, ``bool``, ``StrEnum`` (string), nested dataclasses, unions
of those with ``None``, ``tuple[T, ...]`` (array), ``dict[str, T]`` (map). Unions of several
dataclasses become Avro unions of records. A record can't contain itself.

``encode(message)`` prefixes the body with the CRC-32C of the registered type name, so that
``decode`` finds the type without a schema exchange. Both ends run the same schemas: the
fingerprint of all registered schemas (``protocol_fingerprint``) is compared when a connection
is opened.
"""

import dataclasses
import io
import struct
import typing
from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import cache
from typing import Any, TypeVar

import crc32c
import fastavro

from rainsail.wire.names import wire_field_name, wire_name, wire_type
from rainsail.wire.schema import avro_name, parsed_schema, union_members

T = TypeVar("T")
Converter = Callable[[Any], Any]

_TYPE_ID = struct.Struct("<I")


class CodecError(ValueError):
    """Bytes that are not a valid encoding of a registered record."""


def _identity(value: Any) -> Any:
    return value


@cache
def _writer(hint: Any) -> Converter:
    """Return the function that converts a typed value to the value that fastavro writes."""
    members = union_members(hint)
    if members is not None:
        return _union_writer(members)
    origin = typing.get_origin(hint)
    if origin is tuple:
        item = _writer(typing.get_args(hint)[0])
        return list if item is _identity else lambda value: [item(each) for each in value]
    if origin is dict:
        item = _writer(typing.get_args(hint)[1])
        if item is _identity:
            return _identity
        return lambda value: {key: item(each) for key, each in value.items()}
    if dataclasses.is_dataclass(hint):
        return _record_writer(hint)
    return _identity


def _compiled(expression: str, names: dict[str, Any]) -> Converter:
    """Compile a generated lambda; a generic loop over the fields takes twice as long."""
    function: Converter = eval(expression, names)
    return function


def _field_expressions(
    cls: Any, converter: Callable[[Any], Converter], access: str, names: dict[str, Any]
) -> list[tuple[str, str]]:
    """Return each field's name on the wire and the expression of its converted value.

    ``access`` is the expression that reads a field, with ``{code}`` for its name in the code and
    ``{wire}`` for its name on the wire. The converters it needs are added to ``names``.
    """
    hints = typing.get_type_hints(cls)
    expressions = []
    for index, field in enumerate(dataclasses.fields(cls)):
        name_on_wire = wire_field_name(cls, field.name)
        expression = access.format(code=field.name, wire=name_on_wire)
        convert = converter(hints[field.name])
        if convert is not _identity:
            names[f"convert_{index}"] = convert
            expression = f"convert_{index}({expression})"
        expressions.append((name_on_wire, expression))
    return expressions


def _record_writer(cls: Any) -> Converter:
    names: dict[str, Any] = {}
    fields = _field_expressions(cls, _writer, "value.{code}", names)
    parts = ", ".join(f"{name!r}: {expression}" for name, expression in fields)
    return _compiled(f"lambda value: {{{parts}}}", names)


def _union_writer(members: tuple[Any, ...]) -> Converter:
    records: list[Any] = [member for member in members if dataclasses.is_dataclass(member)]
    if not records:
        others = [_writer(m) for m in members if m is not type(None)]
        convert = others[0]
        return lambda value: None if value is None else convert(value)
    by_type = {cls: (avro_name(cls), _writer(cls)) for cls in records}

    def write(value: Any) -> Any:
        if value is None:
            return None
        name, convert = by_type[type(value)]
        return (name, convert(value))

    return write


@cache
def _reader(hint: Any) -> Converter:
    """Return the function that converts a value that fastavro read to the typed value."""
    members = union_members(hint)
    if members is not None:
        return _union_reader(members)
    origin = typing.get_origin(hint)
    if origin is tuple:
        item = _reader(typing.get_args(hint)[0])
        return tuple if item is _identity else lambda value: tuple([item(each) for each in value])
    if origin is dict:
        item = _reader(typing.get_args(hint)[1])
        if item is _identity:
            return _identity
        return lambda value: {key: item(each) for key, each in value.items()}
    if dataclasses.is_dataclass(hint):
        return _record_reader(hint)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return {member.value: member for member in hint}.__getitem__
    return _identity


def _record_reader(cls: Any) -> Converter:
    names: dict[str, Any] = {"record": cls}
    fields = _field_expressions(cls, _reader, "value[{wire!r}]", names)
    parts = ", ".join(expression for _, expression in fields)
    return _compiled(f"lambda value: record({parts})", names)


def _union_reader(members: tuple[Any, ...]) -> Converter:
    records: list[Any] = [member for member in members if dataclasses.is_dataclass(member)]
    if not records:
        others = [_reader(m) for m in members if m is not type(None)]
        convert = others[0]
        return lambda value: None if value is None else convert(value)
    by_name = {avro_name(cls): _reader(cls) for cls in records}

    def read(value: Any) -> Any:
        if value is None:
            return None
        name, plain = value
        return by_name[name](plain)

    return read


def to_avro_value(message: Any) -> Any:
    """Convert a dataclass to the value that fastavro writes, for Avro container files."""
    record: Any = type(message)
    return _writer(record)(message)


def from_avro_value(cls: Any, plain: Any) -> Any:
    """Convert a value that fastavro read (with ``return_record_name``) to the dataclass."""
    return _reader(cls)(plain)


def encode_body(message: Any, prefix: bytes = b"") -> bytes:
    """Encode a dataclass without a type id, after ``prefix``."""
    record: Any = type(message)
    buffer = io.BytesIO()
    buffer.write(prefix)
    fastavro.schemaless_writer(buffer, parsed_schema(record), _writer(record)(message))
    return buffer.getvalue()


def decode_body(cls: Any, data: bytes, offset: int = 0) -> Any:
    """Decode one known dataclass from ``offset`` to the end; raises ``CodecError``."""
    buffer = io.BytesIO(data)
    buffer.seek(offset)
    try:
        plain = fastavro.schemaless_reader(
            buffer,
            parsed_schema(cls),
            None,
            return_record_name=True,
            return_record_name_override=False,
        )
        value = _reader(cls)(plain)
    except (
        EOFError,
        ValueError,
        IndexError,
        KeyError,
        TypeError,
        OverflowError,
        MemoryError,
        RecursionError,
        struct.error,
    ) as error:
        raise CodecError(f"not a {wire_name(cls)}: {error!r}") from error
    if buffer.tell() != len(data):
        raise CodecError(f"{len(data) - buffer.tell()} unexpected bytes after a {wire_name(cls)}")
    return value


_REGISTRY: dict[int, Any] = {}
_TYPE_IDS: dict[Any, bytes] = {}


def _qualified_name(cls: Any) -> str:
    return f"{cls.__module__}.{cls.__qualname__}"


def wire_record(
    name: str, renamed_fields: Mapping[str, str] | None = None
) -> Callable[[type[T]], type[T]]:
    """Class decorator: register a frozen dataclass as a top-level record of the protocol.

    The type id is the CRC-32C of ``name``; both arguments are those of ``wire_type``.
    """

    def register(cls: type[T]) -> type[T]:
        wire_type(name, renamed_fields or {})(cls)
        number = crc32c.crc32c(name.encode())
        known = _REGISTRY.get(number)
        if known is not None and _qualified_name(known) != _qualified_name(cls):
            raise TypeError(f"{_qualified_name(cls)} and {_qualified_name(known)} share a type id")
        _REGISTRY[number] = cls
        _TYPE_IDS[cls] = _TYPE_ID.pack(number)
        return cls

    return register


def encode(message: Any, prefix: bytes = b"") -> bytes:
    """Encode a registered record with its type id, after ``prefix``."""
    return encode_body(message, prefix + _TYPE_IDS[type(message)])


def decode(data: bytes, offset: int = 0) -> Any:
    """Decode a registered record from ``offset`` to the end; raises ``CodecError``."""
    if len(data) < offset + _TYPE_ID.size:
        raise CodecError("too short for a type id")
    (number,) = _TYPE_ID.unpack_from(data, offset)
    cls = _REGISTRY.get(number)
    if cls is None:
        raise CodecError(f"unknown type id {number:#010x}")
    return decode_body(cls, data, offset + _TYPE_ID.size)


def registered_records() -> tuple[Any, ...]:
    """Return every registered record, in the order of their names on the wire."""
    return tuple(sorted(_REGISTRY.values(), key=wire_name))


def protocol_fingerprint(modules: tuple[str, ...] | None = None) -> int:
    """Return the CRC-32C over the schemas of the registered records, in name order.

    With ``modules``, only records defined in these modules count.
    """
    total = 0
    for cls in registered_records():
        if modules is not None and cls.__module__ not in modules:
            continue
        canonical = fastavro.schema.to_parsing_canonical_form(parsed_schema(cls))
        total = crc32c.crc32c(canonical.encode(), total)
    return total
