"""Single files that were written once and must be read by every later version.

``write_kept_files`` wrote those under ``features/compatibility/data/files``: a trace, which users
record and keep, and the journal of the demonstration's clients.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rainsail.demo.journal import AcceptedJournal, NotedItem, NotedJob
from rainsail.experiment.trace.files import read_trace, write_trace
from rainsail.experiment.trace.records import (
    PromptShape,
    Trace,
    TracedChange,
    TracedItem,
    TracedJob,
    TracedRequest,
    TraceOrigin,
    TraceSource,
)
from rainsail.resources.specs import Kind, RequestClass, ResourceKey, TenantSpec

FILES = Path("features/compatibility/data/files")
TRACE_NAME = "requests.trace"
JOURNAL_FOLDER = "demo"
JOURNAL_SCHEMAS = 7
"""Stands for the fingerprint of the version that wrote the journal."""


def write_kept_files(target: Path) -> None:
    """Write a trace and a journal into a folder."""
    target.mkdir(parents=True, exist_ok=True)
    write_trace(target / TRACE_NAME, _trace())
    journal = AcceptedJournal(target / JOURNAL_FOLDER, JOURNAL_SCHEMAS)
    opened = journal.open()
    assert opened.is_ok(), str(opened.error)
    items = (NotedItem("item-1", "Prompt 1", 8), NotedItem("item-2", "Prompt 2", 9))
    journal.note(NotedJob(journal.run, "job-key", "job-1", "reports", items))
    journal.close()


def _trace() -> Trace:
    prompt = PromptShape("template-1", 30, 12, "The text of a prompt")
    request = TracedRequest(
        1.5,
        "request-1",
        "zone-a",
        "shop",
        "reports",
        RequestClass.NON_REPEATABLE,
        prompt,
        64,
        3,
        8.5,
        "session-1",
        "adapter-1",
    )
    items = (TracedItem("item-1", prompt, 16), TracedItem("item-2", prompt, 17))
    job = TracedJob(2.5, "job-key", "zone-b", "shop", "reports", 600.0, items, 4, 30.5, "adapter-1")
    tenant = TenantSpec(10.0, 20.0, 2.0, ("ab" * 32,), operator=True)
    change = TracedChange(3.5, "change-1", "operator", ResourceKey(Kind.TENANT, "shop"), tenant)
    origin = TraceOrigin("guayaquil", TraceSource.RECORDED, 0, 60.0, 1_750_000_000.0)
    return Trace(origin, (request,), (job,), (change,))


def trace_view(path: Path) -> Iterator[str]:
    """Describe a trace file."""
    read = read_trace(path)
    assert read.is_ok(), str(read.error)
    origin = read.ok.origin
    yield (
        f"{origin.source} at {origin.site}, seed {origin.seed}, {origin.duration_s:g} s "
        f"from {origin.started_unix_s:.0f} on"
    )
    for request in read.ok.requests:
        yield (
            f"request {request.request_id} at {request.at_s:g} s from {request.origin}: "
            f"{request.tenant} {request.service} {request.class_} {request.adapter} "
            f"{request.session}, {request.max_tokens} tokens, seed {request.seed}, "
            f"deadline {request.deadline_s:g} s, {_prompt(request.prompt)}"
        )
    for job in read.ok.jobs:
        items = ", ".join(f"{item.custom_id} {item.max_tokens}" for item in job.items)
        yield (
            f"job {job.job_key} at {job.at_s:g} s from {job.origin}: {job.tenant} {job.service} "
            f"{job.adapter}, deadline {job.deadline_s:g} s, {job.item_count} items, "
            f"cancelled after {job.cancel_after_s:g} s: {items}, {_prompt(job.items[0].prompt)}"
        )
    for change in read.ok.changes:
        yield (
            f"change {change.change_id} at {change.at_s:g} s by {change.operator}: "
            f"{change.key.kind}/{change.key.name} weight {change.spec.weight:g}"
        )


def _prompt(prompt: Any) -> str:
    return (
        f"prompt {prompt.template} {prompt.template_characters}+{prompt.own_characters} "
        f"{prompt.text!r}"
    )


def journal_view(folder: Path) -> Iterator[str]:
    """Describe what a new start of the demonstration reads of a copy of a journal's folder."""
    journal = AcceptedJournal(folder, JOURNAL_SCHEMAS)
    opened = journal.open()
    assert opened.is_ok(), str(opened.error)
    journal.close()
    yield f"this is start {journal.run}"
    for job in journal.earlier_jobs:
        items = ", ".join(f"{item.custom_id} {item.prompt} {item.max_tokens}" for item in job.items)
        yield f"start {job.run}: {job.job_key} {job.job_id} {job.service}: {items}"
