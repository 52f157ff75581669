"""``rainsail account``: where items and requests lost their time, from the logs of many nodes."""

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
    """Account for the time of items and requests.

    Damaged lines are named and passed over; the command then ends with code 1.

    Args:
        logs: Files with nodes' output, those of storage nodes and gateways.
        due_s: Time after its acceptance within which a job is due; items in time and the bound
            on them are told with it.
        slots: All slots of the runners that run items, for the bound and the picture.
        plot: PNG file for the slots over time.
        json: Print everything as one JSON document, each second with it.
    """
    if not logs:
        raise bad_input("name at least one log file")
    try:
        log = read_logs([Path(name) for name in logs])
    except UnreadableLogError as error:
        raise bad_input(str(error)) from None
    told = Account(log, _number("--due_s", due_s), _number("--slots", slots))
    if plot:
        draw(told.occupancy, told.slots, Path(plot))
    if json:
        print_json(told.summary())
    else:
        _print_tables(told)
    if log.damaged:
        shown = "\n".join(str(each) for each in log.damaged)
        raise CommandEnd(ExitCode.FAILED, f"damaged lines were passed over:\n{shown}")


def _number(flag: str, text: str) -> float | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        raise bad_input(f"{flag}: expected a number, got {text!r}") from None
    if value <= 0:
        raise bad_input(f"{flag}: expected more than 0, got {text}")
    return value


def _print_tables(told: Account) -> None:
    summary = told.summary()
    print_record(summary["items"], "table")
    print_rows(summary["jobs"], JOB_COLUMNS, "table")
    routes = [{"route": name, **values} for name, values in summary["routes"].items()]
    print_rows(routes, ROUTE_COLUMNS, "table")
