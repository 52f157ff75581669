"""``rainsail trace`` and ``rainsail replay``: traces of traffic and their replay."""

import dataclasses
import secrets
from pathlib import Path
from typing import Any

from expression import Result

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input, failed
from rainsail.cli.output import print_json_line, print_rows, progress_bar
from rainsail.errors import Fault
from rainsail.experiment.replay.outcomes import OutcomesFile, read_outcomes
from rainsail.experiment.replay.report import Replayed
from rainsail.experiment.replay.simulated import AGAINST, duration_s, replay_simulated
from rainsail.experiment.trace.files import read_trace, write_trace
from rainsail.experiment.trace.generate import generate_trace
from rainsail.experiment.trace.merge import merge_recordings
from rainsail.experiment.trace.records import Trace
from rainsail.experiment.trace.summary import summarise
from rainsail.simulation.fault_plan import FaultPlan, read_plan
from rainsail.simulation.site_plan import SITES

MAX_SECONDS = 7 * 86_400.0


class TraceCommands:
    """Generate, record and show traces."""

    def generate(
        self,
        out: str,
        site: str = "guayaquil",
        seed: int = 1,
        seconds: float = 60.0,
        tenants: str = "",
    ) -> None:
        """Write a trace of a site's traffic to OUT; the same arguments give the same bytes.

        Args:
            out: file to write (Avro).
            site: guayaquil or taoyuan.
            seed: random seed; the arrivals depend on no other randomness.
            seconds: length of the trace.
            tenants: tenant names separated by commas (default: the site's tenants).

        The last line on stdout is one JSON object.
        """
        if site not in SITES:
            raise bad_input(f"--site: expected one of {', '.join(SITES)}, got {site!r}")
        _check_number(seed, "--seed", 0, float("inf"))
        _check_number(seconds, "--seconds", 1, MAX_SECONDS)
        names = tuple(tenants) if isinstance(tenants, tuple | list) else tuple(tenants.split(","))
        trace = generate_trace(SITES[site](), seed, float(seconds), _names(names))
        _write(Path(str(out)), trace)

    def record(self, *recordings: str, out: str, site: str = "") -> None:
        """Merge RECORDINGS of gateways into one trace and write it to OUT.

        Args:
            recordings: files written by gateways with the setting ``recording`` on.
            out: file to write (Avro).
            site: name of the site, for ``replay --against simulated``.

        Times are relative to the first arrival. A request or job that was retried is kept once.
        Exit code 2 for an invalid file. The last line on stdout is one JSON object.
        """
        if not recordings:
            raise bad_input("expected at least one recording of a gateway")
        paths = [Path(str(each)) for each in recordings]
        _write(Path(str(out)), _value_or_end(merge_recordings(paths, str(site))))

    def show(self, trace: str) -> None:
        """Print counts and rates per class of a trace file.

        Exit code 2 for an invalid file. The last line on stdout is one JSON object.
        """
        read = _value_or_end(read_trace(Path(str(trace))))
        rows = [
            {
                "class": row.name,
                "arrivals": row.arrivals,
                "items": row.items,
                "per s": row.arrivals_per_s,
                "peak": row.peak_arrivals_per_s,
                "prompt chars": row.prompt_characters,
                "tokens": row.max_tokens,
            }
            for row in summarise(read)
        ]
        if rows:
            print_rows(rows, list(rows[0]), "table")
        print_json_line(_summary(read))


def replay(
    trace: str,
    outcomes: str,
    against: str = AGAINST,
    seed: int = 1,
    faults: str = "none",
    speed: float = 1.0,
    keys: str = "",
    engines: str = "emulated",
    run: str = "",
    history: str = "",
    allow_not_observed: bool = False,
) -> None:
    """Replay TRACE and check the expected OUTCOMES.

    Args:
        trace: trace file (Avro).
        outcomes: outcomes file (TOML).
        against: "simulated" (the site of the trace, in virtual time), or the base URL of a caller
            API, as in http://127.0.0.1:7302.
        seed: random seed of the simulated network and engines.
        faults: file of a fault plan for the simulated fleet, or "none".
        speed: factor by which arrivals are sped up, against a URL.
        keys: TOML file of the tenants' API keys, against a URL.
        engines: "emulated" if the correct responses are known, else "real", against a URL.
        run: prefix of all IDs sent to the URL (default: a random one).
        history: file to write the recorded history to.
        allow_not_observed: an outcome that can't be observed against a URL doesn't fail the replay.

    Exit code 0 when every outcome is met, 1 when the URL doesn't respond, 2 for invalid input, 3
    when an outcome is not met or an invariant is violated. The last line on stdout is one JSON
    object.
    """
    read = _value_or_end(read_trace(Path(str(trace))))
    expected = _value_or_end(read_outcomes(Path(str(outcomes))))
    if against == AGAINST:
        replayed = _replay_simulated(read, expected, seed, str(faults))
    else:
        replayed = _replay_live(read, expected, against, speed, str(keys), engines, str(run))
    if history:
        _write_history(Path(str(history)), replayed)
    _print(replayed)
    if not replayed.held(bool(allow_not_observed)):
        raise CommandEnd(ExitCode.VIOLATION)


