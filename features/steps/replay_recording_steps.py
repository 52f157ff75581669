"""Steps in which gateways record their callers and recordings are merged."""

import json
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from behave import given, then, when
from features.support.caller_api import GatewayDouble, IntakeDouble
from features.support.command_line import rainsail_here

from rainsail.experiment.replay.outcomes import OutcomesFile
from rainsail.experiment.replay.simulated import replay_simulated
from rainsail.experiment.trace.merge import merge_recordings
from rainsail.experiment.trace.recorder import TraceRecorder
from rainsail.experiment.trace.recording import RecordingGateway, RecordingIntake
from rainsail.experiment.trace.settings import RecordingSettings
from rainsail.gateway.interface import CallerRequest
from rainsail.resources.specs import (
    EventType,
    Kind,
    RequestClass,
    Resource,
    ResourceKey,
    TenantSpec,
    WatchEvent,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import ItemBody

UNIX_S = 1_800_000_000.0
KEY_HASH = "2ec1e9d61cbd6eea856adea2e6ae3bbb"
PROMPT = "Where is container MSKU 123456? "


class Recorded:
    """A gateway double with a recorder in front of it."""

    def __init__(self, folder, name, clock, **settings):
        self.path = folder / f"{name}.avro"
        wall_clock = lambda: UNIX_S + clock.seconds()  # noqa: E731
        self.recorder = TraceRecorder(
            self.path,
            "gye-a",
            lambda service: RequestClass.ONLINE,
            clock,
            Random(3),
            wall_clock,
            RecordingSettings.model_validate(settings),
        )
        self.core = GatewayDouble()
        self.gateway = RecordingGateway(self.core, self.recorder)
        self.intake = RecordingIntake(IntakeDouble(), self.recorder)


def start(context, names, **settings):
    """Start recording gateways on one virtual clock."""
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    context.clock = VirtualClock()
    folder = Path(holder.name)
    context.gateways = [Recorded(folder, name, context.clock, **settings) for name in names]


@given("two gateways that record their callers")
def step_two(context):
    start(context, ("a", "b"), max_items_kept=10)


@given("two gateways that record their callers and keep prompts")
def step_two_keeping(context):
    start(context, ("a", "b"), keep_prompts=True)


@given("a gateway that records at most {size:d} bytes and holds at most {count:d} arrivals")
def step_bounded(context, size, count):
    start(context, ("a",), max_file_bytes=size, max_waiting=count)


class NoSink:
    """A caller that doesn't look at its answer."""

    def on_part(self, text, tokens):
        """Take a part."""

    def on_answer(self, answer):
        """Take the answer."""


def send(gateway, request_id, prompt=PROMPT, tenant="exporter"):
    """Send a request through a gateway's recorder."""
    request = CallerRequest(request_id, tenant, "reports", prompt, 16, None)
    gateway.gateway.submit(request, NoSink())


@when('a caller sends "{name}" to the first and, after its answer was lost, again to the second')
def step_send_twice(context, name):
    context.clock.advance(3.0)
    send(context.gateways[0], name)
    context.clock.advance(2.0)
    send(context.gateways[1], name)


@when(
    "a caller submits a job of {count:d} items to the second and cancels it {after:d} seconds later"
)
def step_job(context, count, after):
    intake = context.gateways[1].intake
    items = tuple(ItemBody(f"i{index}", f"{PROMPT}{index}", 8) for index in range(count))
    deadline_s = UNIX_S + context.clock.seconds() + 3600.0
    accepted = intake.submit("exporter", "night", "reports", items, deadline_s)
    context.clock.advance(after)
    intake.cancel("exporter", accepted.result.ok.job_id)


@when("an operator changes a tenant's weight, which both gateways see")
def step_change(context):
    key = ResourceKey(Kind.TENANT, "exporter")
    spec = TenantSpec(5000.0, 9000.0, 2.0, (KEY_HASH,))
    event = WatchEvent(EventType.PUT, 7, Resource(key, spec, 7, 7))
    status_only = WatchEvent(EventType.PUT, 8, Resource(key, spec, 8, 7))
    for gateway in context.gateways:
        gateway.recorder.configuration(event)
        gateway.recorder.configuration(status_only)


@when("a caller sends two prompts that begin alike and one that doesn't to the first")
def step_alike(context):
    shared = "Instructions: answer briefly and exactly, and name the container. " * 6
    for number, prompt in enumerate((f"{shared} one", f"{shared} and two", "no such start")):
        send(context.gateways[0], f"q{number}", prompt)


@when('tenants exporter and broker both send a request "{name}" to the first')
def step_same_id(context, name):
    for tenant in ("exporter", "broker"):
        send(context.gateways[0], name, tenant=tenant)


@then('the trace holds the requests "{first}" and "{second}"')
def step_two_ids(context, first, second):
    assert [each.request_id for each in context.merged.requests] == [first, second]


@when("the recordings are merged into a trace")
def step_merge(context):
    context.clock.advance(1.5)
    for gateway in context.gateways:
        gateway.recorder.close()
    merged = merge_recordings([gateway.path for gateway in context.gateways], "guayaquil")
    assert merged.is_ok(), merged.error
    context.merged = merged.ok


@then(
    'the trace holds "{name}" once, {count:d} items cancelled after {after:d} seconds, one change'
)
def step_holds(context, name, count, after):
    merged = context.merged
    assert [each.request_id for each in merged.requests] == [name]
    assert merged.requests[0].at_s == 0.0, merged.requests
    (job,) = merged.jobs
    assert (job.item_count, len(job.items), job.deadline_s) == (count, 10, 3600.0), job
    assert abs(job.cancel_after_s - after) < 1e-6, job
    (change,) = merged.changes
    assert change.key.name == "exporter" and change.spec.weight == 2.0


@then("no prompt's text and no key's hash stands in the recordings")
def step_no_text(context):
    for gateway in context.gateways:
        data = gateway.path.read_bytes()
        assert b"MSKU" not in data and KEY_HASH.encode() not in data
        assert b"exporter" in data


@then("the merged trace can be replayed")
def step_replayable(context):
    stated = {"name": "a", "of": {"class": "online"}, "require": "whole"}
    outcomes = OutcomesFile.model_validate({"outcomes": [stated]})
    merged = replace(context.merged, changes=())
    done = replay_simulated(merged, outcomes, 1).ok
    assert done.held(False), done.to_json()


@then("the first two have one template and the third another")
def step_templates(context):
    first, second, third = [each.prompt for each in context.merged.requests]
    assert first.template == second.template != third.template
    assert first.own_characters > 0 and third.own_characters == 0


@then('the trace holds the prompt of "{name}" as it was sent')
def step_kept(context, name):
    assert [each.prompt.text for each in context.merged.requests] == [PROMPT]


@when("{count:d} requests arrive within each of {seconds:d} seconds")
def step_flood(context, count, seconds):
    for second in range(seconds):
        for number in range(count):
            send(context.gateways[0], f"q{second}-{number}")
        context.clock.advance(1.0)
    context.gateways[0].recorder.close()


@then(
    "the recording's file is at most {size:d} bytes and the other arrivals are counted as dropped"
)
def step_bounded_file(context, size):
    gateway = context.gateways[0]
    merged = merge_recordings([gateway.path], "guayaquil").ok
    assert 0 < gateway.path.stat().st_size <= size
    assert len(merged.requests) > 100
    assert len(merged.requests) + gateway.recorder.dropped == len(gateway.core.runs)


@then("all {count:d} requests went on to the core")
def step_all_core(context, count):
    assert len(context.gateways[0].core.runs) == count


@when("the last {count:d} bytes of the first recording are lost")
def step_torn(context, count):
    for gateway in context.gateways:
        gateway.recorder.close()
    path = context.gateways[0].path
    path.write_bytes(path.read_bytes()[:-count])


@then("merging the recordings fails naming the file and an offset")
def step_merge_fails(context):
    merged = merge_recordings([gateway.path for gateway in context.gateways], "guayaquil")
    path = str(context.gateways[0].path)
    assert merged.is_error() and path in merged.error.detail, merged
    assert "offset" in merged.error.detail, merged.error


@when("{count:d} prompts of {size:d} characters arrive at once")
def step_large_prompts(context, count, size):
    for number in range(count):
        send(context.gateways[0], f"q{number}", "x" * size)


@then("at most {size:d} characters of them wait and the other arrivals are counted as dropped")
def step_waiting_bounded(context, size):
    gateway = context.gateways[0]
    gateway.recorder.close()
    assert 0 < gateway.path.stat().st_size <= size
    kept = len(merge_recordings([gateway.path], "guayaquil").ok.requests)
    assert kept + gateway.recorder.dropped == len(gateway.core.runs) > kept > 10


@when('"trace record" merges the recordings on the command line')
def step_record_command(context):
    for gateway in context.gateways:
        gateway.recorder.close()
    context.recordings = [str(gateway.path) for gateway in context.gateways]
    context.out = context.gateways[0].path.with_name("merged.avro")
    words = ["trace", "record", *context.recordings, "--out", str(context.out)]
    context.finished = rainsail_here([*words, "--site", "guayaquil"])


@then('it prints {count:d} online request of "{site}" and its file can be shown')
def step_printed(context, count, site):
    assert context.finished.code == 0, context.finished
    printed = json.loads(context.finished.stdout.splitlines()[-1])
    assert (printed["site"], printed["classes"]["online"]["arrivals"]) == (site, count), printed
    shown = rainsail_here(["trace", "show", str(context.out)])
    assert shown.code == 0 and '"recorded"' in shown.stdout, shown


@then("with a file that is no recording it ends with code 2 naming the file")
def step_record_refused(context):
    odd = context.out.with_name("odd.avro")
    odd.write_bytes(b"no recording")
    finished = rainsail_here(["trace", "record", *context.recordings, str(odd), "--out", "x"])
    assert finished.code == 2 and str(odd) in finished.stderr, finished
