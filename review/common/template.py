"""Fills a role's settings template as DEPLOY.md tells: gaps, sections and inverted sections."""

import json
import re
from typing import Any

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
GAP = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")
ABSENT = object()


def fill(text: str, fields: dict[str, Any]) -> str:
    """Return a template with its gaps filled from ``fields``."""
    return _fill(text, [fields])


def _fill(text: str, scopes: list[dict[str, Any]]) -> str:
    def section(match: re.Match[str]) -> str:
        kind, name, inner = match.groups()
        value = _find(name, scopes)
        if kind == "^":
            return "" if _is_given(value) else _fill(inner, scopes)
        return "".join(_fill(inner, [entry, *scopes]) for entry in _entries(value))

    def gap(match: re.Match[str]) -> str:
        return _text(_find(match.group(1), scopes), match.group(2) is not None)

    return GAP.sub(gap, SECTION.sub(section, text))


def _entries(value: Any) -> list[dict[str, Any]]:
    """Return the scopes in which a section stands: one an entry, or one for a single value."""
    if not _is_given(value):
        return []
    if isinstance(value, dict):
        return [{".": entry, "@": key} for key, entry in value.items()]
    if isinstance(value, list):
        return [{".": entry, "@": number} for number, entry in enumerate(value)]
    return [{".": value}]


def _is_given(value: Any) -> bool:
    return value is not ABSENT and value is not None and value is not False


def _find(name: str, scopes: list[dict[str, Any]]) -> Any:
    for scope in scopes:
        if name in scope:
            return scope[name]
        value = _descend(name.split("."), scope)
        if value is not ABSENT:
            return value
    return ABSENT


def _descend(names: list[str], value: Any) -> Any:
    for name in names:
        if isinstance(value, dict) and name in value:
            value = value[name]
        elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
            value = value[int(name)]
        else:
            return ABSENT
    return value


def _text(value: Any, as_json: bool) -> str:
    if value is ABSENT:
        return ""
    if as_json or isinstance(value, dict):
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    return str(value)
