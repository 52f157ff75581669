"""Steps of the emulated platform: streams, events, orders, sessions, weights, machines."""

from dataclasses import replace

from behave import given, then, when
from features.steps.emulator_engine_steps import long_prompt
from features.support.emulator import Bench, RecordingListener

from rainsail.emulator.machine_list import EmulatedMachineList
from rainsail.emulator.settings import MachineListSettings, WeightStoreSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import CacheEventKind, EngineOrder, LoadReport, OrderKind
from rainsail.engine.prefix import block_hashes
from rainsail.machines.machine_list import MachineState
from rainsail.simulation.clock import VirtualClock


class Subscriber:
    """Records load reports, and cache events with their arrival times."""

    def __init__(self, clock):
        self._clock = clock
        self.reports = []
        self.events = []
        self.times_s = []

    def on_load(self, report):
        """Record a load report."""
        assert isinstance(report, LoadReport)
        self.reports.append(report)

    def on_cache(self, event):
        """Record a cache event."""
        self.events.append(event)
        self.times_s.append(self._clock.seconds())

    def view(self):
        """Return the cached blocks that follow from the events."""
        blocks = []
        for event in self.events:
            if event.kind is CacheEventKind.CLEARED:
                blocks = []
            elif event.kind is CacheEventKind.STORED:
                blocks += event.blocks
            else:
                blocks = [block for block in blocks if block not in event.blocks]
        return sorted(blocks)


@when('the reader of attempt "{name}" is lost')
def lose_reader(context, name):
    context.engine.detach(name, context.bench.listeners[name])


@when('a reader resumes attempt "{name}" from chunk {first:d}')
def resume(context, name, first):
    context.second = RecordingListener(context.bench.clock)
    assert context.engine.attach(name, first, context.second)


@then('the two readers of attempt "{name}" got the whole answer without overlap')
def two_readers(context, name):
    first = context.bench.listeners[name]
    assert first.end is None
    assert first.text + context.second.text == context.bench.expected(name)
    sequences = [chunk.sequence for chunk in first.chunks + context.second.chunks]
    assert sequences == list(range(len(sequences)))
    assert context.second.end.chunk_count == len(sequences)


@then(
    'a second resume of attempt "{name}" from chunk {first:d} gets the last {count:d} chunks '
    "and the end"
)
def resume_after_end(context, name, first, count):
    third = RecordingListener(context.bench.clock)
    assert context.engine.attach(name, first, third)
    assert [chunk.sequence for chunk in third.chunks] == list(range(first, first + count))
    assert third.end == context.second.end


@when('attempt "{name}" is cancelled at the engine')
def cancel(context, name):
    assert context.engine.cancel(name)


@then('cancelling attempt "{name}" again finds nothing')
def cancel_again(context, name):
    assert not context.engine.cancel(name)


@when("a subscriber follows the engine")
def subscribe(context):
    context.subscriber = Subscriber(context.bench.clock)
    context.engine.subscribe(context.subscriber.on_load, context.subscriber.on_cache)


@then("the subscriber's last load report shows {running:d} running, {age:g} s old")
def last_report(context, running, age):
    report = context.subscriber.reports[-1]
    assert (report.running, report.age_s) == (running, age), report
    sequences = [each.sequence for each in context.subscriber.reports]
    assert sequences == sorted(set(sequences)), sequences


@when("{count:d} attempts with different prompts run one after the other")
def run_many(context, count):
    context.cached_at_s = {}
    for number in range(count):
        prompt = long_prompt(256, f"p{number}")
        context.bench.generate("engine-1", f"p{number}", prompt, 1)
        listener = context.bench.run_until_ended(f"p{number}")
        for block in block_hashes(prompt):
            context.cached_at_s[block] = listener.ended_s
    context.bench.clock.advance(2)


@then("the subscriber's cache events have gaps in their sequence")
def has_gaps(context):
    sequences = [event.sequence for event in context.subscriber.events]
    assert sequences == sorted(set(sequences))
    assert 5 < len(sequences) <= sequences[-1] - 5, sequences


@then("no cache event arrived earlier than {delay:g} s after its blocks were cached")
def events_late(context, delay):
    subscriber = context.subscriber
    for event, time_s in zip(subscriber.events, subscriber.times_s, strict=True):
        for block in event.blocks:
            assert time_s >= context.cached_at_s[block] + delay - 1e-9, event


@then("the subscriber's view of the cache lacks blocks")
def view_lacks(context):
    assert len(context.subscriber.view()) < len(context.engine.cached_blocks())


@then("the subscriber's view of the cache is that of the engine")
def view_whole(context):
    assert context.subscriber.view() == sorted(context.engine.cached_blocks()) != []


