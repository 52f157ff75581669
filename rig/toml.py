"""Writes settings files, in the subset of TOML that they need."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

Tree = Mapping[str, Any]
"""A settings file as ``tomllib`` reads it; used only by this module and the layout."""


def write_toml(path: Path, tree: Tree) -> None:
    """Write sections and arrays of tables."""
    lines: list[str] = []
    for name, value in tree.items():
        if isinstance(value, Mapping):
            lines += [f"[{name}]", *_entries(value), ""]
        else:
            for table in value:
                lines += [f"[[{name}]]", *_entries(table), ""]
    path.write_text("\n".join(lines))


def _entries(table: Tree) -> list[str]:
    return [f"{key} = {_value(value)}" for key, value in table.items()]


def _value(value: Any) -> str:
    if isinstance(value, Mapping):
        return "{ " + ", ".join(_entries(value)) + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_value(each) for each in value) + "]"
    return json.dumps(value)
