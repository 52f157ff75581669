"""Steps of features/rig/short_run.feature."""

from behave import then, when
from features.support.rig import processes_naming, run_rig, scratch_folder, start_rig, wait_until

from rainsail.experiment.checkers.exactly_once import reads_after_faults
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import History, JobCancelAccepted, read_history

SHORT_LIST = {
    "drain_runner",
    "kill_two_replicas",
    "kill_engines",
    "kill_gateway",
    "lose_disk",
    "pause_leader",
    "stop_gateway",
}


@when('the fleet rig runs site "{site}" briefly with seed {seed:d}')
def step_run(context, site, seed):
    folder = scratch_folder(context)
    context.rig_history = folder / "history.avro"
    context.rig_kept = folder / "kept"
    arguments = [site, "--short", "--seed", str(seed)]
    arguments += ["--history", str(context.rig_history), "--keep", str(context.rig_kept)]
    context.rig_run = run_rig(*arguments)


@then("the rig run ends clean")
def step_clean(context):
    run = context.rig_run
    assert run.code == 0 and run.result["violations"] == [], f"{run.result}\n{run.stderr}"


@then("the rig brought about every kind of its short list of failures")
def step_failures(context):
    assert set(context.rig_run.result["faults"]) == SHORT_LIST, context.rig_run.result


@then("every accepted item of the rig run completed or was cancelled")
def step_items(context):
    result = context.rig_run.result
    ended = result["completed_items"] + result["cancelled_items"]
    assert ended == result["accepted_items"] > 0, result


@then("the rig run completed requests of every class and turns of sessions")
def step_requests(context):
    result = context.rig_run.result
    kinds = ("online_requests", "non_repeatable_requests", "session_turns", "completed_requests")
    assert all(result[kind] > 0 for kind in kinds), result


@when('the fleet rig of site "{site}" is killed while its processes start')
def step_kill(context, site):
    context.rig_kept = scratch_folder(context) / "kept"
    rig = start_rig(site, "--short", "--keep", str(context.rig_kept))
    context.add_cleanup(rig.kill)
    settings = str(context.rig_kept / site / "settings")
    wait_until(lambda: processes_naming(settings), "a process of the rig")
    rig.kill()
    rig.wait()


@then("no process of the rig run is left")
def step_none_left(context):
    """Look for processes whose command names this run's own folder."""
    kept = str(context.rig_kept)
    wait_until(lambda: not processes_naming(kept), f"no process of {kept}")


@then('the rig run ended with code {code:d} naming "{text}"')
def step_ended(context, code, text):
    run = context.rig_run
    assert run.code == code and text in run.stderr, run


@when("one result is taken out of the history of the rig run")
def step_take_out(context):
    whole = read_history(context.rig_history)
    cancelled = {event.job_id for event in whole.of_type(JobCancelAccepted)}
    read = next(each for each in reads_after_faults(whole) if each.job_id not in cancelled)
    context.rig_cut_history = History()
    for event in whole.events:
        place = (getattr(event, "job_id", ""), getattr(event, "index", -1))
        if place != (read.job_id, read.index):
            context.rig_cut_history.record(event)


@then("the checkers find that the history of the rig run lost an item")
def step_lost(context):
    found = check_history(context.rig_cut_history)
    assert [each.checker for each in found] == ["exactly_once"], found
