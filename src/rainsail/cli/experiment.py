"""``rainsail experiment``: batch policies on one trace of a site, on the virtual clock."""

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

    ``site`` is guayaquil or taoyuan, ``policy`` all or names with commas (``none`` always runs,
    as the baseline), ``report`` the folder of report.json, the plots and index.html. The last
    line of standard output is JSON.
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
