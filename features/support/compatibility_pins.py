"""Pinned facts in JSON files, and what to say when the code differs from them."""

import json
from pathlib import Path
from typing import Any


def read_pin(path: Path) -> Any:
    """Return what a file pins."""
    return json.loads(path.read_text())


def write_pin(path: Path, value: Any) -> None:
    """Write a file of pinned facts; used by hand when something is added."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")


def check_pinned(path: Path, what: str, pinned: dict[str, Any], found: dict[str, Any]) -> None:
    """Fail when anything pinned is gone or differs, and when anything is not pinned yet."""
    problems = [f"{what} {name} is gone" for name in sorted(set(pinned) - set(found))]
    for name in sorted(set(pinned) & set(found)):
        if pinned[name] != found[name]:
            problems.append(f"{what} {name} was {pinned[name]}, is {found[name]}")
    for name in sorted(set(found) - set(pinned)):
        problems.append(
            f"{what} {name} is new: add it to {path}, beside those there: {found[name]}"
        )
    assert not problems, "\n".join(problems)
