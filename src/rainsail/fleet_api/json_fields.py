"""Typed access to the fields of JSON objects sent by clients, runners and operators.

An error names the field and what was expected. It never repeats the value, since a body may contain
API keys.
"""

import json
from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError)
"""Exceptions raised by reading an invalid body; ``explain`` turns them into a message."""

A_STRING = "a string"
A_NUMBER = "a number"
A_WHOLE_NUMBER = "a whole number"
_NO_FIELDS_RENAMED: Mapping[str, str] = {}


class FieldError(ValueError):
    """A field is missing, or its value is not what was expected."""

    def __init__(self, path: str, expected: str, got: str) -> None:
        super().__init__(f"{path}: expected {expected}, got {got}")


class Fields:
    """The fields of one JSON object; ``path`` is its position in the whole body.

    Methods raise ``FieldError``.
    """

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, dict):
            raise FieldError(path or "the body", "an object", json_type(value))
        self._values: dict[str, Any] = value
        self._path = path

    def path_of(self, name: str) -> str:
        """Return the path of a field in the whole body."""
        return f"{self._path}.{name}" if self._path else name

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def get(self, name: str) -> Any:
        """Return a field's raw value, None if it is missing."""
        return self._values.get(name)

    def required(self, name: str, expected: str) -> Any:
        """Return the raw value of a required field."""
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
        """Return a required number; numeric strings are accepted."""
        return self._to_number(name, self.required(name, A_NUMBER))

    def number_or(self, name: str, default: float) -> float:
        """Return a number, or the default if it is missing, null or 0."""
        return self._to_number(name, self.get(name) or default)

    def whole(self, name: str) -> int:
        """Return a required integer; numbers are truncated and numeric strings are accepted."""
        return self._to_whole(name, self.required(name, A_WHOLE_NUMBER))

    def whole_or(self, name: str, default: int) -> int:
        """Return a number truncated to an integer, or the default if it is missing, null or 0."""
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
    """Return the name of a JSON value's type for messages."""
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
    """Return a message for an invalid body, given one of the ``UNREADABLE`` exceptions.

    ``renamed`` maps names of pydantic fields to the names that the sender uses, where they differ.
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
    """Return the path of the field in a pydantic error."""
    return ".".join(map(str, problem["loc"])) or "the body"
