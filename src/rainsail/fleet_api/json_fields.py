"""Reads the fields of JSON objects that clients, runners and operators send.

An error names the field and what was expected there. It never repeats a value: a body may hold
keys.
"""

import json
from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError)
"""What reading a body raises when it is not what was expected; ``explain`` says it in words."""

A_STRING = "a string"
A_NUMBER = "a number"
A_WHOLE_NUMBER = "a whole number"
_NO_FIELDS_RENAMED: Mapping[str, str] = {}


class FieldError(ValueError):
    """A field is missing, or its value is not what was expected."""

    def __init__(self, path: str, expected: str, got: str) -> None:
        super().__init__(f"{path}: expected {expected}, got {got}")


class Fields:
    """The fields of one JSON object; ``path`` is where it stands in the whole body.

    Methods raise ``FieldError``.
    """

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, dict):
            raise FieldError(path or "the body", "an object", json_type(value))
        self._values: dict[str, Any] = value
        self._path = path

    def path_of(self, name: str) -> str:
        """Return where a field stands in the whole body."""
        return f"{self._path}.{name}" if self._path else name

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def get(self, name: str) -> Any:
        """Return a field's value as it is, None when it is missing."""
        return self._values.get(name)

    def required(self, name: str, expected: str) -> Any:
        """Return the value, of any type, of a field that must be there."""
        if name not in self._values:
            raise FieldError(self.path_of(name), expected, "nothing")
        return self._values[name]

    def text(self, name: str) -> str:
        """Return a required string."""
        value = self.required(name, A_STRING)
        if not isinstance(value, str):
            raise FieldError(self.path_of(name), A_STRING, json_type(value))
        return value

    def number(self, name: str) -> float:
        """Return a required number; a string that is one counts."""
        return self._to_number(name, self.required(name, A_NUMBER))

    def number_or(self, name: str, default: float) -> float:
        """Return a number, the default when it is missing, null or 0."""
        return self._to_number(name, self.get(name) or default)

    def whole(self, name: str) -> int:
        """Return a required number without its fraction; a string that is one counts."""
        return self._to_whole(name, self.required(name, A_WHOLE_NUMBER))

    def whole_or(self, name: str, default: int) -> int:
        """Return a number without its fraction, the default when it is missing, null or 0."""
        return self._to_whole(name, self.get(name) or default)

    def _to_whole(self, name: str, value: Any) -> int:
        try:
            return int(value)
        except (TypeError, ValueError, OverflowError):
            raise FieldError(self.path_of(name), A_WHOLE_NUMBER, json_type(value)) from None

    def _to_number(self, name: str, value: Any) -> float:
        try:
            return float(value)
        except (TypeError, ValueError, OverflowError):
            raise FieldError(self.path_of(name), A_NUMBER, json_type(value)) from None

    def entries(self, name: str) -> list[Any]:
        """Return a required list; an empty object or string counts as an empty list."""
        value = self.required(name, "a list")
        if value in ({}, ""):
            return []
        if not isinstance(value, list):
            raise FieldError(self.path_of(name), "a list", json_type(value))
        return value


def json_type(value: Any) -> str:
    """Return what a JSON value is, in words."""
    match value:
        case None:
            return "null"
        case bool():
            return "true or false"
        case int() | float():
            return A_NUMBER
        case str():
            return A_STRING
        case list():
            return "a list"
        case _:
            return "an object"


def explain(error: Exception, renamed: Mapping[str, str] = _NO_FIELDS_RENAMED) -> str:
    """Return what is wrong with a body, from one of ``UNREADABLE``.

    ``renamed`` has the sender's name of each field that pydantic knows by another.
    """
    match error:
        case ValidationError():
            return "; ".join(
                f"{renamed.get(_place(problem), _place(problem))}: {problem['msg']}"
                for problem in error.errors(include_input=False, include_url=False)
            )
        case json.JSONDecodeError():
            return f"the body is not JSON: {error}"
        case UnicodeDecodeError():
            return f"the body is not UTF-8: {error.reason} at byte {error.start}"
        case RecursionError():
            return "the body is nested too deeply"
        case _:
            return str(error)


def _place(problem: Mapping[str, Any]) -> str:
    """Return the field of one of pydantic's errors."""
    return ".".join(map(str, problem["loc"])) or "the body"
