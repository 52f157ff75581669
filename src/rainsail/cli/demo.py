"""``rainsail demo``: runs a small fleet with simulated users in one process and checks it."""

from pathlib import Path

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input, failed
from rainsail.demo.command import run_demo
from rainsail.demo.course import DemoOptions
from rainsail.errors import Fault, FaultCode

DEFAULT_DATA_FOLDER = "data/demo"
DEFAULT_TRAFFIC_S = 30.0
MIN_TRAFFIC_S = 2.0
MAX_TRAFFIC_S = 3600.0
BAD_INPUT_CODES = (FaultCode.INVALID, FaultCode.CONFLICT, FaultCode.STORAGE)


def demo(
    data: str = DEFAULT_DATA_FOLDER,
    seconds: float = DEFAULT_TRAFFIC_S,
    seed: int = 1,
    history: str = "",
) -> None:
    """Run the Guayaquil fleet under mixed traffic; the last line on stdout is one JSON object.

    The fleet has three zones, five replicas, three gateways, six language model engines and three
    position engines (emulated), all in one process and connected over loopback sockets. While
    traffic runs, an engine is drained and the leader replica is restarted. Every accepted job is
    recorded in the data folder. When started again on this folder, also after a SIGKILL, the
    demonstration checks that each item of these jobs completes once and stays readable.

    Args:
        data: Data folder; its file accepted.jsonl lists the accepted jobs.
        seconds: Seconds during which users start new work, 2 to 3600.
        seed: Seed of the random choices; they also depend on how often the demonstration was
            started on this data folder.
        history: File to write the recorded history to, for `rainsail check history`.

    Exit code 0 when no checker found a violation, 1 when the demonstration could not run, 2 for
    invalid input, 3 when a checker found a violation.
    """
    _check_number(seconds, "--seconds", MIN_TRAFFIC_S, MAX_TRAFFIC_S)
    if not isinstance(seed, int) or isinstance(seed, bool):
        raise bad_input(f"--seed: expected a whole number, got {seed!r}")
    history_file = Path(str(history)) if history else None
    if history_file is not None and not history_file.parent.is_dir():
        raise bad_input(f"--history: {history_file.parent} is no folder")
    result = run_demo(Path(str(data)), DemoOptions(float(seconds), seed), history_file)
    if result.is_error():
        raise _command_end(result.error)
    print(result.ok.to_json(), flush=True)
    if not result.ok.clean:
        raise CommandEnd(ExitCode.VIOLATION)


def _check_number(value: object, flag: str, minimum: float, maximum: float) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not minimum <= value <= maximum:  # type: ignore[operator]
        raise bad_input(f"{flag}: expected a number from {minimum:g} to {maximum:g}, got {value!r}")


def _command_end(fault: Fault) -> CommandEnd:
    return bad_input(fault.detail) if fault.code in BAD_INPUT_CODES else failed(str(fault))
