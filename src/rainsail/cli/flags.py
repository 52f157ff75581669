"""Prepares command-line arguments for ``fire``: repeated flags and values kept as text."""

from collections.abc import Sequence

from fire.parser import DefaultParseValue

SET_FLAG = "--set"
_SEPARATOR = "\n"


def join_repeated(words: Sequence[str], flag: str = SET_FLAG) -> list[str]:
    """Join every ``flag VALUE`` and ``flag=VALUE`` into one ``flag=VALUE`` with all values."""
    rest: list[str] = []
    values: list[str] = []
    remaining = iter(words)
    for word in remaining:
        if word == flag:
            values.append(next(remaining, ""))
        elif word.startswith(f"{flag}="):
            values.append(word.removeprefix(f"{flag}="))
        else:
            rest.append(word)
    if values:
        rest.append(f"{flag}={_SEPARATOR.join(values)}")
    return rest


def repeated(joined: str) -> tuple[str, ...]:
    """Return the separate values of a flag joined by ``join_repeated``."""
    return tuple(joined.split(_SEPARATOR)) if joined else ()


def keep_text(word: str) -> str:
    """Quote a value that ``fire`` would parse as a Python literal (``1e3``, ``007``)."""
    if not word.startswith("-"):
        return _quoted(word)
    flag, equals, value = word.partition("=")
    return f"{flag}={_quoted(value)}" if equals else word


def _quoted(value: str) -> str:
    return value if DefaultParseValue(value) == value else repr(value)
