"""Writes an experiment's report: JSON, plots and one HTML page."""

import json
from dataclasses import asdict
from pathlib import Path

from jinja2 import Environment, PackageLoader, select_autoescape

from rainsail.experiment.plots import write_plots
from rainsail.experiment.policy_experiment import ExperimentOutcome

SUMMARY_FIELDS = (
    "batch_items_per_s",
    "batch_share_of_bound",
    "online_p50_s",
    "online_p99_s",
    "harm",
)
"""What the last line of standard output gives per policy."""
DIGITS = 6
"""Decimals kept of each figure."""


def summary_line(outcome: ExperimentOutcome) -> str:
    """Return the one line of JSON that scripts read."""
    policies = {}
    for policy in outcome.policies:
        figures = asdict(policy)
        policies[policy.policy] = {name: _rounded(figures[name]) for name in SUMMARY_FIELDS}
    summary = {"site": outcome.site.name, "seed": outcome.seed, "policies": policies}
    return json.dumps(summary)


def write_report(outcome: ExperimentOutcome, folder: Path) -> Path:
    """Write ``report.json``, the plots and ``index.html``; return the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    figures = {
        "site": outcome.site.model_dump(mode="json"),
        "seed": outcome.seed,
        "duration_s": outcome.duration_s,
        "bound_tokens_per_s": _rounded(outcome.bound_tokens_per_s),
        "policies": {
            policy.policy: {name: _rounded(value) for name, value in asdict(policy).items()}
            for policy in outcome.policies
        },
    }
    (folder / "report.json").write_text(json.dumps(figures, indent=2) + "\n")
    plots = write_plots(outcome, folder)
    page = folder / "index.html"
    page.write_text(_render(outcome, plots))
    return page


def _rounded(value: object) -> object:
    return round(value, DIGITS) if isinstance(value, float) else value


def _render(outcome: ExperimentOutcome, plots: tuple[str, ...]) -> str:
    environment = Environment(
        loader=PackageLoader("rainsail.experiment", "templates"), autoescape=select_autoescape()
    )
    return environment.get_template("policies.html").render(outcome=outcome, plots=plots)
