"""``rainsail story``: what happened to one request, job or runner, from the logs of many nodes."""

import json
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input

IDENTIFYING = ("request", "job", "item", "runner", "runners")
"""Fields in which an id may stand."""
HIDDEN = ("at", "event", "node", "role", "level")


def story(identifier: str, *logs: str) -> None:
    """Print every logged decision on an id, in order of time.

    Lines of the runner that was chosen last are added while the request was under way, where they
    tell of a change (silent, changed).

    Args:
        identifier: A request's, job's, item's or runner's id.
        logs: Files with nodes' output; lines that are no JSON are passed over.
    """
    if not logs:
        raise bad_input("name at least one log file")
    lines = [line for log in logs for line in _read(Path(log))]
    told = [line for line in lines if names(line, identifier)]
    if not told:
        raise CommandEnd(ExitCode.FAILED, f"no line of these logs names {identifier}")
    for line in sorted(told, key=lambda line: str(line.get("at", ""))):
        print(shown(line))


def names(line: dict[str, Any], identifier: str) -> bool:
    """Tell whether a line speaks of an id."""
    for field in IDENTIFYING:
        value = line.get(field)
        if isinstance(value, str) and identifier in value.split(","):
            return True
    return False


def shown(line: dict[str, Any]) -> str:
    """Return a line for people: time, node, event, then the rest as name=value."""
    rest = " ".join(f"{key}={value}" for key, value in line.items() if key not in HIDDEN)
    head = f"{line.get('at', '?')} {line.get('node', '?')} {line.get('event', '?')}"
    return f"{head} {rest}".rstrip()


def _read(path: Path) -> list[dict[str, Any]]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise bad_input(f"{path}: {error.strerror}") from None
    return [line for line in map(_parsed, text.splitlines()) if line is not None]


def _parsed(text: str) -> dict[str, Any] | None:
    """Return a line's object; what a tool put in front of it is passed over."""
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        value = json.loads(text[begin:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
