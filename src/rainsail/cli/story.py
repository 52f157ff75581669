"""``rainsail story``: prints the log lines about one request, job, item, runner or fingerprint."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input

ID_KEYS = (
    "request",
    "job",
    "item",
    "runner",
    "runners",
    "fingerprint",
    "fingerprints",
    "entry",
    "trial_of",
    "held",
)
"""Log keys whose value is an ID or a comma-separated list of IDs."""
OMITTED_KEYS = ("at", "event", "node", "role", "level")
ITEM_WAITS = "item_waits"
ITEM_WAIT_EVENTS = (ITEM_WAITS, "item_held", "item_run_ended", "item_gave_way")
"""Events after which an item waits until its next run."""
ITEM_EVENTS = (*ITEM_WAIT_EVENTS, "item_sent", "item_ended")


def story(identifier: str, *logs: str) -> None:
    """Print every log line that mentions an ID, in order of time.

    The story of an item or a job includes the lines about the quarantine's entries by which its
    items have waited, but not those about other items that wait by them. That of an item ends with
    the reason for which it waits, if it does.

    Args:
        identifier: ID of a request, job, item or runner, or a fingerprint.
        logs: Log files of the nodes; lines that are not JSON are skipped.
    """
    if not logs:
        raise bad_input("expected at least one log file")
    lines = sorted((line for log in logs for line in _read(Path(log))), key=_time_of)
    told = [line for line in lines if mentions(line, identifier)]
    if not told:
        raise CommandEnd(ExitCode.FAILED, f"no log line mentions {identifier}")
    entries = entries_of(told, identifier)
    for line in lines:
        if mentions(line, identifier) or any(is_about_entry(line, each) for each in entries):
            print(shown(line))
    reason = reason_of_wait(told, identifier)
    if reason:
        print(reason)


def mentions(line: dict[str, Any], identifier: str) -> bool:
    """Return whether a log line mentions an ID."""
    for field in ID_KEYS:
        value = line.get(field)
        if isinstance(value, str) and identifier in value.split(","):
            return True
    return False


def is_about_entry(line: dict[str, Any], entry: str) -> bool:
    """Return whether a line is about an entry itself: not about a wait of some item for it."""
    return line.get("event") != ITEM_WAITS and mentions(line, entry)


def entries_of(lines: Iterable[dict[str, Any]], identifier: str) -> tuple[str, ...]:
    """Return the quarantine's entries by which an item, or the items of a job, have waited."""
    entries = (
        str(line.get("entry") or "")
        for line in lines
        if line.get("event") == ITEM_WAITS and identifier in (line.get("item"), line.get("job"))
    )
    return tuple(dict.fromkeys(filter(None, entries)))


def reason_of_wait(lines: Iterable[dict[str, Any]], item: str) -> str:
    """Return why an item waits at the end of the logs; empty if it runs, is over or is none."""
    events = [
        line for line in lines if line.get("item") == item and line.get("event") in ITEM_EVENTS
    ]
    if not events or events[-1]["event"] not in ITEM_WAIT_EVENTS:
        return ""
    last = events[-1]
    since = f"{item} waits since {last.get('at', '?')}"
    if last["event"] == ITEM_WAITS:
        entry = f" by {last['entry']}" if last.get("entry") else ""
        return f"{since}: {last.get('cause', '?')}{entry}"
    if last["event"] == "item_held":
        return f"{since}: possible_failures"
    return f"{since}: slot or backoff, after {last['event']}"


def shown(line: dict[str, Any]) -> str:
    """Format a log line as text: time, node, event, then the other keys as name=value."""
    rest = " ".join(f"{key}={value}" for key, value in line.items() if key not in OMITTED_KEYS)
    head = f"{line.get('at', '?')} {line.get('node', '?')} {line.get('event', '?')}"
    return f"{head} {rest}".rstrip()


def _time_of(line: dict[str, Any]) -> str:
    return str(line.get("at", ""))


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
