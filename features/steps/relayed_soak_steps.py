"""Steps on a relayed fleet under random faults."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when
from features.support.relayed_soak import RelayedSoak

from rainsail.cluster.controller import FleetController
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.messages import RunnerState, ZoneDrainAnswer
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.zone_drain_orders import ZoneDrainOrders
from rainsail.jobs.item_run import ItemProgress
from rainsail.state.cluster_commands import ReplaceTable, ZoneDrain
from rainsail.state.commands import Done


@when("a relayed fleet runs {seconds:d} seconds under random faults with seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak = RelayedSoak(seed, seconds)
    context.soak.run()


@then("its users have seen no promise broken, and it has done some work")
def judged(context):
    soak = context.soak
    assert not soak.violations, "\n".join([*soak.violations[:8], *soak.faults])
    accepted = [job for job in soak.jobs.values() if job.accepted_s is not None]
    assert len(soak.faults) >= 4 and soak.acknowledged_version > 0, soak.faults
    assert len(accepted) >= 5, len(accepted)
    assert any(job.pages and job.pages[-1] for job in accepted)


# --- known-bad variants ----------------------------------------------------------------------


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
    proposed = self._group.propose(ReplaceTable(message.version, message.content))
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
    return self._document()


DEFECTS = {
    "any table replaces the one held": (
        (FleetState, "apply", _take_any_table(FleetState.apply)),
        (FleetController, "_submit_as_leader", _submit_always),
    ),
    "an event that comes twice is taken twice": ((ItemProgress, "take", _take_every_event),),
    "nodes send to drained zones": ((RunnerRegistry, "_may_get_work", _send_to_drained_zones),),
    "an order on a zone is acknowledged and not kept": (
        (FleetState, "_set_zone_drain", _keep_no_order),
        (
            ZoneDrainOrders,
            "_answer",
            lambda self, message: ZoneDrainAnswer(
                ZoneDrain(message.zone, 1, message.draining), True
            ),
        ),
    ),
    "the last word at an address ends the runner before it": (
        (RunnerRegistry, "_give_address", _end_former),
    ),
    "a leader answers reads without its lease": (
        (FleetController, "_read_as_leader", _read_at_once),
    ),
}


@given("a relayed fleet in which {defect}")
def with_defect(context, defect):
    for owner, name, replacement in DEFECTS[defect]:
        patched = mock.patch.object(owner, name, replacement)
        patched.start()
        context.add_cleanup(patched.stop)


@when("relayed fleets run under random faults with seeds {first:d} to {last:d}")
def run_several(context, first, last):
    context.violations = []
    for seed in range(first, last + 1):
        soak = RelayedSoak(seed, 60)
        soak.run()
        context.violations += soak.violations
        if context.violations:
            return


@then("some promise was seen broken")
def some_broken(context):
    assert context.violations
