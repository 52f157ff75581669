"""Steps on policies that can be turned off, and on the tool that measures them."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support.relaying import RelayWorld
from features.support.tool_module import load_tool

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.relay.context import make_context
from rainsail.relay.settings import RelaySettings
from rainsail.routing.facts import PromptPart
from rainsail.settings.node import load_node_settings

NODE = """
[node]
name = "front-1"
role = "gateway"
ip = "127.0.0.1"
[peers]
first_port = 7000
last_port = 7010
seeds = []
[listen]
clients = "127.0.0.1:8000"
"""
RUNNER = "runner-1"


TOOL = load_tool("ablation")


def _load(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(text)
        context.loaded = load_node_settings(path)


@given("a node's settings file without switches")
def settings_plain(context):
    _load(context, NODE)


@given('a node\'s settings file that turns the switch of "{policy}" over')
def settings_off(context, policy):
    _load(context, TOOL.switched_over(NODE, policy))


@then("every policy is on")
def all_on(context):
    switches = context.loaded.ok.mechanisms.model_dump()
    assert all(switches.values()), switches


@then('only "{policy}" is the other way than by default')
def only_changed(context, policy):
    switches = context.loaded.ok.mechanisms.model_dump()
    defaults = DEFAULTS.model_dump()
    assert [name for name in switches if switches[name] != defaults[name]] == [policy], switches


@then('the settings are refused, naming "{place}"')
def refused(context, place):
    assert place in str(context.loaded.error), context.loaded.error


@given("a relay whose policies are all off")
def all_off(context):
    world = RelayWorld()
    mechanisms = Mechanisms(**dict.fromkeys(Mechanisms.model_fields, False))
    settings = RelaySettings(mechanisms=mechanisms)
    old = world.context
    context.clock = world.clock
    context.relay = make_context(
        old.zone, world.clock, world.registry, world.pool, old.protocol, None, settings
    )


@when("a runner of it fails {count:d} times")
def fails(context, count):
    for _ in range(count):
        context.relay.loads.failed(RUNNER, context.clock.seconds())


@when("a runner of it says nothing for {seconds:d} seconds")
def says_nothing(context, seconds):
    context.relay.loads.sent(RUNNER, context.clock.seconds(), 0.3)
    context.clock.advance(seconds)


@when("a runner of it has to read for {seconds:d} seconds")
def has_to_read(context, seconds):
    context.relay.loads.add_prefill(RUNNER, seconds, context.clock.seconds())


@when("a prompt of {tokens:d} tokens was sent to a runner of it")
def prompt_sent(context, tokens):
    context.prompt = (PromptPart("part", tokens),)
    context.relay.prefixes.sent(context.prompt, RUNNER)


@then("that runner is still taken for sound, heard and ready to read")
def still_sound(context):
    now = context.clock.seconds()
    load = context.relay.loads.of(RUNNER)
    assert load.ejected_until_s < now and load.prefill_until_s < now
    assert context.relay.loads.timed_out(now) == []


@then("the prompt would be read whole again")
def read_whole(context):
    missing = context.relay.prefixes.missing_tokens(context.prompt, RUNNER)
    assert missing == context.prompt[0].tokens


@when("the bench reports")
def reports(context):
    context.report = context.text


@then('the run of "{day}" was worth {worth:g}')
def was_worth(context, day, worth):
    assert TOOL.read_outcome(day, context.report).ok.worth == worth


@then('the run of "{day}" has no result: "{last}"')
def no_result(context, day, last):
    assert last in str(TOOL.read_outcome(day, context.report).error)


@given('runs of "{policy}"')
def runs_of(context, policy):
    context.policy = policy
    context.outcomes = {
        TOOL.Play("site", "day", row["seed"], row["off"], "abc"): TOOL.Outcome(
            float(row["worth"]), 1.0
        )
        for row in context.table
    }


@then('the table\'s only line says "{text}"')
def table_says(context, text):
    lines = TOOL.table(context.outcomes, [context.policy])[2:]
    assert len(lines) == 1 and text in lines[0], lines


@when("the runs are kept in a file and read again")
def kept_and_read(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "results.jsonl"
        kept = TOOL.Results(path)
        for play, outcome in context.outcomes.items():
            kept.add(play, outcome)
        context.again = TOOL.Results(path)
        assert context.again.load().is_ok()


@then("the same runs are known")
def same_runs(context):
    assert context.again.outcomes == context.outcomes


@given("a file of runs whose second line is cut off")
def damaged(context):
    play = {"site": "s", "day": "d", "seed": "1", "off": "all on", "sources": "abc"}
    line = json.dumps({"play": play, "outcome": {"worth": 0.5, "score": 0.5}})
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "results.jsonl"
        path.write_text(line + "\n" + line[:20] + "\n")
        context.damaged = TOOL.Results(path).load()


@then('reading the runs fails, naming "{place}"')
def reading_fails(context, place):
    assert place in str(context.damaged.error)
