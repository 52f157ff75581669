"""Steps for the virtual links between gateways and emulated engines."""

from random import Random

from behave import given, then, when
from features.support.emulator import Bench, RecordingListener

from rainsail.engine.interface import EndReason
from rainsail.simulation.clock import SkewedClock
from rainsail.simulation.engine_link import EngineNetwork, SimulatedEngineClient

GATEWAY = "gateway-a1"
RUNNER = "engine-1"
ADDRESS = "engine-1:1"


def make_link(context, seed=1):
    """Make an engine, a network and one gateway's client."""
    context.bench = Bench()
    context.engine = context.bench.add(RUNNER)
    context.network = EngineNetwork(context.bench.clock)
    context.network.add(ADDRESS, context.engine)
    context.gateway_clock = SkewedClock(context.bench.clock)
    context.client = SimulatedEngineClient(
        GATEWAY, context.network, context.gateway_clock, Random(seed)
    )


@given("an emulated engine behind a virtual link")
def given_link(context):
    make_link(context)


@given("the linked engine is dead")
@when("the linked engine is crashed")
def crash(context):
    context.engine.crash()
    context.acted_s = context.bench.clock.seconds()


@given("the linked engine is restarted")
def restart(context):
    context.engine.restart()
    context.engine.preload("reports-1")


@given("the virtual link is cut")
@when("the virtual link is cut")
def cut(context):
    context.network.cut(GATEWAY, RUNNER)
    context.acted_s = context.bench.clock.seconds()


@when("the virtual link is healed")
def heal(context):
    context.network.heal(GATEWAY, RUNNER)


@given('the link loses each "{what}" on its way')
def lose_requests(context, what):
    context.network.faults.lose_request = lambda gateway, runner, asked: asked == what


@given("the link loses each end")
def lose_ends(context):
    context.network.faults.lose_reply = lambda gateway, runner, asked: asked == "generate"


@given("the link drops chunk 3, duplicates chunk 5 and delays chunk 7 by 1 s")
def disturb(context):
    fates = {3: (), 5: (0.0, 0.0), 7: (1.0,)}
    context.network.faults.chunk = lambda gateway, runner, chunk: fates.get(chunk.sequence, (0.0,))


@when("the linked gateway generates {tokens:d} tokens")
def generate(context, tokens):
    request = context.bench.request("t1", "reefer alarm", tokens)
    listener = RecordingListener(context.bench.clock)
    context.listener = context.bench.listeners["t1"] = listener
    context.acted_s = context.bench.clock.seconds()
    context.received_text = ""
    context.client.generate(ADDRESS, request, listener)


@when("{count:d} chunks have crossed the link")
def crossed(context, count):
    context.bench.run_until_chunks("t1", count)
    context.count = count


@when("the linked gateway resumes the attempt")
def resume(context):
    context.received_text = context.listener.text
    count = len(context.listener.chunks)
    listener = RecordingListener(context.bench.clock)
    context.listener = context.bench.listeners["t1"] = listener
    context.client.resume(ADDRESS, "t1", count, listener)


@then('the linked attempt ends "{reason}" with its whole answer')
def ends_whole(context, reason):
    listener = context.bench.run_until_ended("t1")
    assert listener.reason == reason, listener.end
    assert context.received_text + listener.text == context.bench.expected("t1")


@then('the linked attempt ends "{reason}" within {limit:g} s')
def ends_within(context, reason, limit):
    ends_between(context, reason, 0.0, limit)


@then('the linked attempt ends "{reason}" after {least:g} s and within {limit:g} s')
def ends_between(context, reason, least, limit):
    listener = context.bench.run_until_ended("t1")
    waited_s = listener.ended_s - context.acted_s
    assert listener.reason == reason, listener.end
    assert least <= waited_s <= limit, waited_s


@then("the linked engine ran nothing")
def ran_nothing(context):
    context.bench.clock.advance(20)
    assert context.engine.executions == []


@then("the linked engine ran the attempt once")
def ran_once(context):
    ran = [(each.attempt_id, each.reason) for each in context.engine.executions]
    assert ran == [("t1", EndReason.LENGTH)], ran


@when("the linked gateway cancels the attempt")
def cancel(context):
    context.cancelled = []
    context.client.cancel(ADDRESS, "t1").addCallback(context.cancelled.append)


@then('the linked cancel ended as "{code}" with outcome "{outcome}"')
def cancel_ended(context, code, outcome):
    context.bench.clock.advance(4)
    fault = context.cancelled[0].error
    assert (fault.code, fault.outcome, fault.peer) == (code, outcome, RUNNER), fault


@then("the linked attempt's chunks lack 3, have 5 twice and 7 out of order")
def disturbed(context):
    listener = context.bench.run_until_ended("t1")
    sequences = [chunk.sequence for chunk in listener.chunks]
    assert 3 not in sequences and sequences.count(5) == 2, sequences
    assert 7 not in sequences or sequences.index(7) > sequences.index(8), sequences
    assert listener.end.chunk_count == 20


@when("the linked gateway pauses the attempt for {seconds:g} s")
def pause(context, seconds):
    context.client.pause("t1")
    context.bench.clock.advance(seconds)


@then("the linked attempt still has {count:d} chunks")
def still_has(context, count):
    assert len(context.listener.chunks) == count and context.listener.end is None


@when("the linked gateway unpauses the attempt")
def read_on(context):
    context.client.unpause("t1")


@when("the linked gateway is frozen for {seconds:g} s")
def freeze(context, seconds):
    context.gateway_clock.freeze()
    context.bench.clock.advance(seconds)


@when("the linked gateway thaws")
def thaw(context):
    context.gateway_clock.thaw()


@when("the linked gateway is killed")
def kill(context):
    context.gateway_clock.stop()
    context.client.close()


@then("the linked engine cancels the attempt within {limit:g} s")
def engine_cancels(context, limit):
    context.bench.clock.advance(limit)
    assert [each.reason for each in context.engine.executions] == ["cancelled"]


@when("the linked gateway subscribes")
def subscribe(context):
    context.reports, context.losses = [], []
    context.client.subscribe(
        ADDRESS, context.reports.append, lambda event: None, context.losses.append
    )
    context.bench.clock.advance(1.2)


@then("the linked subscription is lost within {limit:g} s")
def subscription_lost(context, limit):
    assert context.losses == [], context.losses
    context.bench.clock.advance(limit)
    assert [fault.code for fault in context.losses] == ["unavailable"], context.losses


@then("the linked subscription delivers reports")
def subscription_reports(context):
    assert len(context.reports) >= 2 and context.losses == []


@then("two runs over a virtual link with the same seed are equal, and with another seed differ")
def same_seed(context):
    def run(seed):
        make_link(context, seed)
        generate(context, 30)
        context.bench.run_until_ended("t1")
        return context.listener.times_s

    assert run(4) == run(4) != run(5)
