"""Steps on a relayed fleet under random faults."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when
from features.support.relayed_soak import SoakPlan
from features.support.relayed_soak_plans import play, play_long_items

from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.messages import RunnerState, ZoneDrainAnswer
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.table_service import TableService
from rainsail.cluster.zone_drain_orders import ZoneDrainOrders
from rainsail.fleet import group_folder
from rainsail.jobs import ledger_service, open_jobs
from rainsail.jobs.item_progress import ItemProgress
from rainsail.jobs.job_state import NO_EVENT, JobState
from rainsail.jobs.ledger_service import LedgerService, page_of
from rainsail.jobs.open_item import resume_item
from rainsail.state.cluster_commands import ReplaceTable, ZoneDrain
from rainsail.state.commands import Done

SHORT_LOGS = {
    "LEAST_SNAPSHOT_LOG_BYTES": 4_000,
    "SNAPSHOT_DISK_SHARE": 0.0,
    "RETAINED_BYTES": 1_000,
}


@when("a relayed fleet runs {seconds:d} seconds under random faults with seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak = play(seed, SoakPlan(seconds))


@given("groups whose logs are compacted after a few entries")
def cut_logs_short(context):
    for name, value in SHORT_LOGS.items():
        patched = mock.patch.object(group_folder, name, value)
        patched.start()
        context.add_cleanup(patched.stop)


@when("a relayed fleet with long items changes its leaders for 60 seconds with seed {seed:d}")
def run_long_items(context, seed):
    context.soak = play_long_items(seed)


@then("some texts are put together from several runs")
def texts_joined(context):
    soak = context.soak
    entries = [entry for job in soak.jobs.values() for entry in job.results.known.values()]
    assert sum(soak.runs.joined(entry.text) for entry in entries) >= 5, len(entries)


@then("its users have seen no guarantee violated, and it has done some work")
def guarantees_held(context):
    soak = context.soak
    assert not soak.violations, "\n".join([*soak.violations[:8], *soak.faults])
    accepted = [job for job in soak.jobs.values() if job.accepted_s is not None]
    assert len(soak.faults) >= 4 and soak.tables.newest > 0, soak.faults
    assert len(accepted) >= 5, len(accepted)
    assert any(job.results.known for job in accepted)


# --- injected defects that the soak has to detect ----------------------------------------------


def _take_any_table(apply):
    def taking(self, index, command):
        if isinstance(command, ReplaceTable):
            self.version, self.content = command.version, command.content
            return Done()
        return apply(self, index, command)

    return taking


def _take_every_event(self, event):
    self.last_event = event.number
    self.texts.append(event.data)
    self.numbers.append(event.number)


def _submit_always(self, message):
    command = ReplaceTable(message.version, message.content)
    proposed = self._context.group.propose(command)
    return proposed.addCallback(lambda result: result.error if result.is_error() else Done())


def _send_to_drained_zones(self, record):
    return record.takes_work


def _keep_no_order(self, command):
    return Done()


def _end_former(self, speaker):
    former = self._records.get(self._by_address.get(speaker.address, ""))
    self._by_address[speaker.address] = speaker.runner
    if former is None or former.runner == speaker.runner:
        return []
    self._records[former.runner] = replace(former, state=RunnerState.GONE)
    return [self._records[former.runner]]


def _read_at_once(self, message):
    return self._applied_document()


def _take_any_note(self, note):
    job = self.jobs.get(note.job)
    if job is None or job.ended or note.index not in job.unlisted:
        return
    known = job.notes.get(note.index)
    texts = note.texts if known is None else known.texts + note.texts
    job.notes[note.index] = replace(note, after_event=NO_EVENT, texts=texts)


def _resumed_from_the_start(job, index):
    item = resume_item(job, index)
    item.progress.last_event = None
    return item


def _page_by_item(job, after):
    page = page_of(job, 0)
    entries = sorted(page.results, key=lambda entry: entry.item)
    return replace(page, after=after, results=tuple(entries[after:]))


def _answer_anywhere(refusal):
    def answering(self, step):
        return None if step == "jobs.read" and self._group is not None else refusal(self, step)

    return answering


DEFECTS = {
    "a progress note is applied wherever it begins": ((JobState, "_note", _take_any_note),),
    "a resumed item restarts after its old text": (
        (open_jobs, "resume_item", _resumed_from_the_start),
    ),
    "results are listed in the order of the items": ((ledger_service, "page_of", _page_by_item),),
    "every storage node answers reads from its local state": (
        (LedgerService, "_refusal", _answer_anywhere(LedgerService._refusal)),
    ),
    "any routing table replaces the current one": (
        (FleetState, "apply", _take_any_table(FleetState.apply)),
        (TableService, "_submit_as_leader", _submit_always),
    ),
    "a duplicate event is applied twice": ((ItemProgress, "take", _take_every_event),),
    "nodes send to drained zones": ((RunnerRegistry, "_may_get_work", _send_to_drained_zones),),
    "a zone drain order is acknowledged but not stored": (
        (FleetState, "_set_zone_drain", _keep_no_order),
        (
            ZoneDrainOrders,
            "_answer",
            lambda self, message: ZoneDrainAnswer(
                ZoneDrain(message.zone, 1, message.draining), True
            ),
        ),
    ),
    "the last report at an address ends the previous runner there": (
        (RunnerRegistry, "_assign_address", _end_former),
    ),
    "a leader answers reads without its lease": ((TableService, "_read_as_leader", _read_at_once),),
}


@given("a relayed fleet in which {defect}")
def with_defect(context, defect):
    for owner, name, replacement in DEFECTS[defect]:
        patched = mock.patch.object(owner, name, replacement)
        patched.start()
        context.add_cleanup(patched.stop)


@when("relayed fleets run under random faults with seeds {first:d} to {last:d}")
def run_several(context, first, last):
    _run_until_broken(context, first, last, play)


def _run_until_broken(context, first, last, run):
    context.violations = []
    for seed in range(first, last + 1):
        context.violations += run(seed).violations
        if context.violations:
            return


@when("relayed fleets with long items change their leaders with seeds {first:d} to {last:d}")
def run_several_long(context, first, last):
    _run_until_broken(context, first, last, play_long_items)


@then("some guarantee was seen violated")
def violated(context):
    assert context.violations
