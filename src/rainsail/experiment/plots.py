"""Plots of a policy experiment, as PNG files."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from rainsail.experiment.measures import RunRecord
from rainsail.experiment.policy_experiment import PING, ExperimentOutcome

DOTS_PER_INCH = 110
TIMELINE_S = 90.0
"""Seconds of the window that the timelines show."""


def write_plots(outcome: ExperimentOutcome, folder: Path) -> tuple[str, ...]:
    """Write every plot; return the file names."""
    return (
        _write(_trade_off(outcome), folder / "trade_off.png"),
        _write(_first_token(outcome), folder / "first_token.png"),
        _write(_timelines(outcome), folder / "timelines.png"),
    )


def _write(figure: Figure, path: Path) -> str:
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    plt.close(figure)
    return path.name


def _trade_off(outcome: ExperimentOutcome) -> Figure:
    figure, axes = plt.subplots(figsize=(6, 4))
    for policy in outcome.policies:
        axes.scatter(policy.batch_share_of_bound, policy.harm, s=50)
        axes.annotate(
            policy.policy,
            (policy.batch_share_of_bound, policy.harm),
            textcoords="offset points",
            xytext=(6, 6),
        )
    axes.set_yscale("log")
    axes.axhline(1.0, color="grey", linewidth=0.8)
    axes.set_xlabel("batch tokens / bound")
    axes.set_ylabel("harm (p99 / p99 without batch)")
    return figure


def _first_token(outcome: ExperimentOutcome) -> Figure:
    figure, axes = plt.subplots(figsize=(6, 4))
    for record in outcome.records:
        waits = sorted(
            each.first_token_s - each.sent_s
            for each in record.online
            if each.kind != PING and each.first_token_s is not None
        )
        if waits:
            above = 1.0 - np.arange(1, len(waits) + 1) / (len(waits) + 1)
            axes.plot(waits, above, label=record.policy)
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("seconds until the first token")
    axes.set_ylabel("share of online requests above")
    axes.legend()
    return figure


def _timelines(outcome: ExperimentOutcome) -> Figure:
    count = len(outcome.records)
    figure, all_axes = plt.subplots(count, 1, figsize=(9, 1.8 * count), sharex=True, squeeze=False)
    for axes, record in zip(all_axes[:, 0], outcome.records, strict=True):
        _timeline(axes, record)
    all_axes[-1, 0].set_xlabel("seconds")
    return figure


def _timeline(axes: Axes, record: RunRecord) -> None:
    end_s = record.window_start_s + TIMELINE_S
    samples = [each for each in record.samples if each.at_s <= end_s]
    times = [each.at_s for each in samples]
    online = [each.online_running for each in samples]
    batch = [each.batch_running for each in samples]
    axes.stackplot(times, online, batch, labels=("online", "batch"), step="post")
    axes.set_title(record.policy, fontsize=9)
    axes.set_ylabel("running")
    axes.legend(loc="upper right", fontsize=7)
