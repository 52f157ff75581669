"""``rainsail demo``: a small fleet with its users in one process, judged by checkers."""

from pathlib import Path

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input, failed
from rainsail.demo.command import run_demo
from rainsail.demo.course import DemoOptions
from rainsail.errors import Fault, FaultCode

DEFAULT_DATA_FOLDER = "data/demo"
DEFAULT_TRAFFIC_S = 30.0
LEAST_TRAFFIC_S = 2.0
MOST_TRAFFIC_S = 3600.0
BAD_INPUT_CODES = (FaultCode.INVALID, FaultCode.CONFLICT, FaultCode.STORAGE)


def demo(
    data: str = DEFAULT_DATA_FOLDER,
    seconds: float = DEFAULT_TRAFFIC_S,
    seed: int = 1,
    history: str = "",
) -> None:
    """Run the Guayaquil fleet under mixed traffic; the last line on stdout is one JSON object.

    Three zones, five replicas, three gateways, six language model and three position engines
    (emulated) in one process, over loopback sockets. While traffic runs, an engine is drained
    and the leading replica is stopped and started again. Every job that was accepted is noted in
    the data folder; started again on it, also after a SIGKILL, the demonstration checks that each
    of their items completes once and stays readable.

    Args:
        data: Data folder; accepted.jsonl in it holds the accepted jobs.
        seconds: Seconds in which users start new work, 2 to 3600.
        seed: Everything drawn depends on it and on the number of the start.
        history: File to write the recorded history to, for `rainsail check history`.

    Exit code 0 when everything held, 1 when the demonstration could not run, 2 for bad input,
    3 when a checker found a violation.
    """
    _check_number(seconds, "--seconds", LEAST_TRAFFIC_S, MOST_TRAFFIC_S)
    if not isinstance(seed, int) or isinstance(seed, bool):
        raise bad_input(f"--seed: expected a whole number, got {seed!r}")
    history_file = Path(str(history)) if history else None
    if history_file is not None and not history_file.parent.is_dir():
        raise bad_input(f"--history: {history_file.parent} is no folder")
    result = run_demo(Path(str(data)), DemoOptions(float(seconds), seed), history_file)
    if result.is_error():
        raise _end(result.error)
    print(result.ok.to_json(), flush=True)
    if not result.ok.clean:
        raise CommandEnd(ExitCode.VIOLATION)


def _check_number(value: object, flag: str, least: float, most: float) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not least <= value <= most:  # type: ignore[operator]
        raise bad_input(f"{flag}: expected a number from {least:g} to {most:g}, got {value!r}")


def _end(fault: Fault) -> CommandEnd:
    return bad_input(fault.detail) if fault.code in BAD_INPUT_CODES else failed(str(fault))
