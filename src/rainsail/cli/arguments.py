"""Checks a command's words against its signature before ``fire`` calls it.

``fire`` calls first and complains about what is left over afterwards; a command must not start
anything when a flag is misspelt or a number is none.
"""

import difflib
import inspect
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from fire.parser import DefaultParseValue

from rainsail.cli.exit_codes import bad_input

HELP_WORDS = ("--help", "-h", "--")
_NUMBERS: dict[Any, tuple[str, tuple[type, ...]]] = {
    int: ("a whole number", (int,)),
    float: ("a number", (int, float)),
}


@dataclass(frozen=True, slots=True)
class GivenFlag:
    """One flag as typed; ``value`` is None when it stands alone."""

    word: str
    name: str
    value: str | None


@dataclass(frozen=True, slots=True)
class GivenArguments:
    """A command's words, told apart as ``fire`` does."""

    positional: tuple[str, ...]
    flags: tuple[GivenFlag, ...]


def check_arguments(group: Any, words: Sequence[str]) -> None:
    """End the command when a flag is unknown, a number is none or a word is too many."""
    if any(word in HELP_WORDS for word in words):
        return
    command, rest = _command(group, words)
    if command is None:
        return
    given = split_words(rest)
    parameters = inspect.signature(command).parameters
    for flag in given.flags:
        _check_flag(flag, parameters)
    _check_positional(given, parameters)


def split_words(words: Sequence[str]) -> GivenArguments:
    """Tell flags and their values from positional words."""
    positional: list[str] = []
    flags: list[GivenFlag] = []
    remaining = list(words)
    while remaining:
        word = remaining.pop(0)
        if not _is_flag(word):
            positional.append(word)
            continue
        name, equals, value = word.lstrip("-").partition("=")
        if not equals and remaining and not _is_flag(remaining[0]):
            flags.append(GivenFlag(word, _key(name), remaining.pop(0)))
        else:
            shown = word.partition("=")[0]
            flags.append(GivenFlag(shown, _key(name), value if equals else None))
    return GivenArguments(tuple(positional), tuple(flags))


def _command(group: Any, words: Sequence[str]) -> tuple[Callable[..., Any] | None, list[str]]:
    """Return the function that the words name and what follows; None: let ``fire`` tell."""
    if inspect.isroutine(group):
        return group, list(words)
    if not words:
        return None, []
    command = getattr(group, _key(words[0]), None)
    return (command, list(words[1:])) if inspect.isroutine(command) else (None, [])


def _key(name: str) -> str:
    return name.replace("-", "_")


def _is_flag(word: str) -> bool:
    """Tell a flag from a value such as ``-1``."""
    return word.startswith("-") and len(word) > 1 and not word[1].isdigit()


def _check_flag(flag: GivenFlag, parameters: Any) -> None:
    name = _full_name(flag, parameters)
    if name is None:
        near = difflib.get_close_matches(flag.name, parameters, 1)
        hint = f"; did you mean --{near[0]}?" if near else ""
        raise bad_input(f"unknown flag {flag.word}{hint}")
    _check_number(f"--{name}", flag.value, parameters[name].annotation)


def _full_name(flag: GivenFlag, parameters: Any) -> str | None:
    """Return the parameter meant; ``fire`` also takes ``-x`` and ``--noNAME``."""
    if flag.name in parameters:
        return flag.name
    if flag.value is None and flag.name.startswith("no") and flag.name[2:] in parameters:
        return flag.name[2:]
    short = [name for name in parameters if name.startswith(flag.name)]
    return short[0] if len(flag.name) == 1 and len(short) == 1 else None


def _check_positional(given: GivenArguments, parameters: Any) -> None:
    named = [flag.name for flag in given.flags]
    free = [name for name in parameters if name not in named]
    takes_any = any(each.kind is each.VAR_POSITIONAL for each in parameters.values())
    if len(given.positional) > len(free) and not takes_any:
        raise bad_input(f"unexpected argument {given.positional[len(free)]!r}")
    for name, word in zip(free, given.positional, strict=False):
        _check_number(name, word, parameters[name].annotation)


def _check_number(what: str, text: str | None, annotation: Any) -> None:
    expected, types = _NUMBERS.get(annotation, ("", ()))
    if not types:
        return
    value = True if text is None else DefaultParseValue(text)
    if isinstance(value, bool) or not isinstance(value, types):
        raise bad_input(f"{what}: expected {expected}, got {text or 'nothing'!r}")
