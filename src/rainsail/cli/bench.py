"""``rainsail bench``: runs benchmarks of single components on this machine."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from rich.console import Console

from rainsail.benchmarks.catalogue import BENCHES, BenchSession, run_session
from rainsail.benchmarks.report import Progress, no_progress, write_report
from rainsail.cli.exit_codes import bad_input, failed

REMOVED_BENCHES = ("config", "consensus", "intake", "restart")


class BenchCommands:
    """Run a benchmark; the last line on stdout is one JSON object.

    ``--output`` is a folder to write the JSON to. ``--folder`` is a folder on the disk to measure
    (default: the system's temporary folder).
    """

    def __getattr__(self, name: str) -> Any:
        """Report a benchmark that was removed, with the names of the available ones."""
        if name in REMOVED_BENCHES:
            raise bad_input(f"bench {name!r} was removed; available: {', '.join(BENCHES)}, all")
        raise AttributeError(name)

    def storage(self, output: str = "", folder: str = "", seconds: float = 3.0) -> None:
        """Measure the durable log: syncs and entries per second, CPU time."""
        _run("storage", output, folder, seconds=float(seconds))

    def ledger(self, output: str = "", folder: str = "", sizes: Any = ()) -> None:
        """Measure the batch ledger alone: bytes per item, commands per second, snapshots."""
        _run("ledger", output, folder, **_whole_numbers("sizes", sizes))

    def failover(self, output: str = "", folder: str = "", seeds: int = 200) -> None:
        """Measure virtual seconds from each kind of leader failure to the next commit."""
        _run("failover", output, folder, seeds=_whole_number("seeds", seeds))

    def dispatcher(self, output: str = "", repeats: int = 3) -> None:
        """Measure a gateway's dispatcher: CPU time per item and per decision."""
        _run("dispatcher", output, folder="", repeats=_whole_number("repeats", repeats))

    def wire(self, output: str = "", folder: str = "", seconds: float = 1.0) -> None:
        """Measure the transport over loopback, with and without TLS, and the codec."""
        _run("wire", output, folder, seconds=float(seconds))

    def gateway(
        self,
        output: str = "",
        runs: int = 3,
        seconds: float = 2.0,
        heap_items: int = 20_000,
        memory: bool = True,
        fairness: bool = True,
        profile: str = "",
    ) -> None:
        """Measure one gateway: added latency, rates per core, memory, heaps and fairness in floods.

        ``--profile`` is a file to write a cProfile profile of the gateway process to.
        """
        _run(
            "gateway",
            output,
            folder="",
            runs=_whole_number("runs", runs),
            seconds=float(seconds),
            heap_items=_whole_number("heap_items", heap_items),
            memory=bool(memory),
            fairness=bool(fairness),
            profile=profile,
        )

    def all(self, output: str = "", folder: str = "") -> None:
        """Run every benchmark with reduced sizes, in under three minutes."""
        session = _session(tuple(BENCHES), output, folder, brief=True)
        reports = {report.bench: report.to_json() for report in session.reports}
        print(json.dumps({"bench": "all", "benches": reports}), flush=True)


def _run(name: str, output: str, folder: str, **parameters: Any) -> None:
    session = _session((name,), output, folder, **parameters)
    print(json.dumps(session.reports[0].to_json()), flush=True)


def _session(
    names: tuple[str, ...], output: str, folder: str, brief: bool = False, **parameters: Any
) -> BenchSession:
    if folder and not Path(folder).is_dir():
        raise bad_input(f"--folder: no such folder: {folder!r}")
    with _shown_progress() as progress:
        session = BenchSession(names, progress, folder, parameters, brief)
        try:
            run_session(session)
        except TimeoutError as error:
            raise failed(str(error)) from error
    if output:
        for report in session.reports:
            write_report(report, Path(output))
    return session


@contextmanager
def _shown_progress() -> Iterator[Progress]:
    """Show the current step if stdout is a terminal."""
    if not sys.stdout.isatty():
        yield no_progress
        return
    with Console().status("starting") as status:
        yield lambda step: status.update(step)


def _whole_number(flag: str, value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise bad_input(f"--{flag}: expected a whole number of at least 1, got {value!r}")
    return value


def _whole_numbers(flag: str, value: Any) -> dict[str, tuple[int, ...]]:
    """Return the flag's numbers (one, or several separated by commas); empty without the flag."""
    if value == ():
        return {}
    values = value if isinstance(value, tuple | list) else (value,)
    return {flag: tuple(_whole_number(flag, each) for each in values)}
