"""Steps of features/rig/processes.feature."""

import json
import signal

from behave import given, then, when
from features.support.rig import scratch_folder, solo_daemon, wait_until

FIRST_HOST, SECOND_HOST = 1, 2


@given('a rig folder with the settings of a replica "solo"')
def step_folder(context):
    context.rig_folder = scratch_folder(context)
    context.rig_daemon = solo_daemon(context, FIRST_HOST, "data")


@when("the daemon of the rig folder is started and ready")
def step_start(context):
    context.rig_daemon.start()
    wait_until(context.rig_daemon.ready, "a ready daemon", context.rig_daemon.account)


@when("a second daemon with the same settings and other ports is started")
def step_second_on_folder(context):
    context.rig_second = solo_daemon(context, SECOND_HOST, "data")
    context.rig_second.start()


@when('a second daemon with the same port for "{address}" and another data folder is started')
def step_second_on_port(context, address):
    shared = {address: context.rig_daemon.host}
    context.rig_second = solo_daemon(context, SECOND_HOST, "other-data", **shared)
    context.rig_second.start()


@then('the second daemon ends with code {code:d} naming "{text}"')
def step_second_ends(context, code, text):
    assert context.rig_second.ended() == code
    assert text in context.rig_second.errors(), context.rig_second.errors()
    assert context.rig_daemon.ready()


@when("the daemon of the rig folder is asked to stop")
def step_stop(context):
    context.rig_daemon.send(signal.SIGTERM)


@then("it ends with code {code:d}")
def step_ends(context, code):
    assert context.rig_daemon.ended() == code, context.rig_daemon.errors()


@when("the daemon of the rig folder is killed and started again")
def step_kill(context):
    context.rig_daemon.end()
    context.rig_daemon.start()


@then("the daemon of the rig folder is ready")
def step_ready(context):
    wait_until(context.rig_daemon.ready, "a ready daemon", context.rig_daemon.account)


@when("the daemon of the rig folder gets SIGUSR1")
def step_signal(context):
    context.rig_daemon.send(signal.SIGUSR1)


@then('the data folder holds a dump of the log ring for "{reason}"')
def step_dump(context, reason):
    folder = context.rig_daemon.data_folder / "logs"
    path = wait_until(lambda: next(iter(folder.glob("ring-*.jsonl")), None), "a dump")
    lines = wait_until(lambda: path.read_text().splitlines(), "the dump's content")
    assert json.loads(lines[0])["reason"] == reason, lines[0]
    assert len(lines) > 1
