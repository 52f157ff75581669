"""Validates command-line arguments against a command's signature before ``fire`` calls it.

``fire`` calls the command first and reports unused arguments afterwards. A command must not start
anything when a flag is misspelt or a numeric argument isn't a number.
"""

import difflib
import inspect
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from fire.parser import DefaultParseValue

from rainsail.cli.exit_codes import bad_input

UNCHECKED_WORDS = ("--help", "-h", "--")
_NUMERIC_TYPES: dict[Any, tuple[str, tuple[type, ...]]] = {
    int: ("a whole number", (int,)),
    float: ("a number", (int, float)),
}


@dataclass(frozen=True, slots=True)
class ParsedFlag:
    """One flag; ``word`` is the flag as typed, ``value`` is None if the flag has no value."""

    word: str
    name: str
    value: str | None


@dataclass(frozen=True, slots=True)
class ParsedArguments:
    """Arguments of a command, split into positional arguments and flags the way ``fire`` does."""

    positional: tuple[str, ...]
    flags: tuple[ParsedFlag, ...]


def check_arguments(group: Any, words: Sequence[str]) -> None:
    """Check that flags are known, numbers are valid and no positional argument is left over.

    Requests for help and flags for ``fire`` itself (after ``--``) aren't checked.

    Raises:
        CommandEnd: An argument is invalid.
    """
    if any(word in UNCHECKED_WORDS for word in words):
        return
    command, rest = _find_command(group, words)
    if command is None:
        return
    parsed = split_words(rest)
    parameters = inspect.signature(command).parameters
    for flag in parsed.flags:
        _check_flag(flag, parameters)
    _check_positional(parsed, parameters)


def split_words(words: Sequence[str]) -> ParsedArguments:
    """Split arguments into flags with their values and positional arguments."""
    positional: list[str] = []
    flags: list[ParsedFlag] = []
    remaining = list(words)
    while remaining:
        word = remaining.pop(0)
        if not _is_flag(word):
            positional.append(word)
            continue
        name, equals, value = word.lstrip("-").partition("=")
        if not equals and remaining and not _is_flag(remaining[0]):
            flags.append(ParsedFlag(word, _python_name(name), remaining.pop(0)))
        else:
            shown = word.partition("=")[0]
            flags.append(ParsedFlag(shown, _python_name(name), value if equals else None))
    return ParsedArguments(tuple(positional), tuple(flags))


def _find_command(group: Any, words: Sequence[str]) -> tuple[Callable[..., Any] | None, list[str]]:
    """Return the function that the arguments select and the arguments left for it.

    The function is None if no command matches; ``fire`` then reports the error.
    """
    if inspect.isroutine(group):
        return group, list(words)
    if not words:
        return None, []
    command = getattr(group, _python_name(words[0]), None)
    return (command, list(words[1:])) if inspect.isroutine(command) else (None, [])


def _python_name(name: str) -> str:
    return name.replace("-", "_")


def _is_flag(word: str) -> bool:
    """Return whether an argument is a flag, not a negative number such as ``-1``."""
    return word.startswith("-") and len(word) > 1 and not word[1].isdigit()


def _check_flag(flag: ParsedFlag, parameters: Any) -> None:
    name = _full_name(flag, parameters)
    if name is None:
        matches = difflib.get_close_matches(flag.name, parameters, 1)
        hint = f"; did you mean --{matches[0]}?" if matches else ""
        raise bad_input(f"unknown flag {flag.word}{hint}")
    _check_number(f"--{name}", flag.value, parameters[name].annotation)


def _full_name(flag: ParsedFlag, parameters: Any) -> str | None:
    """Return the parameter that a flag refers to, or None if there is none.

    Like ``fire``, accepts a unique one-letter abbreviation (``-x``) and ``--noNAME``.
    """
    if flag.name in parameters:
        return flag.name
    if flag.value is None and flag.name.startswith("no") and flag.name[2:] in parameters:
        return flag.name[2:]
    short = [name for name in parameters if name.startswith(flag.name)]
    return short[0] if len(flag.name) == 1 and len(short) == 1 else None


def _check_positional(parsed: ParsedArguments, parameters: Any) -> None:
    named = [flag.name for flag in parsed.flags]
    free = [name for name in parameters if name not in named]
    takes_any = any(each.kind is each.VAR_POSITIONAL for each in parameters.values())
    if len(parsed.positional) > len(free) and not takes_any:
        raise bad_input(f"unexpected argument {parsed.positional[len(free)]!r}")
    for name, word in zip(free, parsed.positional, strict=False):
        _check_number(name, word, parameters[name].annotation)


def _check_number(label: str, text: str | None, annotation: Any) -> None:
    expected, types = _NUMERIC_TYPES.get(annotation, ("", ()))
    if not types:
        return
    value = True if text is None else DefaultParseValue(text)
    if isinstance(value, bool) or not isinstance(value, types):
        raise bad_input(f"{label}: expected {expected}, got {text or 'nothing'!r}")
