"""Measures what each policy is worth: plays days of a site with one policy off at a time.

    python tools/ablation.py --bench=PROGRAM --site=FILE --days=scale-1 --off=silence,ejection

Each policy of ``rainsail.mechanisms`` is turned off in a copy of this tree beside it, or on where
it is off by default (the copy's journal entries come back into ``journal/``). Each day is played
there with each seed and without processor time, so that runs compare. Runs that have ended are
kept in ``--results`` and not played again: a measurement that was cut goes on where it was. The
table is printed at the end.
"""

import json
import re
import shutil
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean

import fire
from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.mechanisms import DEFAULTS, Mechanisms

REPOSITORY = Path(__file__).resolve().parent.parent
COPIED = ("src", "platform", "deploy")
TEMPLATE = Path("deploy") / "node.toml.template"
ALL_ON = "all on"
OWN_SEED = "own"
RUN_LIMIT_S = 3600
STEP = "ablation"


@dataclass(frozen=True, slots=True)
class Play:
    """One run: a day with one policy off, or ``ALL_ON``; ``sources`` names the commit."""

    site: str
    day: str
    seed: str
    off: str
    sources: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run was worth, and the score that follows from it."""

    worth: float
    score: float


def read_outcome(day: str, output: str) -> Result[Outcome, Fault]:
    """Return what the bench's report of a day says; a fault where it says nothing of that day."""
    line = re.search(rf"^{re.escape(day)} +\S+ +(\d\.\d+) +(-?\d\.\d+) ", output, re.MULTILINE)
    if line is None:
        last = output.strip().splitlines()[-1:] or ["no output"]
        return Error(Fault(FaultCode.INVALID, STEP, f"no result of {day}: {last[0]}"))
    return Ok(Outcome(float(line[2]), float(line[1])))


def switched_over(template: str, policy: str) -> str:
    """Return a settings template with one switch the other way than by default."""
    if policy == ALL_ON:
        return template
    value = "false" if getattr(DEFAULTS, policy, True) else "true"
    return f"{template.rstrip()}\n\n[mechanisms]\n{policy} = {value}\n"


