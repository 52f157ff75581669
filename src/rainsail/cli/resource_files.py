"""Reads resource files: TOML (``[[resources]]``) or a JSON list."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import bad_input
from rainsail.control.resource_json import kind_from_text, spec_from_json
from rainsail.resources.specs import Kind
from rainsail.runtime.files import read_bounded
from rainsail.runtime.toml import parse_toml

MAX_FILE_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class DeclaredResource:
    """One resource of a file; ``spec`` is JSON that is valid for ``kind``."""

    kind: Kind
    name: str
    spec: dict[str, Any]


def read_resources(path: Path) -> list[DeclaredResource]:
    """Read and validate the resources of a file.

    Raises:
        CommandEnd: The file is invalid; the message names the entry and the field.
    """
    entries = read_entries(path, "resources")
    return [_declared(f"{path}: resources[{n}]", entry) for n, entry in enumerate(entries)]


def read_entries(path: Path, key: str) -> list[Any]:
    """Return the list under ``key`` of a TOML or JSON file (JSON may be just the list)."""
    tree = read_tree(path)
    entries = tree.get(key) if isinstance(tree, dict) else tree
    if not isinstance(entries, list):
        raise bad_input(f"{path}: {key}: expected a list")
    return entries


def read_tree(path: Path) -> Any:
    """Parse a TOML or JSON file.

    Raises:
        CommandEnd: The file can't be read or parsed.
    """
    content = read_bounded(path, MAX_FILE_BYTES)
    if content.is_error():
        raise bad_input(f"{path}: {content.error}")
    try:
        text = content.ok.decode()
    except UnicodeDecodeError as error:
        raise bad_input(f"{path}: expected UTF-8 text: {error}") from None
    try:
        return json.loads(text) if path.suffix == ".json" else parse_toml(text)
    except (ValueError, RecursionError) as error:
        raise bad_input(f"{path}: {error}") from None


def kind_of(text: str) -> Kind:
    """Return the resource kind with this name, ignoring case.

    Raises:
        CommandEnd: No kind has this name.
    """
    kind = kind_from_text(text)
    if kind.is_error():
        raise bad_input(kind.error.detail)
    return kind.ok


def _declared(location: str, entry: Any) -> DeclaredResource:
    if not isinstance(entry, dict):
        raise bad_input(f"{location}: expected a table with kind, name and spec")
    for key in entry:
        if key not in ("kind", "name", "spec"):
            raise bad_input(f"{location}.{key}: unknown key")
    kind = kind_from_text(str(entry.get("kind", "")))
    if kind.is_error():
        raise bad_input(f"{location}.{kind.error.detail}")
    name = entry.get("name")
    if not isinstance(name, str) or not name:
        raise bad_input(f"{location}.name: expected a name")
    spec = entry.get("spec", {})
    checked = spec_from_json(kind.ok, spec)
    if checked.is_error():
        raise bad_input(f"{location}.{checked.error.detail}")
    return DeclaredResource(kind.ok, name, spec)
