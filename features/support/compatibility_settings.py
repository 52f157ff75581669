"""The settings keys of both models, for comparison with those that are pinned.

A key stands for its whole path. ``[]`` marks an entry of a list of tables, ``NAME`` a table whose
name the operator chooses. Descriptions and the names of classes don't count.
"""

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import BaseModel

from rainsail.settings.model import ENVIRONMENT_PREFIX, NESTED_DELIMITER, ProcessSettings
from rainsail.settings.node import NodeSettings

PINNED = Path("features/compatibility/data/settings.json")
MODELS: dict[str, type[BaseModel]] = {"process": ProcessSettings, "node": NodeSettings}

MINIMAL: dict[str, dict[str, Any]] = {
    "process": {
        "process": {
            "fleet": "north",
            "name": "gateway-a1",
            "roles": ["gateway"],
            "region": "south",
            "zone": "south-a",
            "data_folder": "data",
        }
    },
    "node": {
        "node": {"name": "a1", "role": "gateway", "ip": "127.0.0.1"},
        "peers": {"first_port": 7000, "last_port": 7009, "seeds": ["127.0.0.1:7000"]},
        "listen": {"clients": "127.0.0.1:8000"},
    },
}
"""The keys that have no default, and those that such a process needs."""

NO_DEFAULT = "required"
UNNAMED_PARTS = ("title", "description", "default")
_ENTRY = re.compile(r"\[\]|\.NAME\b")


def settings_of(model_name: str) -> dict[str, Any]:
    """Return type, default and environment name of each key of a model."""
    schema = MODELS[model_name].model_json_schema()
    definitions = schema.get("$defs", {})
    rows: dict[str, Any] = {}
    for path, field, required in _leaves("", schema, definitions):
        row = {
            "type": _plain(field, definitions),
            "default": NO_DEFAULT if required else field.get("default"),
        }
        if model_name == "process" and not _ENTRY.search(path):
            row["environment"] = environment_name(path)
        rows[path] = row
    return rows


def environment_name(path: str) -> str:
    """Return the environment variable that sets a key."""
    return ENVIRONMENT_PREFIX + path.upper().replace(".", NESTED_DELIMITER)


def defaults_in_force(model_name: str) -> dict[str, Any]:
    """Return every value of a process that is told no more than it needs."""
    settings = MODELS[model_name].model_validate(MINIMAL[model_name])
    dumped: dict[str, Any] = settings.model_dump(mode="json")
    return dumped


def stated_defaults(pinned: dict[str, Any], minimal: dict[str, Any]) -> dict[str, Any]:
    """Return the minimal settings with every pinned key set to its pinned default."""
    tree: dict[str, Any] = json.loads(json.dumps(minimal))
    for path, row in pinned.items():
        if row["default"] == NO_DEFAULT or row["default"] is None or _ENTRY.search(path):
            continue
        table = tree
        *tables, key = path.split(".")
        for name in tables:
            table = table.setdefault(name, {})
        table.setdefault(key, row["default"])
    return tree


def environment_of(pinned: dict[str, Any]) -> dict[str, str]:
    """Return an environment that sets every key that it can to its pinned default."""
    environment = {}
    for path in environment_paths(pinned):
        default = pinned[path]["default"]
        text = default if isinstance(default, str) else json.dumps(default)
        environment[pinned[path]["environment"]] = text
    return environment


def environment_paths(pinned: dict[str, Any]) -> list[str]:
    """Return the keys that can be set to their default from the environment."""
    return [
        path
        for path, row in pinned.items()
        if "environment" in row and row["default"] not in (NO_DEFAULT, None)
    ]


def leaf_paths(tree: dict[str, Any], prefix: str = "") -> Iterator[str]:
    """Yield the path of every value in a tree of settings; an empty table counts as a value."""
    for name, value in tree.items():
        if isinstance(value, dict) and value:
            yield from leaf_paths(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}"


def _leaves(
    prefix: str, schema: dict[str, Any], definitions: dict[str, Any]
) -> Iterator[tuple[str, dict[str, Any], bool]]:
    """Yield path, field and whether it must be given, for each key that holds no table."""
    required = schema.get("required", [])
    for name, field in schema["properties"].items():
        path = f"{prefix}{name}"
        entry_path, table = _table_of(path, field, definitions)
        if table is None:
            yield path, field, name in required
        else:
            yield from _leaves(f"{entry_path}.", table, definitions)


def _table_of(
    path: str, field: dict[str, Any], definitions: dict[str, Any]
) -> tuple[str, dict[str, Any] | None]:
    """Return the table inside a field and the path of its keys; None for a plain value."""
    resolved = _resolved(field, definitions)
    for choice in resolved.get("anyOf", []):
        found = _table_of(path, choice, definitions)
        if found[1] is not None:
            return found
    if "properties" in resolved:
        return path, resolved
    if isinstance(resolved.get("items"), dict):
        return _table_of(f"{path}[]", resolved["items"], definitions)
    if isinstance(resolved.get("additionalProperties"), dict):
        return _table_of(f"{path}.NAME", resolved["additionalProperties"], definitions)
    return path, None


def _resolved(field: dict[str, Any], definitions: dict[str, Any]) -> dict[str, Any]:
    reference = field.get("$ref")
    return field if reference is None else definitions[reference.rpartition("/")[2]]


def _plain(value: Any, definitions: dict[str, Any]) -> Any:
    """Return a field's schema without what names or describes it."""
    if isinstance(value, list):
        return [_plain(item, definitions) for item in value]
    if not isinstance(value, dict):
        return value
    resolved = _resolved(value, definitions)
    return {
        key: _plain(part, definitions) for key, part in resolved.items() if key not in UNNAMED_PARTS
    }