class Results:
    """The runs that have ended, one JSON line each."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.outcomes: dict[Play, Outcome] = {}

    def load(self) -> Result[None, Fault]:
        """Read what was kept; a fault names the file and line that is damaged."""
        if not self._path.exists():
            return Ok(None)
        for number, line in enumerate(self._path.read_text().splitlines(), start=1):
            try:
                record = json.loads(line)
                self.outcomes[Play(**record["play"])] = Outcome(**record["outcome"])
            except (ValueError, KeyError, TypeError) as error:
                place = f"{self._path}, line {number}"
                return Error(Fault(FaultCode.INVALID, STEP, f"{place}: {error}"))
        return Ok(None)

    def add(self, play: Play, outcome: Outcome) -> None:
        """Keep the outcome of a run."""
        self.outcomes[play] = outcome
        record = {"play": asdict(play), "outcome": asdict(outcome)}
        with self._path.open("a") as file:
            file.write(json.dumps(record) + "\n")


def table(outcomes: dict[Play, Outcome], offs: Iterable[str]) -> list[str]:
    """Return the lines of the table: worth with, without, difference, and its spread over seeds."""
    lines = [
        "| policy | site | day | seeds | worth with | without | difference | least to most |",
        "|---|---|---|---|---|---|---|---|",
    ]
    days = sorted({(play.site, play.day) for play in outcomes})
    for off in offs:
        for site, day in days:
            pairs = _pairs(outcomes, off, site, day)
            if not pairs:
                continue
            gains = [with_it - without for with_it, without in pairs]
            averages = [mean(column) for column in zip(*pairs, strict=True)]
            lines.append(
                f"| {off} | {site} | {day} | {len(pairs)} | {averages[0]:.3f} | {averages[1]:.3f}"
                f" | {mean(gains):+.3f} | {min(gains):+.3f} to {max(gains):+.3f} |"
            )
    return lines


def _pairs(
    outcomes: dict[Play, Outcome], off: str, site: str, day: str
) -> list[tuple[float, float]]:
    """Return the worth with and without a policy, for the seeds that were played both ways."""
    pairs = []
    for play, outcome in outcomes.items():
        if (play.off, play.site, play.day) != (off, site, day):
            continue
        whole = Play(site, day, play.seed, ALL_ON, play.sources)
        if whole in outcomes:
            pairs.append((outcomes[whole].worth, outcome.worth))
    return pairs


class Bench:
    """Plays days in copies of the tree."""

    def __init__(self, program: Path, folder: Path) -> None:
        self._program = program.absolute()
        self._folder = folder.absolute()

    def prepare(self, off: str) -> None:
        """Make the copy in which a policy is off."""
        copy = self._copy(off)
        shutil.rmtree(copy, ignore_errors=True)
        (copy / "journal").mkdir(parents=True)
        for name in COPIED:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(REPOSITORY / name, copy / name, ignore=ignored)
        template = copy / TEMPLATE
        template.write_text(switched_over(template.read_text(), off))
        git = ["git", "-C", str(copy)]
        author = ["-c", "user.name=ablation", "-c", "user.email=ablation@localhost"]
        subprocess.run([*git, "init", "--quiet"], check=True)
        subprocess.run([*git, "add", "--all"], check=True)
        subprocess.run([*git, *author, "commit", "--quiet", "--message", off], check=True)

    def play(self, site: Path, play: Play) -> Result[Outcome, Fault]:
        """Play one run to its end."""
        why = f"ablation: {play.off} off" if play.off != ALL_ON else "ablation: all policies on"
        command = [str(self._program), "run", str(site.absolute()), play.day]
        command += ["--no-cpu", "--jobs", "1", "--why", why]
        if play.seed != OWN_SEED:
            command += ["--seed", play.seed]
        copy = self._copy(play.off)
        finished = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, timeout=RUN_LIMIT_S, check=False
        )
        return read_outcome(play.day, finished.stdout + finished.stderr)

    def collect_journal(self, offs: Iterable[str]) -> None:
        """Bring the journal entries of all copies into this tree."""
        for off in offs:
            shutil.copytree(self._copy(off) / "journal", REPOSITORY / "journal", dirs_exist_ok=True)

    def _copy(self, off: str) -> Path:
        return self._folder / off.replace(" ", "-")


def _commit() -> str:
    command = ["git", "-C", str(REPOSITORY), "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def _names(value: str | Sequence[str]) -> list[str]:
    parts = value.split(",") if isinstance(value, str) else list(value)
    return [str(part) for part in parts]


def ablation(
    bench: str,
    site: str,
    days: str = "scale-1",
    seeds: str = "own,11,13",
    off: str = "",
    jobs: int = 4,
    folder: str = "../ablation",
    results: str = "../ablation/results.jsonl",
) -> int:
    """Play days of a site with each policy off and print the table.

    Args:
        bench: the bench's program.
        site: a site file.
        days: names of days of the site, with commas between.
        seeds: seeds of the runs, ``own`` for the one of the site file.
        off: policies to turn off, all of them when left out.
        jobs: runs that go at once.
        folder: where the copies of the tree stand, beside the repository.
        results: file of the runs that have ended.
    """
    offs = _names(off) if off else list(Mechanisms.model_fields)
    unknown = [name for name in offs if name not in Mechanisms.model_fields]
    if unknown:
        return _bad_input(f"--off: {unknown[0]} is none of {', '.join(Mechanisms.model_fields)}")
    kept = Results(Path(results))
    loaded = kept.load()
    if loaded.is_error():
        return _bad_input(str(loaded.error))
    sources = _commit()
    name = Path(site).stem
    wanted = [
        Play(name, day, str(seed), each, sources)
        for each in (ALL_ON, *offs)
        for day in _names(days)
        for seed in _names(seeds)
    ]
    missing = [play for play in wanted if play not in kept.outcomes]
    bench_runs = Bench(Path(bench), Path(folder))
    played = sorted({play.off for play in missing})
    for each in played:
        bench_runs.prepare(each)
    failed = _play_all(bench_runs, Path(site), missing, kept, jobs)
    bench_runs.collect_journal(played)
    shown = {play: kept.outcomes[play] for play in wanted if play in kept.outcomes}
    print("\n".join(table(shown, offs)))
    return 1 if failed else 0


def _play_all(bench: Bench, site: Path, plays: list[Play], kept: Results, jobs: int) -> int:
    """Play what is missing; return how many runs gave no result."""
    failed = 0
    with ThreadPoolExecutor(jobs) as executor:
        results = executor.map(lambda play: bench.play(site, play), plays)
        for play, result in zip(plays, results, strict=True):
            if result.is_error():
                failed += 1
                print(f"{play}: {result.error}", file=sys.stderr)
                continue
            kept.add(play, result.ok)
            print(f"{play.site} {play.day} {play.seed} {play.off}: {result.ok}", file=sys.stderr)
    return failed


def _bad_input(message: str) -> int:
    print(f"ablation: {message}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    code = fire.Fire(ablation, serialize=lambda _: "")
    sys.exit(code)
