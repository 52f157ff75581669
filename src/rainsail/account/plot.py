"""The occupancy of the slots and the waiting items as a picture."""

from pathlib import Path

from rainsail.account.occupancy import Occupancy

WIDTH_INCHES = 12.0
HEIGHT_INCHES = 6.0
MARKED = ("ledger_leadership", "runner_silent")


def draw(taken: Occupancy, slots: float | None, path: Path) -> None:
    """Write a PNG file."""
    # Only this command draws; the library takes a second to load.
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
