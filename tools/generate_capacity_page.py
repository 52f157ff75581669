"""Fill the tables of docs/CAPACITY.md from docs/capacity/*.json, or check that they are up to date.

``--check`` writes nothing and exits 1 when the page differs from the measurements. The text
between the tables is written by hand.
"""

import json
import re
import sys
from collections.abc import Callable
from pathlib import Path

from rainsail.scale.capacity import Json, Measurements, Row, slope_table_text, table_text
from rainsail.scale.capacity_control import in_force_rows, leader_rows, ledger_rows
from rainsail.scale.capacity_node import data_rows, feed_rows, node_control_rows

DOCS = Path(__file__).parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
FOLDER = DOCS / "capacity"
TABLES: dict[str, Callable[[Measurements], list[Row]]] = {
    "node control": node_control_rows,
    "node feed": feed_rows,
    "node data": data_rows,
    "root group": leader_rows,
    "in force": in_force_rows,
    "ledger": ledger_rows,
}
BLOCK = re.compile(r"(<!-- table: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def main() -> int:
    """Write or check the page; return the exit code."""
    text = PAGE.read_text()
    filled = fill(text, read_measurements(FOLDER))
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(filled)
        return 0
    if filled == text:
        return 0
    print(f"{PAGE.name} is out of date: run tools/generate_capacity_page.py", file=sys.stderr)
    return 1


def read_measurements(folder: Path) -> Measurements:
    """Read the committed reports."""

    def read(name: str) -> Json:
        found: Json = json.loads((folder / f"{name}.json").read_text())
        return found

    return Measurements(read("scale"), read("ledger"), read("storage"), read("feed"))


def fill(text: str, data: Measurements) -> str:
    """Return the page with every table made anew; KeyError for a table that is not known."""

    def table(match: re.Match[str]) -> str:
        name = match.group(2)
        body = slope_table_text(data) if name == "slopes" else table_text(TABLES[name](data))
        return f"{match.group(1)}{body}\n{match.group(3)}"

    return BLOCK.sub(table, text)


if __name__ == "__main__":
    sys.exit(main())
