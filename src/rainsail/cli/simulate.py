"""``rainsail simulate`` and ``rainsail defects``: simulated runs and their known-bad variants."""

from pathlib import Path

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.output import progress_bar
from rainsail.experiment.history import write_history
from rainsail.simulation.defects import DEFECTS, applied_defect
from rainsail.simulation.fault_plan import FaultPlan, read_plan, write_plan
from rainsail.simulation.run import RunResult, SimulationRun
from rainsail.simulation.shrink import shrink_plan
from rainsail.simulation.site_plan import SITES

MAX_SHRINK_RUNS = 60


def simulate(
    site: str = "guayaquil",
    seed: int = 1,
    minutes: float = 2.0,
    faults: str = "all",
    defect: str = "",
    history: str = "",
    shrink: str = "",
) -> None:
    """Simulate a site in virtual time with injected faults and check its history.

    Args:
        site: guayaquil, taoyuan or many_groups (taoyuan with each ledger in its own group).
        seed: random seed; the run depends on no other randomness.
        minutes: virtual minutes of traffic.
        faults: "all" draws random faults of every kind, "none" injects none, "demonstration"
            injects the faults that expose the known-bad variant; otherwise a fault plan file.
        defect: name of a known-bad variant to run (see ``rainsail defects``).
        history: file to write the recorded history to (Avro).
        shrink: file to write the shortest failing fault plan to if the run fails.

    Exit code 0 when no checker found a violation, 3 when one did. The last line on stdout is one
    JSON object.
    """
    if site not in SITES:
        raise bad_input(f"--site: expected one of {', '.join(SITES)}, got {site!r}")
    if minutes <= 0:
        raise bad_input(f"--minutes: expected a number above 0, got {minutes!r}")
    if defect and defect not in DEFECTS:
        raise bad_input(f"--defect: no known-bad variant {defect!r}; see rainsail defects")
    with applied_defect(defect):
        run = SimulationRun(SITES[site](), seed, minutes)
        plan = _plan_of(faults, run, defect)
        with progress_bar("virtual seconds", minutes * 60) as bar:
            done_s = 0.0

            def progress(now_s: float) -> None:
                nonlocal done_s
                bar.advance(now_s - done_s)
                done_s = now_s

            result = run.run(plan, progress)
        if history:
            write_history(Path(history), run.history)
        if shrink and result.violations:
            _shrink(site, seed, minutes, plan, result, Path(shrink))
    print(result.to_json(), flush=True)
    if result.violations:
        raise CommandEnd(ExitCode.VIOLATION)


def _plan_of(faults: str, run: SimulationRun, defect: str) -> FaultPlan:
    if faults == "demonstration" and defect:
        return FaultPlan(actions=DEFECTS[defect].demonstration)
    if faults == "all":
        return run.drawn_plan()
    if faults == "none":
        return FaultPlan()
    read = read_plan(Path(faults))
    if read.is_error():
        raise bad_input(read.error.detail)
    return read.ok


def _shrink(
    site: str, seed: int, minutes: float, plan: FaultPlan, failed: RunResult, target: Path
) -> None:
    """Write the shortest plan found that still fails one of the same checkers."""
    checkers = {violation.checker for violation in failed.violations}

    def still_fails(candidate: FaultPlan) -> bool:
        result = SimulationRun(SITES[site](), seed, minutes).run(candidate)
        return any(violation.checker in checkers for violation in result.violations)

    write_plan(target, shrink_plan(plan, still_fails, MAX_SHRINK_RUNS))
    print(f"shortest failing plan written to {target}")


def defects() -> None:
    """List the known-bad variants, the checkers that detect each, and a description."""
    for defect in DEFECTS.values():
        print(f"{defect.name:22} {'/'.join(defect.checkers):34} {defect.description}")