def _replay_simulated(trace: Trace, outcomes: OutcomesFile, seed: int, faults: str) -> Replayed:
    _check_number(seed, "--seed", 0, float("inf"))
    plan = FaultPlan() if faults == "none" else _value_or_end(read_plan(Path(faults)))
    with progress_bar("virtual seconds", duration_s(trace)) as bar:
        done_s = 0.0

        def progress(now_s: float) -> None:
            nonlocal done_s
            bar.advance(now_s - done_s)
            done_s = now_s

        return _value_or_end(replay_simulated(trace, outcomes, seed, plan, progress))


def _replay_live(
    trace: Trace,
    outcomes: OutcomesFile,
    url: str,
    speed: float,
    keys: str,
    engines: str,
    run: str,
) -> Replayed:
    from rainsail.experiment.replay.live import EngineAnswers, LiveTarget, run_live
    from rainsail.experiment.replay.tenant_keys import read_tenant_keys

    _check_number(speed, "--speed", 0.01, 1000.0)
    if engines not in list(EngineAnswers):
        raise bad_input(f"--engines: expected one of {', '.join(EngineAnswers)}, got {engines!r}")
    if not url.startswith(("http://", "https://")):
        raise bad_input(f"--against: expected {AGAINST} or an http(s) URL, got {url!r}")
    tenant_keys = _value_or_end(read_tenant_keys(Path(keys))) if keys else {}
    run = run or f"replay-{secrets.token_hex(4)}"
    target = LiveTarget(url.rstrip("/"), tenant_keys, float(speed), EngineAnswers(engines), run)
    with progress_bar("arrivals", len(trace.requests) + len(trace.jobs)) as bar:
        replayed = run_live(trace, outcomes, target, bar.advance)
    if replayed is None:
        raise failed("interrupted")
    if replayed.is_error():
        raise failed(replayed.error.detail)
    return replayed.ok


def _print(replayed: Replayed) -> None:
    rows = [
        {
            "outcome": each.name,
            "verdict": str(each.verdict),
            "of": each.selected,
            "detail": each.detail,
            "offending": ", ".join(each.offending[:5]),
        }
        for each in replayed.judgements
    ]
    print_rows(rows, list(rows[0]), "table")
    for violation in replayed.violations:
        print(f"invariant {violation.checker}: {violation.detail}")
    print(replayed.to_json(), flush=True)


def _write(path: Path, trace: Trace) -> None:
    try:
        write_trace(path, trace)
    except OSError as error:
        raise bad_input(f"--out: {path}: {error.strerror}") from None
    print_json_line({"file": str(path), **_summary(trace)})


def _write_history(path: Path, replayed: Replayed) -> None:
    from rainsail.experiment.history import write_history

    try:
        write_history(path, replayed.history)
    except OSError as error:
        raise bad_input(f"--history: {path}: {error.strerror}") from None


def _summary(trace: Trace) -> dict[str, Any]:
    classes = {row.name: dataclasses.asdict(row) for row in summarise(trace)}
    return {**dataclasses.asdict(trace.origin), "classes": classes}


def _names(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(str(name).strip() for name in names if str(name).strip())


def _value_or_end(result: Result[Any, Fault]) -> Any:
    """Return the value of a result.

    Raises:
        CommandEnd: The result is an error.
    """
    if result.is_error():
        raise bad_input(result.error.detail)
    return result.ok


def _check_number(value: Any, flag: str, minimum: float, maximum: float) -> None:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not minimum <= value <= maximum:
        raise bad_input(f"{flag}: expected a number from {minimum} to {maximum}, got {value!r}")
