"""Plots of the benches' figures, as PNG files."""

from dataclasses import dataclass
from pathlib import Path

DOTS_PER_INCH = 110


@dataclass(frozen=True, slots=True)
class Curve:
    """Points of one line of a plot."""

    label: str
    x: tuple[float, ...]
    y: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Plot:
    """One plot; ``limit`` draws a horizontal line at a target."""

    name: str
    x_label: str
    y_label: str
    curves: tuple[Curve, ...]
    limit: float | None = None
    logarithmic_x: bool = False


def cumulative(label: str, samples: list[float]) -> Curve:
    """Return the share of samples at or below each value."""
    ordered = tuple(sorted(samples))
    count = len(ordered)
    return Curve(label, ordered, tuple((place + 1) / count for place in range(count)))


def write_plot(plot: Plot, path: Path) -> None:
    """Draw a plot into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 4))
    for curve in plot.curves:
        axes.plot(curve.x, curve.y, marker="o" if len(curve.x) < 20 else None, label=curve.label)
    if plot.limit is not None:
        axes.axhline(plot.limit, color="grey", linewidth=0.8)
    if plot.logarithmic_x:
        axes.set_xscale("log")
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    plt.close(figure)
