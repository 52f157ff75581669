"""Merging what several gateways recorded into one trace."""

import math
from dataclasses import replace
from pathlib import Path

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.experiment.trace.files import read_records
from rainsail.experiment.trace.records import (
    Trace,
    TracedCancel,
    TraceEntry,
    TraceOrigin,
    TraceSource,
    make_trace,
)
from rainsail.experiment.trace.rules import entry_id, trace_problem

STEP = "trace.record"

Recorded = TraceEntry | TracedCancel


def merge_recordings(paths: list[Path], site: str) -> Result[Trace, Fault]:
    """Return one trace whose time begins at the first arrival.

    Gateways' clocks are taken as they are. Of entries with one id (a request that was sent again,
    a change that every gateway saw) the first is kept.
    """
    entries: list[Recorded] = []
    for path in paths:
        recording = read_records(path)
        if recording.is_error():
            return Error(recording.error)
        origin, recorded = recording.ok
        entries += [replace(each, at_s=origin.started_unix_s + each.at_s) for each in recorded]
    if not entries:
        return Error(Fault(FaultCode.INVALID, STEP, "nothing was recorded"))
    trace = _rebased(_first_of_each(entries), site)
    problem = trace_problem(trace)
    return Error(Fault(FaultCode.INVALID, STEP, problem)) if problem else Ok(trace)


def _first_of_each(entries: list[Recorded]) -> list[Recorded]:
    kept: dict[str, Recorded] = {}
    for entry in sorted(entries, key=lambda each: each.at_s):
        kept.setdefault(_name_of(entry), entry)
    return list(kept.values())


def _name_of(entry: Recorded) -> str:
    if isinstance(entry, TracedCancel):
        return f"cancel {entry.tenant!r} {entry.job_key!r}"
    return entry_id(entry)


def _rebased(entries: list[Recorded], site: str) -> Trace:
    started_unix_s = min(entry.at_s for entry in entries)
    rebased = [replace(each, at_s=round(each.at_s - started_unix_s, 6)) for each in entries]
    duration_s = float(math.ceil(max(entry.at_s for entry in rebased)) or 1)
    origin = TraceOrigin(site, TraceSource.RECORDED, 0, duration_s, started_unix_s)
    return make_trace(origin, rebased)
