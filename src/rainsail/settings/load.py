"""Loads settings: a TOML file, overridden by the environment, overridden by ``--set`` flags."""

import difflib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from pydantic_settings import EnvSettingsSource, SettingsError

from rainsail.runtime.files import read_bounded
from rainsail.runtime.toml import parse_toml
from rainsail.settings.model import ProcessSettings

MAX_FILE_BYTES = 16 * 1024 * 1024

Tree = dict[str, Any]


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One invalid setting: the source it was read from, its key path, and what was expected."""

    source: str
    key_path: str
    expected: str

    def __str__(self) -> str:
        return ": ".join(part for part in (self.source, self.key_path, self.expected) if part)


Problems = tuple[SettingsProblem, ...]


def load_settings(path: Path, flags: Iterable[str] = ()) -> Result[ProcessSettings, Problems]:
    """Read and validate settings, without side effects. Flags are ``key.path=value``."""
    file_tree = _read_toml(path)
    if file_tree.is_error():
        return Error(file_tree.error)
    environment = _read_environment()
    if environment.is_error():
        return Error(environment.error)
    flag_tree = _read_flags(flags)
    if flag_tree.is_error():
        return Error(flag_tree.error)
    layers = [(str(path), file_tree.ok), ("environment", environment.ok), ("--set", flag_tree.ok)]
    problems = tuple(problem for source, tree in layers for problem in _unknown_keys(source, tree))
    if problems:
        return Error(problems)
    return _validate(str(path), layers)


def _validate(path: str, layers: list[tuple[str, Tree]]) -> Result[ProcessSettings, Problems]:
    merged: Tree = {}
    for _, tree in layers:
        merged = _merge(merged, tree)
    try:
        return Ok(ProcessSettings(**merged))
    except ValidationError as error:
        return Error(tuple(_problem(path, layers, item) for item in error.errors()))


def _problem(path: str, layers: list[tuple[str, Tree]], item: Any) -> SettingsProblem:
    location = item["loc"]
    source = path
    for name, tree in layers:
        if location and _has(tree, location):
            source = name
    message = item["msg"].removeprefix("Value error, ")
    if item["type"] not in ("missing", "value_error"):
        message += f", got {item['input']!r}"
    return SettingsProblem(source, _dotted(location), message)


def _read_toml(path: Path) -> Result[Tree, Problems]:
    content = read_bounded(path, MAX_FILE_BYTES)
    if content.is_error():
        return Error((SettingsProblem(str(path), "", content.error),))
    try:
        return Ok(parse_toml(content.ok.decode()))
    except UnicodeDecodeError as error:
        return Error((SettingsProblem(str(path), "", f"expected UTF-8 text: {error}"),))
    except (ValueError, RecursionError) as error:
        return Error((SettingsProblem(str(path), "", f"expected TOML: {error}"),))


def _read_environment() -> Result[Tree, Problems]:
    try:
        return Ok(EnvSettingsSource(ProcessSettings)())
    except SettingsError as error:
        return Error((SettingsProblem("environment", "", str(error)),))


def _read_flags(flags: Iterable[str]) -> Result[Tree, Problems]:
    tree: Tree = {}
    for flag in flags:
        key, equals, text = flag.partition("=")
        if not equals or not all(key.split(".")):
            problem = SettingsProblem("--set", "", f"expected key.path=value, got {flag!r}")
            return Error((problem,))
        tree = _merge(tree, _nested(key.split("."), _flag_value(text)))
    return Ok(tree)


def _flag_value(text: str) -> Any:
    """Parse a TOML value; text that is not TOML is taken as a string."""
    try:
        return parse_toml(f"value = {text}")["value"]
    except ValueError:
        return text


def _nested(keys: list[str], value: Any) -> Tree:
    for key in reversed(keys):
        value = {key: value}
    return value


def _merge(lower: Tree, upper: Tree) -> Tree:
    merged = dict(lower)
    for key, value in upper.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            value = _merge(below, value)
        merged[key] = value
    return merged


def _unknown_keys(source: str, tree: Tree) -> list[SettingsProblem]:
    return _unknown_in(source, ProcessSettings, tree, ())


def _unknown_in(
    source: str, hint: Any, value: Any, location: tuple[Any, ...]
) -> list[SettingsProblem]:
    """Find keys that no field has, also in models that ignore extra keys."""
    if get_origin(hint) in (Union, UnionType):
        members = [member for member in get_args(hint) if member is not type(None)]
        return _unknown_in(source, members[0], value, location)
    if get_origin(hint) is tuple and isinstance(value, list):
        item_hint = get_args(hint)[0]
        parts = [_unknown_in(source, item_hint, v, (*location, i)) for i, v in enumerate(value)]
        return [problem for part in parts for problem in part]
    if get_origin(hint) is dict and isinstance(value, dict):
        item_hint = get_args(hint)[1]
        parts = [_unknown_in(source, item_hint, v, (*location, k)) for k, v in value.items()]
        return [problem for part in parts for problem in part]
    if isinstance(hint, type) and issubclass(hint, BaseModel) and isinstance(value, Mapping):
        return _unknown_fields(source, hint, value, location)
    return []


def _unknown_fields(
    source: str, model: type[BaseModel], tree: Mapping[str, Any], location: tuple[Any, ...]
) -> list[SettingsProblem]:
    found = []
    for key, value in tree.items():
        field = model.model_fields.get(key)
        if field is not None:
            found += _unknown_in(source, field.annotation, value, (*location, key))
            continue
        near = difflib.get_close_matches(key, model.model_fields, 1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        found.append(SettingsProblem(source, _dotted((*location, key)), f"unknown key{hint}"))
    return found


def _has(tree: Any, location: tuple[Any, ...]) -> bool:
    for key in location:
        try:
            tree = tree[key]
        except (KeyError, IndexError, TypeError):
            return False
    return True


def _dotted(location: Iterable[Any]) -> str:
    text = ""
    for part in location:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")
