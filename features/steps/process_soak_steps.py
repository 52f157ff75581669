"""Steps on the soak of real processes, and on its checks."""

from behave import given, then, when
from features.support.command_line import ROOT
from features.support.overlapping_soak import OverlappingSoak, SoakSize, draw_size, play
from features.support.platform_stand_in import StandInPlatform, wait_until
from features.support.process_soak import ProcessSoak
from features.support.soak_history import (
    WHOLE_STREAM,
    WHOLE_TEXT,
    Answer,
    Call,
    History,
    Kill,
    Page,
    PlannedStop,
    Read,
    failure_body,
    violations,
)

JOB = "job-1"
DEFECT_CLIENTS = 16
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
        case "a planned stop cuts a request that was sent":
            history.calls.append(Call("r-4", "gateway-1", False, True, 12.3, 12.4))
            history.stops.append(PlannedStop("gateway-1", 10.0, 12.5, 0))
        case "a planned stop ends with a failure":
            history.stops.append(PlannedStop("gateway-1", 10.0, 12.5, 1))
        case "a killed process cuts a request that was sent":
            history.calls.append(Call("r-4", "gateway-1", False, True, 12.3, 12.4))
            history.stops.append(PlannedStop("gateway-1", 10.0, 12.5, 0))
            history.kills.append(Kill("gateway-1", 12.35))
        case "a runner breaks off a stream during a planned stop":
            history.calls.append(Call("r-4", "gateway-1", False, True, 12.3, 12.4))
            history.stops.append(PlannedStop("gateway-1", 10.0, 12.5, 0))
            history.broken_off.add("r-4")
        case "another gateway's planned stop goes on while a request is cut":
            history.calls.append(Call("r-4", "gateway-2", False, True, 12.3, 12.4))
            history.stops.append(PlannedStop("gateway-1", 10.0, 12.5, 0))
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


@when("{count:d} faults a role overlap by seed {seed:d} while clients keep their connections")
def overlapping_soak(context, count, seed):
    size = draw_size(seed)
    context.platform = StandInPlatform(size.controllers, size.storage, size.gateways)
    context.add_cleanup(context.platform.close)
    context.soak = play(seed, count, context.platform, size)
    print(context.soak)


@given("gateways whose ports close in a later turn than their queues are emptied")
def late_closing(context):
    program = ROOT / "features" / "support" / "late_closing_node.py"
    context.platform = StandInPlatform(program=program)
    context.add_cleanup(context.platform.close)
    controllers = context.platform.control
    wait_until(lambda: controllers("GET", "/api/Config.Read")[0] == 503, "controllers")


@when("each gateway is restarted {rounds:d} time while clients keep their connections")
def restart_gateways(context, rounds):
    size = SoakSize(3, 3, 2, 6, DEFECT_CLIENTS)
    soak = OverlappingSoak(context.platform, 1, size, ("gateway",), planned_only=True)
    context.soak = soak.run(rounds)
    print(context.soak)


@then("the soak finds requests that were cut by a planned stop")
def finds_cuts(context):
    found = context.soak.violations
    assert any(each.startswith("cut by a planned stop") for each in found), context.soak
