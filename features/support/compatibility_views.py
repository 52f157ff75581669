"""What an operator would read of a restored state, as lines of text.

The lines are written out here field by field, so that they don't change with a name in the code.
"""

from collections.abc import Iterator
from typing import Any

from rainsail.resources.specs import Kind, RunnerSpec, RunnerStatus

MOST_ROWS = 100


def native_view(state: Any) -> Iterator[str]:
    """Describe a native replica's group: revisions, resources, jobs with results, sessions."""
    yield f"revision {state.revision}, in force {state.in_force_revision}"
    for resource in state.list_resources():
        key = resource.key
        yield f"resource {key.kind}/{key.name} at {resource.revision}, spec {resource.generation}"
    for runner in state.list_resources(Kind.RUNNER):
        yield _runner_line(runner.spec, runner.status)
    for session in state.list_resources(Kind.SESSION):
        yield _session_line(state.session(session.key.name))
    for job in state.jobs():
        yield (
            f"job {job.job_id} of {job.spec.tenant} {job.phase}: {job.pending} pending, "
            f"{job.leased} leased, {job.completed} completed, {job.set_aside} set aside, "
            f"{job.cancelled} cancelled"
        )
        for row in state.results(job.job_id, 0, MOST_ROWS):
            yield f"item {row.index} {row.custom_id} {row.phase}: {row.text!r} {row.failure!r}"
    for holder in state.holders():
        held = ", ".join(
            f"{ref.job_id}/{ref.index} fence {ref.fence}" for ref in state.held_by(holder)
        )
        yield f"holder {holder}: {held}"
    for service, count in state.backlogs().items():
        yield f"backlog {service}: {count}"


def _runner_line(spec: RunnerSpec, status: RunnerStatus) -> str:
    adapters = ", ".join(status.adapters)
    return (
        f"runner at {spec.address} in {spec.region}/{spec.zone}: {spec.role}, drain {spec.drain}, "
        f"{spec.batch_slots} batch slots, loaded {status.loaded_version}, loading "
        f"{status.loading_version}, adapters {adapters}, fence {status.fence}, "
        f"ready {status.ready}, reachable {status.reachable}"
    )


def _session_line(session: Any) -> str:
    turns = "; ".join(f"{turn.request_id}: {turn.prompt} {turn.answer}" for turn in session.turns)
    place = f"{session.gateway} on {session.runner}, fence {session.fence}"
    return f"session {session.session}: {place}, {turns}"


def fleet_view(state: Any) -> Iterator[str]:
    """Describe a relaying fleet's root group."""
    yield f"table {state.version}: {state.content.decode()}"
    yield "founders " + ", ".join(state.founders)
    yield "leaving " + ", ".join(state.released)
    for drain in state.zone_drains():
        yield f"zone {drain.zone}: draining {drain.draining}, order {drain.revision}"
    yield from quarantine_view(state.quarantine.snapshot())


def quarantine_view(quarantine: Any) -> Iterator[str]:
    """Describe the requests that are or were held."""
    yield f"quarantine revision {quarantine.revision}"
    for request in quarantine.requests:
        name = request.fingerprint.decode().strip()
        yield f"request {name}: held {request.held}, {request.times} times"


def job_view(state: Any) -> Iterator[str]:
    """Describe a relaying fleet's ledger."""
    for job in state.jobs.values():
        yield (
            f"job {job.job} of {job.tenant} for {job.host}{job.path}: accepted at "
            f"{job.accepted_s:g} s, ended {job.ended}, {job.open_tokens} open tokens"
        )
        for item in job.items:
            headers = ", ".join(f"{header.name}={header.value}" for header in item.headers)
            yield f"item {item.item} {item.path} {headers}: {item.body!r}, {item.tokens} tokens"
        for listed in job.listed:
            yield f"result of {listed.index}: done {listed.done}, {listed.text!r}"
        for note in job.notes.values():
            yield f"progress of {note.index}: up to event {note.last_event}, {list(note.texts)}"


def runner_view(records: Any) -> Iterator[str]:
    """Describe runners of a controller's journal."""
    for record in records:
        yield (
            f"{record.runner} of {record.service} at {record.address} in {record.zone}: "
            f"{record.state}, {record.slots} slots, born {record.born}, "
            f"sequence {record.sequence}, warms up {record.warm_up_left_s:g} s"
        )
