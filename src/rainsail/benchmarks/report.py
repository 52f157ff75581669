"""What every bench returns: its figures, and its targets met or missed."""

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

Progress = Callable[[str], None]
"""Called with what a bench does next, in a few words."""


def no_progress(_: str) -> None:
    """Ignore the progress."""


@dataclass(frozen=True, slots=True)
class Target:
    """A stated limit and what this run measured; ``at_least`` tells which side is good."""

    name: str
    limit: float
    measured: float
    at_least: bool = False

    @property
    def met(self) -> bool:
        """Tell whether the measured figure keeps the limit."""
        return self.measured >= self.limit if self.at_least else self.measured <= self.limit


@dataclass(frozen=True, slots=True)
class BenchReport:
    """One run of one bench; ``figures`` holds JSON values whose names carry their units."""

    bench: str
    figures: dict[str, Any]
    targets: tuple[Target, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the report as one JSON object."""
        targets = [{**asdict(target), "met": target.met} for target in self.targets]
        return {"bench": self.bench, **self.figures, "targets": targets}


def write_report(report: BenchReport, folder: Path) -> None:
    """Write ``BENCH.json`` into a folder, which is made when missing."""
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(report.to_json(), indent=1)
    (folder / f"{report.bench}.json").write_text(text + "\n")