@when('the engine takes the order {kind} "{target}" of {size:d} bytes under fence {fence:d}')
def take_order(context, kind, target, size, fence):
    context.order = context.engine.order(EngineOrder(fence, OrderKind(kind), target, size))


@then("the last order was refused as {code:w}")
def order_refused(context, code):
    assert context.order.is_error() and context.order.error.code == code, context.order


@then('the engine has loaded "{version}" under fence {fence:d}')
def has_loaded(context, version, fence):
    load = context.engine.load()
    assert (load.loaded_version, load.loading_version, load.fence) == (version, "", fence), load


@given("a weight store of {rate:d} bytes a second")
def make_store(context, rate):
    context.clock = VirtualClock()
    context.store = WeightStore(context.clock, WeightStoreSettings(bytes_per_second=rate))
    context.loads = []
    context.ended_s = []


@when("a load of {size:d} bytes begins")
def begin_load(context, size):
    load = context.store.fetch(size)
    load.addCallback(lambda _: context.ended_s.append(round(context.clock.seconds(), 6)))
    load.addErrback(lambda _: None)
    context.loads.append(load)


@when("the emulator's store runs for {seconds:g} s")
def run_store(context, seconds):
    context.clock.advance(seconds)


@when("the last load is cancelled")
def cancel_load(context):
    context.loads[-1].cancel()


@then("the loads end after {times}")
def loads_end(context, times):
    context.clock.advance(10)
    expected = [float(each.removesuffix(" s")) for each in times.split(" and ")]
    assert context.ended_s == expected, context.ended_s
    assert context.store.loads_under_way == 0


@given("two emulated engines")
def make_two(context):
    context.bench = Bench()
    for number in (1, 2):
        context.bench.add(f"engine-{number}")
    context.prompt = long_prompt(4000)


@when(
    'attempt "{name}" of session "{session}" under fence {fence:d} runs on engine {number:d} '
    "with a prompt of {length:d} characters"
)
@when(
    'attempt "{name}" of session "{session}" under fence {fence:d} runs on engine {number:d} '
    "with the same prompt"
)
def run_turn(context, name, session, fence, number, length=0):
    send_turn(context, name, session, fence, number)
    context.bench.run_until_ended(name)


@when('attempt "{name}" of session "{session}" under fence {fence:d} is sent to engine {number:d}')
def send_turn(context, name, session, fence, number):
    engine = f"engine-{number}"
    context.bench.generate(engine, name, context.prompt, 20, session=session, fence=fence)


@when('session "{session}" is exported from engine {number:d} under fence {fence:d}')
def export(context, session, number, fence):
    exported = context.bench.engines[f"engine-{number}"].export_kv(session, fence)
    assert exported.is_ok(), exported
    context.exported = exported.ok


@when("the export is imported into engine {number:d} under fence {fence:d}")
def import_state(context, number, fence):
    state = replace(context.exported, fence=fence)
    assert context.bench.engines[f"engine-{number}"].import_kv(state).is_ok()


@then("an import of the export under fence {fence:d} into engine {number:d} is refused as {code:w}")
def import_refused(context, fence, number, code):
    state = replace(context.exported, fence=fence)
    refused = context.bench.engines[f"engine-{number}"].import_kv(state)
    assert refused.is_error() and refused.error.code == code, refused


@then(
    'an export of session "{session}" from engine {number:d} under fence {fence:d} '
    "is refused as {code:w}"
)
def export_refused(context, session, number, fence, code):
    refused = context.bench.engines[f"engine-{number}"].export_kv(session, fence)
    assert refused.is_error() and refused.error.code == code, refused


@given("an emulated machine list with a lag of {lag:g} s")
def make_list(context, lag):
    context.clock = VirtualClock()
    context.machines = EmulatedMachineList(context.clock, MachineListSettings(lag_s=lag))


@when('machine "{name}" is put on the list and then marked as leaving {delay:g} s later')
def change_machine(context, name, delay):
    context.machines.put(name, "127.0.0.1:1")
    context.clock.callLater(delay, context.machines.put, name, "127.0.0.1:1", MachineState.LEAVING)


@then(
    'the list shows "{name}" as nothing at {first:g} s, live at {second:g} s '
    "and leaving at {third:g} s"
)
def list_shows(context, name, first, second, third):
    seen = []
    for time_s in (first, second, third):
        context.clock.run_until(time_s)
        fetched = []
        context.machines.fetch().addCallback(fetched.append)
        seen.append([(each.name, each.state) for each in fetched[0].ok])
    assert seen == [[], [(name, "live")], [(name, "leaving")]], seen
