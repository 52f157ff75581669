"""Fills the deploy file's template of a process's settings, as the users' deployment page says."""

import json
import re
from typing import Any

_TOKEN = re.compile(r"\{\{([#^/]?)([^{}|]*)(\|json)?\}\}")


def fill(text: str, fields: dict[str, Any]) -> str:
    """Return the template with its gaps filled from a process's fields."""
    out, rest = _fill(text, [fields], None)
    assert not rest, f"a block is closed that was not opened: {rest[:40]}"
    return out


def _fill(text: str, scopes: list[Any], block: str | None) -> tuple[str, str]:
    out = ""
    while True:
        found = _TOKEN.search(text)
        if found is None:
            assert block is None, f"block {block} is not closed"
            return out + text, ""
        out += text[: found.start()]
        text = text[found.end() :]
        kind, name, as_json = found[1], found[2], bool(found[3])
        if kind == "/":
            assert name == block, f"{name} is closed inside {block}"
            return out, text
        if kind in ("#", "^"):
            value = _find(scopes, name)
            done, after = "", text
            for scope in _repeated(value, kind):
                part, after = _fill(text, [*scopes, scope], name)
                done += part
            if after is text:
                _, after = _fill(text, [*scopes, {".": "", "@": ""}], name)
            out, text = out + done, after
            continue
        value = _find(scopes, name)
        out += json.dumps(value) if as_json else _plain(value)


def _repeated(value: Any, kind: str) -> list[dict[str, Any]]:
    """Return one scope for each time that a block stands."""
    is_absent = value is None or value is False
    if kind == "^":
        return [{}] if is_absent else []
    if is_absent:
        return []
    if isinstance(value, dict):
        return [{"@": key, ".": each} for key, each in value.items()]
    if isinstance(value, list):
        return [{"@": number, ".": each} for number, each in enumerate(value)]
    return [{".": value}]


def _find(scopes: list[Any], name: str) -> Any:
    for scope in reversed(scopes):
        if name in scope:
            return scope[name]
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _plain(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(_plain, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)
