"""Steps of the emulated engine: batching, priorities, prefix cache, refusals."""

from random import Random

from behave import given, then, when
from features.support.emulator import MODEL, VERSION, Bench, RecordingListener

from rainsail.emulator.answers import answer_length, expected_answer, token_text
from rainsail.engine.interface import EndReason, Priority
from rainsail.engine.prefix import block_hashes

RANDOM_RUNS = 12
RANDOM_ACTIONS = 120


def long_prompt(length, mark="a"):
    """Return a random prompt, which has no repeated blocks; ``mark`` is its seed."""
    drawn = Random(mark)
    return "".join(drawn.choice("abcdefghij ") for _ in range(length))


def parse_settings(text):
    """Return settings written as ``name value and name value``."""
    pairs = (pair.split() for pair in text.split(" and "))
    return {name: float(value) if "." in value else int(value) for name, value in pairs}


@given("an emulated engine")
def make_engine(context):
    context.bench = Bench()
    context.engine = context.bench.add("engine-1")


@given("an emulated engine with {settings}")
def make_engine_with(context, settings):
    context.bench = Bench(**parse_settings(settings))
    context.engine = context.bench.add("engine-1")


@given("an emulated engine without a version")
def make_empty_engine(context):
    context.bench = Bench()
    context.engine = context.bench.add("engine-1", version="")


@when('attempt "{name}" asks the engine for {tokens:d} tokens about "{prompt}"')
def ask(context, name, tokens, prompt):
    context.bench.generate("engine-1", name, prompt, tokens)


@when(
    'attempt "{name}" asks the engine for {tokens:d} tokens about "{prompt}" '
    "after its first {first:d} tokens"
)
def ask_after_prefix(context, name, tokens, prompt, first):
    prefix = token_text(expected_answer(MODEL, prompt, tokens, 0), 0, first)
    context.bench.generate("engine-1", name, prompt, tokens, forced_prefix=prefix)


@when('attempt "{name}" asks the engine for {tokens:d} tokens about "{prompt}" unstreamed')
def ask_unstreamed(context, name, tokens, prompt):
    context.bench.generate("engine-1", name, prompt, tokens, stream=False)


@when('low attempt "{name}" asks the engine for {tokens:d} tokens about "{prompt}"')
def ask_low(context, name, tokens, prompt):
    context.bench.generate("engine-1", name, prompt, tokens, priority=Priority.LOW)


@when('attempt "{name}" asks the engine for {tokens:d} tokens about "{prompt}" within {limit:g} s')
def ask_with_deadline(context, name, tokens, prompt, limit):
    context.bench.generate("engine-1", name, prompt, tokens, deadline_s=limit)


@when('an attempt "{name}" of version "{version}" asks for {tokens:d} tokens about "{prompt}"')
def ask_version(context, name, version, tokens, prompt):
    context.bench.generate("engine-1", name, prompt, tokens, version=version)


@when('an attempt "{name}" of adapter "{adapter}" asks for {tokens:d} tokens about "{prompt}"')
def ask_adapter(context, name, adapter, tokens, prompt):
    context.bench.generate("engine-1", name, prompt, tokens, adapter=adapter)


@when(
    'attempt "{name}" asks the engine for {tokens:d} tokens about a prompt of {length:d} characters'
)
def ask_long(context, name, tokens, length):
    context.prompt = long_prompt(length)
    context.bench.generate("engine-1", name, context.prompt, tokens)


@when('attempt "{name}" asks the engine for {tokens:d} tokens about the same prompt')
def ask_same(context, name, tokens):
    context.bench.generate("engine-1", name, context.prompt, tokens)


@when(
    'attempt "{name}" asks the engine for {tokens:d} tokens '
    "about another prompt of {length:d} characters"
)
def ask_other(context, name, tokens, length):
    context.bench.generate("engine-1", name, long_prompt(length, "b"), tokens)


@when('the emulator runs until "{name}" has ended')
def run_until_ended(context, name):
    context.bench.run_until_ended(name)


