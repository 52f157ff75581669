"""Entry point of the ``rainsail`` command."""

import difflib
import importlib
import inspect
import sys
from collections.abc import Sequence
from importlib.metadata import version
from typing import Any

import fire

from rainsail.cli.arguments import check_arguments
from rainsail.cli.command_table import COMMAND_GROUPS
from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.flags import join_repeated, keep_text
from rainsail.errors import RainsailError

HELP_FLAGS = ("--help", "-h", "help")
INTERRUPTED_EXIT_CODE = 130


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit the process with the command's ``ExitCode``."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        _dispatch(words)
    except CommandEnd as end:
        if end.message:
            print(f"rainsail: {end.message}", file=sys.stderr)
        sys.exit(int(end.code))
    except RainsailError as error:
        print(f"rainsail: {error.fault}", file=sys.stderr)
        sys.exit(int(ExitCode.FAILED))
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(int(ExitCode.FAILED))
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)


def _dispatch(words: list[str]) -> None:
    if not words:
        print(overview(), file=sys.stderr)
        raise CommandEnd(ExitCode.BAD_INPUT)
    name, rest = words[0], words[1:]
    if name in HELP_FLAGS:
        print(overview())
        return
    if name == "--version":
        print(version("rainsail"))
        return
    group = load_group(name)
    command = join_repeated(rest)
    check_arguments(group, command)
    if COMMAND_GROUPS[name].text_arguments:
        command = [keep_text(word) for word in command]
    fire.Fire({name: group}, command=[name, *command], name="rainsail")


def load_group(name: str) -> Any:
    """Import and return the function or object of a command group.

    Raises:
        CommandEnd: No group has this name.
    """
    group = COMMAND_GROUPS.get(name)
    if group is None:
        matches = difflib.get_close_matches(name, COMMAND_GROUPS, 1)
        hint = f"; did you mean {matches[0]!r}?" if matches else "; see rainsail --help"
        raise bad_input(f"unknown command {name!r}{hint}")
    module_name, _, attribute = group.target.partition(":")
    loaded = getattr(importlib.import_module(module_name), attribute)
    if inspect.isclass(loaded) and not inspect.signature(loaded).parameters:
        return loaded()
    return loaded


def overview() -> str:
    """Return the top-level help text, which lists every command group."""
    width = max(len(name) for name in COMMAND_GROUPS)
    lines = ["usage: rainsail COMMAND ...", "", "commands:"]
    lines += [f"  {name:<{width}}  {group.summary}" for name, group in COMMAND_GROUPS.items()]
    lines += [
        "",
        "Run rainsail COMMAND --help for details.",
        "exit codes: 0 success, 1 failure, 2 invalid input, 3 a checker found a violation",
    ]
    return "\n".join(lines)
