"""``rainsail story``: prints the log lines about one request, job, item or runner."""

import json
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input

ID_KEYS = ("request", "job", "item", "runner", "runners")
"""Log keys whose value is an ID or a comma-separated list of IDs."""
OMITTED_KEYS = ("at", "event", "node", "role", "level")


def story(identifier: str, *logs: str) -> None:
    """Print every log line that mentions an ID, in order of time.

    Args:
        identifier: ID of a request, job, item or runner.
        logs: Log files of the nodes; lines that are not JSON are skipped.
    """
    if not logs:
        raise bad_input("expected at least one log file")
    lines = [line for log in logs for line in _read(Path(log))]
    matching = [line for line in lines if mentions(line, identifier)]
    if not matching:
        raise CommandEnd(ExitCode.FAILED, f"no log line mentions {identifier}")
    for line in sorted(matching, key=lambda line: str(line.get("at", ""))):
        print(shown(line))


def mentions(line: dict[str, Any], identifier: str) -> bool:
    """Return whether a log line mentions an ID."""
    for field in ID_KEYS:
        value = line.get(field)
        if isinstance(value, str) and identifier in value.split(","):
            return True
    return False


def shown(line: dict[str, Any]) -> str:
    """Format a log line as text: time, node, event, then the other keys as name=value."""
    rest = " ".join(f"{key}={value}" for key, value in line.items() if key not in OMITTED_KEYS)
    head = f"{line.get('at', '?')} {line.get('node', '?')} {line.get('event', '?')}"
    return f"{head} {rest}".rstrip()


def _read(path: Path) -> list[dict[str, Any]]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise bad_input(f"{path}: {error.strerror}") from None
    return [line for line in map(_parse_object, text.splitlines()) if line is not None]


def _parse_object(text: str) -> dict[str, Any] | None:
    """Return the JSON object of a line, or None if there is none.

    Text before the object, such as the prefix that a container runtime adds, is ignored.
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        value = json.loads(text[begin:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
