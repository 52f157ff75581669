"""``rainsail experiment``: compares batch dispatch policies on one trace, in virtual time."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.experiment.policy_experiment import policy_names, run_experiment
from rainsail.experiment.report import summary_line, write_report

SECONDS_PER_MINUTE = 60.0


def experiment(
    site: str = "guayaquil",
    seed: int = 1,
    minutes: float = 5.0,
    policy: str = "all",
    report: str = "reports",
) -> None:
    """Run dispatch policies on the same trace and write a report.

    ``site`` is guayaquil or taoyuan. ``policy`` is all or a comma-separated list of names (``none``
    always runs, as the baseline). ``report`` is the folder to write report.json, the plots and
    index.html to. The last line on stdout is JSON.
    """
    if minutes <= 0:
        raise bad_input(f"--minutes: expected a number above 0, got {minutes!r}")
    choice = ",".join(policy) if isinstance(policy, tuple | list) else policy
    try:
        outcome = run_experiment(site, seed, minutes * SECONDS_PER_MINUTE, policy_names(choice))
    except ValueError as error:
        raise bad_input(f"experiment: {error}") from None
    page = write_report(outcome, Path(report))
    print(f"report: {page}")
    print(summary_line(outcome))
