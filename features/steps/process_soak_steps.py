"""Steps on the soak of real processes, and on its checks."""

from behave import given, then, when
from features.support.process_soak import ProcessSoak
from features.support.soak_history import (
    WHOLE_STREAM,
    WHOLE_TEXT,
    Answer,
    History,
    Page,
    Read,
    failure_body,
    violations,
)

JOB = "job-1"
DONE = (("item-1", "done", WHOLE_TEXT), ("item-2", "done", WHOLE_TEXT))


def _clean():
    return History(
        answers=[
            Answer("r-1", "once", 200, b"a", b"echo a", True),
            Answer("r-2", "stream", 200, b"", WHOLE_STREAM, True),
            Answer("r-3", "once", 503, b"", b"", False),
        ],
        acknowledged=[(1.0, 3), (2.0, 5)],
        reads=[Read(1.5, 3), Read(2.5, 5)],
        accepted={JOB: 2},
        pages=[Page(JOB, 200, 2, DONE[:1]), Page(JOB, 200, 2, DONE)],
        runs=["r-1", "r-2", "r-2"],
    )


@given("a history of a soak in which {what}")
def make_history(context, what):
    context.history = history = _clean()
    match what:
        case "an unsafe request ran at two runners":
            history.runs.append("r-1")
        case "a refused request ran":
            history.runs.append("r-3")
        case "a stream ended as complete without its end":
            history.answers.append(Answer("r-4", "stream", 200, b"", WHOLE_STREAM[:30], True))
        case "a stream goes on with a failure":
            body = WHOLE_STREAM[:30] + failure_body("r-4")
            history.answers.append(Answer("r-4", "stream", 200, b"", body, True))
        case "a failure has half its body":
            history.answers.append(Answer("r-4", "safe", 500, b"a", failure_body("r-4")[:5], True))
        case "a refused stream ran":
            history.answers.append(Answer("r-2", "stream", 503, b"", b"", False))
        case "an item's text lacks its end":
            history.pages.append(Page(JOB, 200, 2, (("item-1", "done", WHOLE_TEXT[:9]),)))
        case "an answer has no runner's signature":
            history.answers.append(Answer("r-4", "safe", 200, b"a", b"echo a", False))
        case "an acknowledged configuration is read older":
            history.reads.append(Read(3.0, 3))
        case "a result changed between two reads":
            history.pages.append(Page(JOB, 200, 2, DONE[::-1]))
        case "an item is listed at two positions":
            history.pages.append(Page(JOB, 200, 2, (DONE[0], DONE[0])))
        case "an accepted job is answered 404":
            history.pages.append(Page(JOB, 404))
        case "nothing went wrong":
            pass
        case _:
            raise AssertionError(f"no such history: {what}")


@then('the checks find "{words}"')
def checks_find(context, words):
    found = violations(context.history)
    assert any(words in each for each in found), found


@then("the checks find nothing")
def checks_find_nothing(context):
    assert violations(context.history) == []


@when(
    "{count:d} faults drawn from seed {seed:d} strike while clients, runners and an operator work"
)
def soak(context, count, seed):
    context.soak = ProcessSoak(context.platform, seed).run(count)
    print(context.soak)


@then("no promise was broken, and requests, jobs and configurations were served")
def nothing_broken(context):
    soak = context.soak
    assert soak.violations == (), soak
    assert soak.served and soak.jobs and soak.versions, soak
    for fault in ("crashes", "failures of resumed runs", "unframed streams"):
        assert soak.runner_faults[fault], soak
