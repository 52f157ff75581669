"""Fills the table of docs/CAPACITY.md from the journal's entry of a sweep, and draws it.

    python tools/capacity_page.py journal/ENTRY.json
    python tools/capacity_page.py --check

The page names the entry that its table comes from; ``--check`` writes nothing and exits 1 when the
table is not the one that this entry gives. A damaged entry, or one of another command, is refused
by its name.
"""

import json
import re
import sys
from dataclasses import dataclass
from pathlib import Path

import fire
import matplotlib
from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode

matplotlib.use("Agg")
import matplotlib.pyplot as plt

REPOSITORY = Path(__file__).resolve().parent.parent
PAGE = REPOSITORY / "docs" / "CAPACITY.md"
PLOT = REPOSITORY / "docs" / "capacity" / "growth.png"
STEP = "capacity_page"
TABLE_HEAD = "by own machines"
MARKED = re.compile(r"(<!-- sweep: )(\S+)( -->\n).*?(<!-- end -->)", re.DOTALL)
WIDE_GAP = re.compile(r" {2,}")
VALUES = re.compile(r"^(\S+) / (\S+)$")
ROLES = ("controller", "gateway", "storage")
PLOTTED = ("processor %", "memory MB", "kB a second", "connections")


@dataclass(frozen=True, slots=True)
class Growth:
    """How one quantity of a role grows; ``busiest`` has one value for each size."""

    role: str
    quantity: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]
    power: float
    at_target: float


@dataclass(frozen=True, slots=True)
class Sweep:
    """What a sweep measured: machines of each size, the size it leads to, and the quantities."""

    sizes: tuple[int, ...]
    target: int
    rows: tuple[Growth, ...]


def read_entry(path: Path) -> Result[Sweep, Fault]:
    """Read a journal entry; the fault names the file and what is wrong with it."""
    try:
        entry = json.loads(path.read_text())
        if entry["cmd"] != "sweep":
            return Error(_fault(path, f"it is an entry of {entry['cmd']!r}, not of a sweep"))
        return Ok(read_report(entry["digest"]))
    except (OSError, ValueError, KeyError, TypeError) as error:
        return Error(_fault(path, f"{type(error).__name__}: {error}"))


def _fault(path: Path, detail: str) -> Fault:
    return Fault(FaultCode.INVALID, STEP, f"{path}: {detail}")


def read_report(report: str) -> Sweep:
    """Read the table of a sweep's report; a ValueError says what it lacks."""
    lines = iter(report.splitlines())
    for line in lines:
        if line.endswith(TABLE_HEAD):
            break
    else:
        raise ValueError("the report has no table by machines")
    sizes, target = _read_head(next(lines, ""))
    rows = []
    for line in lines:
        cells = WIDE_GAP.split(line.strip())
        if len(cells) == len(sizes) + 3:
            rows.append(_read_row(cells))
    if not rows:
        raise ValueError("the table by machines has no rows")
    return Sweep(sizes, target, tuple(rows))


def _read_head(line: str) -> tuple[tuple[int, ...], int]:
    head = re.fullmatch(r"\s*((?:\d+\s+)+)power\s+at (\d+)\s*", line)
    if head is None:
        raise ValueError(f"the table's head is {line.strip()!r}")
    return tuple(map(int, head[1].split())), int(head[2])


def _read_row(cells: list[str]) -> Growth:
    role, colon, quantity = cells[0].partition(": ")
    pairs = [VALUES.match(cell) for cell in cells[1:-2]]
    values = [(float(pair[1]), float(pair[2])) for pair in pairs if pair is not None]
    if len(values) != len(pairs):
        raise ValueError(f"the row {cells[0]!r} can't be read")
    middle, busiest = zip(*values, strict=True)
    name = (role, quantity) if colon else ("all", role)
    return Growth(*name, middle, busiest, float(cells[-2]), float(cells[-1]))


def table_text(sweep: Sweep) -> str:
    """Return the page's table: the middle and the busiest machine of a role at each size."""
    sizes = " | ".join(f"{size} machines" for size in sweep.sizes)
    lines = [
        f"| role | quantity | {sizes} | grows with the power | at {sweep.target} |",
        "|" + "---|" * (len(sweep.sizes) + 4),
    ]
    for row in sweep.rows:
        pairs = zip(row.middle, row.busiest, strict=True)
        values = " | ".join(f"{middle:g} / {busiest:g}" for middle, busiest in pairs)
        lines.append(
            f"| {row.role} | {row.quantity} | {values} | {row.power:g} | {row.at_target:g} |"
        )
    return "\n".join(lines) + "\n"


def filled(page: str, entry: str, sweep: Sweep) -> str:
    """Return the page with the table of an entry."""
    return MARKED.sub(lambda mark: f"{mark[1]}{entry}{mark[3]}{table_text(sweep)}{mark[4]}", page)


def draw(sweep: Sweep, path: Path) -> None:
    """Draw how the busiest machine of each role grows."""
    figure, axes = plt.subplots(1, len(PLOTTED), figsize=(4 * len(PLOTTED), 3.4))
    for axis, quantity in zip(axes, PLOTTED, strict=True):
        for row in sweep.rows:
            if row.quantity == quantity and row.role in ROLES:
                machines = (*sweep.sizes, sweep.target)
                axis.loglog(machines, (*row.busiest, row.at_target), marker="o", label=row.role)
        axis.set_title(quantity)
        axis.set_xlabel("machines (the last: carried on)")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def capacity_page(entry: str = "", check: bool = False) -> int:
    """Fill the page's table from a sweep's entry, or check it.

    Args:
        entry: the journal's entry of a sweep; with ``--check`` the one that the page names.
        check: write nothing; exit 1 when the page differs.
    """
    page = PAGE.read_text()
    named = MARKED.search(page)
    if named is None:
        return _complain(f"{PAGE.name} has no place for a sweep's table")
    path = Path(entry) if entry else REPOSITORY / named[2]
    sweep = read_entry(path)
    if sweep.is_error():
        return _complain(str(sweep.error))
    text = filled(page, f"{path.parent.name}/{path.name}", sweep.ok)
    if check:
        return 0 if text == page else _complain(f"{PAGE.name} is not what {path.name} gives")
    PAGE.write_text(text)
    draw(sweep.ok, PLOT)
    return 0


def _complain(message: str) -> int:
    print(f"capacity_page: {message}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    code = fire.Fire(capacity_page, serialize=lambda _: "")
    sys.exit(code)
