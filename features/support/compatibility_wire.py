"""Every record that crosses a process border or lies on a disk, as the schemas say it.

``pinned_form`` gives what other versions of the program rely on: for each name on the wire the
type id that messages begin with (None for records that stand only inside others), the fields in
their order, and the CRC-32C of the whole Avro schema with the records inside it.
``python -m features.support.compatibility_wire`` prints it in the form of
``features/compatibility/data/wire_records.json``.
"""

import dataclasses
import importlib
import json
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import crc32c
import fastavro

import rainsail
from rainsail.wire.codec import parsed_schema, registered_records

DATA_FILE = Path(__file__).parent.parent / "compatibility" / "data" / "wire_records.json"
RECORDS_ON_DISK = (
    "rainsail.storage.interface.LogEntry",
    "rainsail.storage.interface.HardState",
    "rainsail.storage.log_records.Truncation",
    "rainsail.storage.log_records.Reset",
    "rainsail.storage.log_records.SegmentHeader",
    "rainsail.storage.log_records.SnapshotHeader",
    "rainsail.storage.log_records.SnapshotEnd",
    "rainsail.storage.identity.FormatRecord",
    "rainsail.storage.identity.DataFolderRecord",
    "rainsail.state.result_log.FinishedItem",
    "rainsail.experiment.trace.records.TraceRecord",
)
"""Records that files hold without a type id before them."""


def pinned_form() -> dict[str, Any]:
    """Return type id and schemas of every record, by its name on the wire."""
    registered = product_records()
    forms: dict[str, Any] = {}
    for record in reachable_records(registered):
        schema = parsed_schema(record)
        name = schema["name"].removeprefix("rainsail.")
        form = forms.setdefault(name, {"type_id": None, "schemas": []})
        form["schemas"].append(_schema_form(schema))
        if record in registered:
            form["type_id"] = f"{crc32c.crc32c(name.encode()):08x}"
    for form in forms.values():
        form["schemas"].sort(key=lambda each: each["crc32c"])
    return dict(sorted(forms.items()))


def _schema_form(schema: Any) -> dict[str, Any]:
    canonical = fastavro.schema.to_parsing_canonical_form(schema)
    fields = [f"{field['name']}: {_type_text(field['type'])}" for field in schema["fields"]]
    return {"crc32c": f"{crc32c.crc32c(canonical.encode()):08x}", "fields": fields}


def _type_text(avro_type: Any) -> str:
    """Return an Avro type as text, with records by their names."""
    if isinstance(avro_type, list):
        return " | ".join(_type_text(member) for member in avro_type)
    if isinstance(avro_type, str):
        return avro_type.removeprefix("rainsail.")
    if avro_type["type"] == "array":
        return f"array of ({_type_text(avro_type['items'])})"
    if avro_type["type"] == "map":
        return f"map of ({_type_text(avro_type['values'])})"
    return str(avro_type.get("name", avro_type["type"])).removeprefix("rainsail.")


def product_records() -> tuple[Any, ...]:
    """Import every module that registers records; return those that nodes and files use."""
    root = Path(rainsail.__file__).parent
    for path in sorted(root.rglob("*.py")):
        if "@wire_record" in path.read_text():
            parts = path.relative_to(root.parent).with_suffix("").parts
            importlib.import_module(".".join(parts))
    return tuple(each for each in registered_records() if _is_of_the_product(each))


def _is_of_the_product(record: Any) -> bool:
    module: str = record.__module__
    return module.startswith("rainsail.") and not module.startswith("rainsail.benchmarks.")


def reachable_records(registered: tuple[Any, ...]) -> list[Any]:
    """Return the registered records, those that files hold, and all that stand inside them."""
    found: list[Any] = []
    for record in (*registered, *map(_named_class, RECORDS_ON_DISK)):
        for inner in _records_of(record):
            if inner not in found:
                found.append(inner)
    return found


def _named_class(path: str) -> Any:
    module, _, name = path.rpartition(".")
    return getattr(importlib.import_module(module), name)


def _records_of(hint: Any) -> Iterator[Any]:
    if not dataclasses.is_dataclass(hint):
        for part in typing.get_args(hint):
            yield from _records_of(part)
        return
    yield hint
    hints = typing.get_type_hints(hint)
    for field in dataclasses.fields(hint):
        yield from _records_of(hints[field.name])


def main() -> None:
    """Print the form of today's code."""
    print(json.dumps(pinned_form(), indent=1, sort_keys=True))


if __name__ == "__main__":
    main()