@when('the emulator runs until "{name}" has sent {count:d} chunks')
def run_until_chunks(context, name, count):
    context.bench.run_until_chunks(name, count)


@when("the emulator runs for {seconds:g} s")
def run_for(context, seconds):
    context.bench.clock.advance(seconds)


@then('attempt "{name}" got its whole answer in numbered chunks')
def whole_answer(context, name):
    listener = context.bench.listeners[name]
    assert listener.text == context.bench.expected(name), listener.text
    assert [c.sequence for c in listener.chunks] == list(range(len(listener.chunks)))
    assert listener.end.chunk_count == len(listener.chunks)
    offset = len(context.bench.requests[name].forced_prefix) // 4
    for chunk in listener.chunks:
        assert chunk.offset == offset, (chunk, offset)
        offset += chunk.tokens


@then('the first chunk of attempt "{name}" has offset {offset:d}')
def first_offset(context, name, offset):
    assert context.bench.listeners[name].chunks[0].offset == offset


@then('attempt "{name}" ended with reason "{reason}" and {tokens:d} generated tokens')
def ended_with_tokens(context, name, reason, tokens):
    end = context.bench.listeners[name].end
    assert (end.reason, end.generated_tokens) == (reason, tokens), end


@then('attempt "{name}" ended with reason "{reason}"')
def ended_with(context, name, reason):
    assert context.bench.listeners[name].reason == reason, context.bench.listeners[name].end


@then('the chunks of attempt "{name}" have {sizes} tokens')
def chunk_sizes(context, name, sizes):
    seen = ", ".join(str(chunk.tokens) for chunk in context.bench.listeners[name].chunks)
    assert seen == sizes, seen


@then('the first token of attempt "{name}" comes within {limit:g} s')
def first_token_within(context, name, limit):
    asked_s = context.bench.clock.seconds()
    listener = context.bench.run_until_chunks(name, 1)
    assert listener.times_s[0] - asked_s <= limit, listener.times_s[0] - asked_s


@then("the engine has preempted {count:d} sequence")
@then("the engine has preempted {count:d} sequences")
def preempted(context, count):
    assert context.engine.preemptions == count, context.engine.preemptions


@then('attempt "{name}" waits while "{other}" runs')
def waits_while(context, name, other):
    before = len(context.bench.listeners[name].chunks)
    context.bench.run_until_ended(other)
    assert len(context.bench.listeners[name].chunks) == before


@then("the engine ran each request once")
def ran_once(context):
    ran = [record.request_id for record in context.engine.executions]
    assert len(ran) == len(set(ran)) == len(context.bench.requests), ran


@then('the engine ran no attempt "{name}"')
def ran_not(context, name):
    assert name not in [record.attempt_id for record in context.engine.executions]


@then('attempt "{name}" ended before attempt "{other}"')
def ended_before(context, name, other):
    listeners = context.bench.listeners
    assert listeners[name].ended_s < listeners[other].ended_s


@then("the load of the engine is {running:d} running and {waiting:d} waiting")
def load_is(context, running, waiting):
    load = context.engine.load()
    assert (load.running, load.waiting) == (running, waiting), load


@then('attempt "{name}" was refused because of "{detail}"')
def refused_because(context, name, detail):
    end = context.bench.listeners[name].end
    assert end is not None and end.reason is EndReason.REFUSED, end
    assert detail in end.detail, end
    assert context.bench.listeners[name].chunks == []


@then('the refusal of attempt "{name}" suggests a retry delay')
def suggests_retry_delay(context, name):
    assert context.bench.listeners[name].end.retry_after_s > 0


@then('attempt "{name}" got its first token in under a third of the time of "{other}"')
def faster(context, name, other):
    waits = []
    for each in (name, other):
        started = next(
            record.started_s
            for engine in context.bench.engines.values()
            for record in engine.executions
            if record.attempt_id == each
        )
        waits.append(context.bench.listeners[each].times_s[0] - started)
    assert waits[0] < waits[1] / 3, waits


