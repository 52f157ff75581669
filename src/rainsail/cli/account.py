"""``rainsail account``: breaks down the time of items and requests, from node logs."""

from pathlib import Path

from rainsail.account.log_lines import UnreadableLogError, read_logs
from rainsail.account.plot import draw
from rainsail.account.report import Account
from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.output import print_json, print_record, print_rows

JOB_COLUMNS = ("job", "accepted", "items", "in_time", "first_end_s", "last_end_s", "cuts")
ROUTE_COLUMNS = (
    "route",
    "completed",
    "refused",
    "failed",
    "broken",
    "sent_again",
    "first_p50_s",
    "first_p99_s",
    "reasons",
)


def account(
    *logs: str, due_s: str = "", slots: str = "", plot: str = "", json: bool = False
) -> None:
    """Show where items and requests spent their time.

    Damaged log lines are skipped and listed; the command then ends with exit code 1.

    Args:
        logs: Log files of storage nodes and gateways.
        due_s: Deadline of each job, in seconds after its acceptance; with it, the number of items
            finished in time and its upper bound are reported.
        slots: Total number of slots of the runners that run items, for the bound and the plot.
        plot: PNG file to write a plot of the occupied slots over time to.
        json: Print everything, including the figures for each second, as one JSON document.
    """
    if not logs:
        raise bad_input("expected at least one log file")
    try:
        log = read_logs([Path(name) for name in logs])
    except UnreadableLogError as error:
        raise bad_input(str(error)) from None
    account_report = Account(log, _number("--due_s", due_s), _number("--slots", slots))
    if plot:
        draw(account_report.occupancy, account_report.slots, Path(plot))
    if json:
        print_json(account_report.summary())
    else:
        _print_tables(account_report)
    if log.damaged:
        damaged = "\n".join(str(each) for each in log.damaged)
        raise CommandEnd(ExitCode.FAILED, f"skipped damaged log lines:\n{damaged}")


def _number(flag: str, text: str) -> float | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        raise bad_input(f"{flag}: expected a number, got {text!r}") from None
    if value <= 0:
        raise bad_input(f"{flag}: expected a number above 0, got {text}")
    return value


def _print_tables(account_report: Account) -> None:
    summary = account_report.summary()
    print_record(summary["items"], "table")
    print_rows(summary["jobs"], JOB_COLUMNS, "table")
    routes = [{"route": name, **values} for name, values in summary["routes"].items()]
    print_rows(routes, ROUTE_COLUMNS, "table")
