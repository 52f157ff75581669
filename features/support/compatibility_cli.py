"""The command line as the pins see it: groups, commands, flags with types and defaults."""

import inspect
from pathlib import Path
from typing import Any

from rainsail.cli.command_table import COMMAND_GROUPS
from rainsail.cli.exit_codes import ExitCode
from rainsail.cli.main import HELP_FLAGS, INTERRUPTED_EXIT_CODE, load_group

PINNED = Path("features/compatibility/data/command_line.json")
REQUIRED = "required"


def command_line() -> dict[str, Any]:
    """Return each command, ``GROUP`` or ``GROUP COMMAND``, with its flags in order."""
    commands: dict[str, Any] = {}
    for name, entry in COMMAND_GROUPS.items():
        group = load_group(name)
        if inspect.isroutine(group):
            commands[name] = _described(group, entry.text_arguments)
            continue
        for member, command in inspect.getmembers(group, inspect.isroutine):
            if not member.startswith("_"):
                commands[f"{name} {member}"] = _described(command, entry.text_arguments)
    return commands


def exit_codes() -> dict[str, int]:
    """Return the exit codes by what they say."""
    codes = {code.name: int(code) for code in ExitCode}
    return {**codes, "INTERRUPTED": INTERRUPTED_EXIT_CODE}


def help_words() -> list[str]:
    """Return the words that ask for help."""
    return list(HELP_FLAGS)


def _described(command: Any, text_arguments: bool) -> dict[str, Any]:
    parameters = inspect.signature(command).parameters.values()
    return {
        "arguments": [_parameter(parameter) for parameter in parameters],
        "values are text": text_arguments,
    }


def _parameter(parameter: inspect.Parameter) -> str:
    """Return one argument as written in Python, for instance ``seed: int = 1``."""
    annotation = inspect.formatannotation(parameter.annotation)
    default = REQUIRED if parameter.default is inspect.Parameter.empty else repr(parameter.default)
    return f"{parameter.name}: {annotation} = {default} ({parameter.kind.description})"