@then('the engine\'s cache holds {count:d} blocks, all {newest:d} of attempt "{name}" among them')
def cache_holds(context, count, newest, name):
    cached = context.engine.cached_blocks()
    blocks = block_hashes(context.bench.requests[name].prompt)
    assert len(cached) == count and len(blocks) == newest, (len(cached), len(blocks))
    assert all(block in cached for block in blocks)


@when("the engine is told to drain")
def drain(context):
    context.engine.draining = True


@when("the engine crashes and restarts")
def crash(context):
    context.incarnation = context.engine.incarnation
    context.engine.crash()
    context.engine.restart()


@then('attempt "{name}" has not ended after {count:d} chunks')
def not_ended(context, name, count):
    listener = context.bench.listeners[name]
    assert listener.end is None and len(listener.chunks) == count, listener.end


@then('the engine\'s execution of attempt "{name}" is recorded as {reason:w}')
def execution_recorded(context, name, reason):
    found = [r for r in context.engine.executions if r.attempt_id == name]
    assert [record.reason for record in found] == [reason], found


@then("the engine has a new incarnation and no version")
def new_incarnation(context):
    assert context.engine.incarnation != context.incarnation
    assert context.engine.load().loaded_version == ""


@then('a resume of attempt "{name}" from chunk {first:d} is unknown')
def resume_unknown(context, name, first):
    assert not context.engine.attach(name, first, RecordingListener(context.bench.clock))


@then("random traffic on an emulated engine stays within limits and gets complete answers")
def random_traffic(context):
    for seed in range(RANDOM_RUNS):
        run_random_traffic(seed)


def run_random_traffic(seed):
    """Generate and cancel at random; check the limits after every timer."""
    drawn = Random(seed)
    bench = Bench(
        max_running=drawn.randint(1, 6),
        kv_tokens_total=drawn.randint(200, 600),
        cache_blocks=drawn.randint(0, 12),
        tokens_per_chunk=drawn.randint(1, 6),
        prefill_tokens_per_step=drawn.randint(8, 64),
    )
    engine = bench.add("engine-1")
    stopped = set()
    for number in range(RANDOM_ACTIONS):
        name = f"r{number}"
        action = drawn.random()
        if action < 0.6:
            priority = drawn.choice([Priority.HIGH, Priority.LOW])
            prompt = long_prompt(drawn.randint(0, 300), str(drawn.randint(0, 5)))
            bench.generate("engine-1", name, prompt, drawn.randint(1, 60), priority=priority)
        elif bench.listeners:
            chosen = drawn.choice(sorted(bench.listeners))
            if engine.cancel(chosen):
                stopped.add(chosen)
        until_s = bench.clock.seconds() + drawn.random() * 0.2
        while bench.clock.run_next(until_s):
            check_bounds(bench, engine)
    bench.clock.advance(600)
    check_idle(engine)
    for name, listener in bench.listeners.items():
        assert listener.end is not None, (seed, name)
        if name not in stopped:
            assert listener.text == bench.expected(name), (seed, name, listener.end)
            tokens = answer_length(MODEL, bench.requests[name].prompt, 10**6, 0)
            asked = bench.requests[name].max_tokens
            assert listener.end.generated_tokens == min(tokens, asked), listener.end


def check_bounds(bench, engine):
    """Assert that the batch and the caches are within their limits."""
    load = engine.load()
    assert 0 <= load.running <= bench.settings.max_running, load
    assert 0 <= load.kv_tokens_used <= bench.settings.kv_tokens_total, load
    assert len(engine.cached_blocks()) <= bench.settings.cache_blocks


def check_idle(engine):
    """Assert that nothing runs, waits or holds KV cache."""
    load = engine.load()
    assert (load.running, load.waiting, load.kv_tokens_used) == (0, 0, 0), load
    assert load.loaded_version == VERSION
