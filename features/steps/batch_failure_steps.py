"""Steps of features/batch/dispatch.feature in which processes, links and engines fail."""

from behave import given, then, when

from rainsail.resources.specs import Kind, ResourceKey, RunnerSpec
from rainsail.state.commands import PutResource


@given("the network loses the first {count:d} cancels of every batch item")
def step_lose_cancels(context, count):
    """Lose the first cancels on each link to an engine."""
    lost = {}

    def lose(gateway, runner, what):
        if what != "cancel":
            return False
        lost[gateway, runner] = lost.get((gateway, runner), 0) + 1
        return lost[gateway, runner] <= count * context.batch.slots

    context.batch.network.faults.lose_request = lose
    context.batch_cancels = lost


@given("the network loses, repeats and disorders chunks of batch items")
def step_disorder(context):
    """Lose one chunk of each attempt, and duplicate or delay others; resent chunks all arrive."""
    lost = set()
    sent = set()

    def deliver(gateway, runner, chunk):
        if (chunk.attempt_id, chunk.sequence) in sent:
            return (0.0,)
        sent.add((chunk.attempt_id, chunk.sequence))
        if chunk.sequence == 3:
            lost.add(chunk.attempt_id)
            return ()
        if chunk.sequence % 4 == 1:
            return (0.07,)
        return (0.0, 0.05) if chunk.sequence % 4 == 2 else (0.0,)

    context.batch.network.faults.chunk = deliver
    context.lost_chunks = lost


@when("the process of gateway-{index:d} dies with batch items in flight")
def step_gateway_dies(context, index):
    """Stop all timers and drop all streams of a gateway without notifying anyone."""
    gateway = context.batch.gateways[index]
    assert gateway.dispatcher.running_items > 0
    gateway.clock.stop()
    gateway.engine.close()


@when("the runners of gateway-{old:d} pass to gateway-{new:d}")
def step_pass_runners(context, old, new):
    """Reassign the runners to the other gateway's zone, as an operator would."""
    fleet = context.batch
    for resource in fleet.states[0].list_resources(Kind.RUNNER):
        if resource.spec.zone != f"z{old}":
            continue
        spec = resource.spec
        moved = RunnerSpec(
            spec.address, spec.region, f"z{new}", spec.service, batch_slots=spec.batch_slots
        )
        key = ResourceKey(Kind.RUNNER, resource.key.name)
        fleet.control.apply(PutResource(f"move/{key.name}", key, moved, resource.revision))
    fleet.gateways[new].config.publish()


@when("the batch fleet runs until gateway-{index:d} has batch results to commit")
def step_until_results(context, index):
    """Run until an item has ended whose result is not committed yet."""
    committer = context.batch.gateways[index].dispatcher.committer
    assert context.batch.run_until(lambda: committer.pending_refs(0), 30.0)


@when("an online prompt of {tokens:d} tokens arrives at {runner}")
def step_long_prompt(context, tokens, runner):
    """Send one long prompt."""
    fleet = context.batch
    context.long_prompt_s = fleet.clock.seconds()
    fleet.start_online(fleet.gateways[0], runner, 1, tokens)


@then("no attempt of a batch item counts as failed")
def step_no_failures(context):
    """Check that chunks were lost and that no attempt failed because of that."""
    assert len(context.lost_chunks) >= len(context.batch_items)
    counts = context.batch.gateways[0].dispatcher.counts
    assert counts.failed == 0, counts


@then("gateway-{index:d} has had late batch results dropped")
def step_dropped(context, index):
    """Check the ledger's verdicts on the results that it committed after the pause."""
    context.batch.run(1.0)
    assert context.batch.gateways[index].dispatcher.committer.counts.dropped > 0


@then("no batch item starts on {runner} before the first token of that prompt")
def step_none_starts(context, runner):
    """Check the engine's records until the prefill of the prompt is over."""
    fleet = context.batch
    engine = next(each for each in fleet.engines if each.runner == runner)
    prefill = fleet.gateways[0].prefill
    address = f"engine-{runner.rsplit('-', 1)[1]}"
    assert prefill.prefill_tokens(address) > 1000
    assert fleet.run_until(lambda: prefill.prefill_tokens(address) == 0, 10.0)
    began = [each for each in engine.executions if each.started_s > context.long_prompt_s + 0.05]
    assert not began, began


@then("{runner} still runs {count:d} batch items {milliseconds:d} ms later")
def step_still_runs(context, runner, count, milliseconds):
    """Check the dispatcher's own count."""
    context.batch.run(milliseconds / 1000.0)
    state = context.batch.gateways[0].fleet.runner(runner)
    assert state.batch_running == count, state.batch_running
