"""Plots the slots in use and the waiting items over time."""

from pathlib import Path

from rainsail.account.occupancy import Occupancy

WIDTH_INCHES = 12.0
HEIGHT_INCHES = 6.0
MARKED = ("ledger_leadership", "runner_silent")


def draw(taken: Occupancy, slots: float | None, path: Path) -> None:
    """Write the plot to ``path`` as a PNG file; ``slots`` draws a line at the total."""
    # Imported here as only this command plots, and the import takes a second.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    above, below = figure.subplots(2, 1, sharex=True)
    seconds = range(len(taken.items))
    above.stackplot(seconds, taken.online, taken.items, labels=("online", "items"))
    if slots is not None:
        above.axhline(slots, color="black", linewidth=0.8, label="all slots")
    above.set_ylabel("slots taken")
    below.plot(seconds, taken.waiting, label="items waiting")
    below.set_ylabel("items")
    below.set_xlabel("seconds")
    for moment in taken.moments:
        if moment.event in MARKED:
            colour = "red" if moment.event == MARKED[0] else "grey"
            above.axvline(moment.at_s - taken.begin_s, color=colour, linewidth=0.6)
    above.legend(loc="upper right")
    below.legend(loc="upper right")
    figure.savefig(path, format="png")
