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
    TracedJob,
    TracedRequest,
    TraceEntry,
    TraceOrigin,
    TraceSource,
    make_trace,
)
from rainsail.experiment.trace.rules import trace_problem

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
    kept: dict[tuple[str, str, str], Recorded] = {}
    for entry in sorted(entries, key=lambda each: each.at_s):
        kept.setdefault(_identity(entry), entry)
    return _distinct_ids(kept)


def _identity(entry: Recorded) -> tuple[str, str, str]:
    """Return kind, tenant and id: tenants choose their ids apart from one another."""
    if isinstance(entry, TracedRequest):
        return "request", entry.tenant, entry.request_id
    if isinstance(entry, TracedJob):
        return "job", entry.tenant, entry.job_key
    if isinstance(entry, TracedCancel):
        return "cancel", entry.tenant, entry.job_key
    return "change", "", entry.change_id


def _distinct_ids(kept: dict[tuple[str, str, str], Recorded]) -> list[Recorded]:
    """Put the tenant before an id that several tenants chose; a slash would look like an item."""
    tenants: dict[tuple[str, str], set[str]] = {}
    for kind, tenant, name in kept:
        tenants.setdefault((kind.replace("cancel", "job"), name), set()).add(tenant)
    found: list[Recorded] = []
    for (kind, tenant, name), entry in kept.items():
        shared = len(tenants[(kind.replace("cancel", "job"), name)]) > 1
        new_name = (f"{tenant}:{name}" if shared else name).replace("/", ":")
        if isinstance(entry, TracedRequest):
            found.append(replace(entry, request_id=new_name))
        elif isinstance(entry, TracedJob | TracedCancel):
            found.append(replace(entry, job_key=new_name))
        else:
            found.append(entry)
    return found


def _rebased(entries: list[Recorded], site: str) -> Trace:
    started_unix_s = min(entry.at_s for entry in entries)
    rebased = [replace(each, at_s=round(each.at_s - started_unix_s, 6)) for each in entries]
    duration_s = float(math.ceil(max(entry.at_s for entry in rebased)) or 1)
    origin = TraceOrigin(site, TraceSource.RECORDED, 0, duration_s, started_unix_s)
    return make_trace(origin, rebased)
