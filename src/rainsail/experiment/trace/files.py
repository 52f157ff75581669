"""Trace files: Avro containers of ``TraceRecord``, the origin first."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.experiment.container import read_container, write_container
from rainsail.experiment.trace.records import Trace, TraceOrigin, TraceRecord, make_trace
from rainsail.experiment.trace.rules import trace_problem

STEP = "trace.read"

TraceRecords = tuple[TraceOrigin, list[Any]]


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace; the same trace gives the same bytes."""
    records = [TraceRecord(trace.origin), *(TraceRecord(entry) for entry in trace.entries())]
    write_container(path, TraceRecord, records)


def read_trace(path: Path) -> Result[Trace, Fault]:
    """Read and check a trace; the fault names the file, and the offset or the entry."""
    return read_records(path).bind(lambda records: _trace(path, *records))


def read_records(path: Path) -> Result[TraceRecords, Fault]:
    """Read a trace's origin and entries as they stand in the file."""
    return read_container(path, TraceRecord, STEP).bind(lambda records: _split(path, records))


def _split(path: Path, records: list[Any]) -> Result[TraceRecords, Fault]:
    entries = [record.entry for record in records]
    origins = [entry for entry in entries if isinstance(entry, TraceOrigin)]
    if len(origins) != 1 or entries[0] is not origins[0]:
        return _invalid(path, "expected one origin, as the first record")
    return Ok((origins[0], entries[1:]))


def _trace(path: Path, origin: TraceOrigin, entries: list[Any]) -> Result[Trace, Fault]:
    trace = make_trace(origin, entries)
    problem = trace_problem(trace)
    return _invalid(path, problem) if problem else Ok(trace)


def _invalid(path: Path, detail: str) -> Result[Any, Fault]:
    return Error(Fault(FaultCode.INVALID, STEP, f"{path}: {detail}"))
