"""Works out each role's cost at the design size from the committed measurements.

Pure: takes the reports' plain values and returns rows; ``tools/generate_capacity_page.py`` reads
the files and writes the page.
"""

from dataclasses import dataclass
from typing import Any

from rainsail.scale.design_size import DesignSize

Json = dict[str, Any]

STATUSES_PER_RESTART = 2
"""Status changes of a runner that goes away and comes back."""


@dataclass(frozen=True, slots=True)
class Measurements:
    """The reports that the page is made from."""

    scale: Json
    ledger: Json
    storage: Json
    feed: Json

    def at_target(self, name: str) -> float:
        """Return a quantity's value at the largest size that was run."""
        return float(self._entry(name)["values"][-1])

    def dearest(self, name: str) -> float:
        """Return a noisy quantity's highest value over all sizes, never below 0."""
        return max(0.0, *self._entry(name)["values"])

    def slope(self, name: str) -> float:
        """Return a quantity's slope."""
        return float(self._entry(name)["slope"])

    def _entry(self, name: str) -> Json:
        exact: Json = self.scale["exact"]
        found: Json = exact[name] if name in exact else self.scale["measured"][name]
        return found

    def memory(self, name: str) -> float:
        """Return bytes per thing kept by a gateway."""
        return float(self.scale["kept_memory"][name])

    def largest_ledger(self, section: str) -> Json:
        """Return a section of the ledger bench at its largest size."""
        found: Json = self.ledger[section][-1]
        return found


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a table: what, its figure at the design size, the limit beside it."""

    what: str
    figure: str
    limit: str
    fits: str
    basis: str


YES = "yes"
NO = "**no**"


def verdict(value: float, limit: float) -> str:
    """Return whether a value is within its limit."""
    return YES if value <= limit else NO


def resource_changes_per_s(size: DesignSize) -> float:
    """Return changes of resources a second, operators' and those that restarts cause.

    Each restart is counted as one of a node (it registers) and of a runner (its status goes and
    comes back), which is more than life has.
    """
    return size.changes_per_s + size.restarts_per_s * (1 + STATUSES_PER_RESTART)


def table_text(rows: list[Row]) -> str:
    """Return rows as a Markdown table."""
    lines = [
        "| what | at the design size | limit | fits | from |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.what} | {row.figure} | {row.limit} | {row.fits} | {row.basis} |" for row in rows
    ]
    return "\n".join(lines)


def slope_table_text(data: Measurements) -> str:
    """Return every slope of the scale run as a Markdown table."""
    lines = [
        "| quantity | unit | kind | over | values | slope | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for kind in ("exact", "measured"):
        for name, entry in data.scale[kind].items():
            sizes = ", ".join(f"{x:g}" for x in entry["sizes"])
            values = ", ".join(f"{value:.3g}" for value in entry["values"])
            lines.append(
                f"| `{name}` | {entry['unit']} | {kind} | {entry['over']} {sizes} | {values} |"
                f" {entry['slope']:.3g} | {entry['residual']:.1%} |"
            )
    return "\n".join(lines)
