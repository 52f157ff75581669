"""Steps on what a controller makes of crashes and answers, without a fleet."""

from behave import step, then
from features.support.tracker_course import TrackerCourse, suspect


def _course(context):
    if "course" not in context:
        context.course = TrackerCourse()
    return context.course


def _named(names):
    return {suspect(each.strip()) for each in names.split(",")}


@step("these happen:")
def happen(context):
    course = _course(context)
    for row in context.table:
        names = [each.strip() for each in row["suspects"].split(",")]
        if row["event"] == "crash":
            course.crash(names, float(row["s"]))
        else:
            for name in names:
                course.answer(name, float(row["s"]))


@step("time goes on to {at_s:g} s")
def go_on(context, at_s):
    _course(context).run_until(at_s)


@then("nothing is held without a trial")
def nothing_held(context):
    assert not context.course.held(), context.course.state.snapshot()


@then("{names} is held without a trial")
def is_held(context, names):
    assert context.course.held() == _named(names), context.course.state.snapshot()


@then("{names} is in the list")
@then("{names} are in the list")
def is_listed(context, names):
    assert _named(names) <= context.course.listed(), context.course.state.snapshot()


@then("{names} is not in the list")
def is_not_listed(context, names):
    assert not _named(names) & context.course.listed(), context.course.state.snapshot()
