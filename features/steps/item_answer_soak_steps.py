"""Steps on the soak of items at runners whose answers break, and on its judge."""

from dataclasses import replace

from behave import given, then, when
from features.support.item_answer_soak import ItemAnswerSoak, ItemJudge, ListedItems, text_of_item
from features.support.relay_soak.content import events, last_event
from features.support.relay_soak.fault_options import FAULTS
from features.support.relay_soak.history import Ending, Framing, History, RunnerRun

from rainsail.jobs.messages import ResultEntry

ITEM, OTHER_ITEM = "item-3", "item-4"
LAST = last_event(ITEM)


@when("items of jobs meet runners {faults}, drawn from each of the seeds {first:d} to {last:d}")
def run_item_soaks(context, faults, first, last):
    context.item_soaks = [ItemAnswerSoak(seed, FAULTS[faults]) for seed in range(first, last + 1)]
    for soak in context.item_soaks:
        soak.run()


@then('{least:d} answers to items or more have met the fault "{fault}"')
def faults_met(context, least, fault):
    met = sum(soak.counts[fault] for soak in context.item_soaks)
    assert met >= least, met


@then("no guarantee to the clients of these jobs was violated")
def nothing_violated(context):
    found = [each for soak in context.item_soaks for each in soak.violations]
    assert not found, "\n".join(found)


# --- the judge, with hand-made histories ---------------------------------------------------


def _run(runner="runner-1"):
    body = events(ITEM, 1, LAST)
    return RunnerRun(ITEM, runner, None, True, 200, Framing.CHUNKS, body, True, Ending.KEEP)


def _short(runner="runner-1"):
    """Return a run without framing that ends before its last event."""
    body = events(ITEM, 1, LAST - 1)
    run = replace(_run(runner), framing=Framing.CLOSE, ending=Ending.CLOSE)
    return replace(run, body=body, whole=False)


def _broken_off():
    return replace(_short(), framing=Framing.CHUNKS, ending=Ending.RESET)


def _empty(runner):
    """Return a run that goes on behind the last event but one, and brings nothing."""
    run = replace(_run(runner), after_event=LAST - 1, body=b"", whole=False)
    return replace(run, states_early_end=True)


def _failed():
    return replace(_run(), status=500, body=b"failed")


@given("a history of items in which {what}")
def make_item_history(context, what):
    done = ResultEntry(ITEM, True, text_of_item(ITEM, LAST))
    short = replace(done, text=text_of_item(ITEM, LAST - 1))
    given_up = ResultEntry(ITEM, False, "")
    entry, runs = done, [_run()]
    match what:
        case "all went well":
            pass
        case "an item is not listed":
            entry = None
        case "an item was given up after two failures":
            entry, runs = given_up, [_failed()] * 2
        case "an item was given up after three failures":
            entry, runs = given_up, [_failed()] * 3
        case "a text has another item's event":
            entry = replace(done, text=text_of_item(OTHER_ITEM, 1))
        case "a text in chunks lacks its last event":
            entry, runs = short, [replace(_short(), framing=Framing.CHUNKS)]
        case "a text lacks its last event behind a crash":
            entry, runs = short, [replace(_short(), crashed_s=1.0)]
        case "a text lacks its last event, as one runner said":
            entry, runs = short, [_short()]
        case "a text lacks its last event, as one runner said twice":
            entry, runs = short, [_short(), _empty("runner-1")]
        case "a run that went on brought nothing":
            entry, runs = short, [_broken_off(), _empty("runner-2")]
        case "a text lacks its last event, as two runners said":
            entry, runs = short, [_short(), _empty("runner-2")]
        case _:
            raise AssertionError(f"no such history: {what}")
    listed = {} if entry is None else {ITEM: entry}
    context.item_judge = ItemJudge(History(runs=runs), ListedItems([ITEM], listed))


@then('the judge of items finds "{words}"')
def judge_finds(context, words):
    found = context.item_judge.violations()
    assert len(found) == 1 and words in found[0], found


@then("the judge of items finds nothing, and {count:d} texts whose end is unclear")
def judge_finds_nothing(context, count):
    assert context.item_judge.violations() == []
    assert context.item_judge.unclear == count, context.item_judge.unclear
