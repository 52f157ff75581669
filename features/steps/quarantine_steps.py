"""Steps for requests that crash the runners that run them, in virtual time."""

from unittest import mock

from behave import given, step, then, when
from features.support.crashing_runners import FATAL_BODY, RunnerPool
from features.support.fatal_request_fleet import PATH, FatalRequestFleet
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.cluster.messages import RunnerState
from rainsail.http.reachability import Reachability
from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.fingerprint import fingerprint_of
from rainsail.quarantine.suspects import MAX_TRIALS, SuspectTracker
from rainsail.quarantine.view import QuarantineView
from rainsail.state.job_commands import RelayedItem
from rainsail.state.quarantine import QuarantineState

SEED = 7
CRASHES_ALLOWED = 3
FATAL_ITEM = 2
SETTLES_S = 3.0
COMMON_BODY = b"the same question"
RARE_BODY = b"seldom"
LEAVES_BEFORE_S = 0.5


def fingerprint(body):
    """Return the fingerprint of a request that the tests' clients send."""
    return fingerprint_of("", HOST, b"POST", PATH.encode(), body)


FATAL = fingerprint(FATAL_BODY)


# --- givens ----------------------------------------------------------------------------------


@given("a fleet of {gateways:d} gateways whose runners crash when they run the fatal body")
def make_fleet(context, gateways):
    context.fleet = FatalRequestFleet(SEED, gateways)


@given(
    "a fleet of {gateways:d} gateways before a split of two services, "
    "of which one answers the fatal body, seed {seed:d}"
)
def make_split_fleet(context, gateways, seed):
    context.fleet = FatalRequestFleet(seed, gateways, immune_service="other")


@then("the other service has answered it after that")
def other_has_answered(context):
    answers = [each.status for each in context.fleet.answered(FATAL_BODY)]
    assert 200 in answers[-10:], answers


@given("a fleet with one runner, which crashes when it runs the fatal body")
def make_small_fleet(context):
    context.fleet = FatalRequestFleet(SEED, runners=1)


@given("the fatal body is held")
def make_held(context):
    make_fleet(context, 3)
    hold(context.fleet, context.fleet.names("gateway"))
    note_runs(context)


@given("the fatal body is held, but one gateway has not been notified")
def held_but_for_one(context):
    make_fleet(context, 3)
    cut_off(context, 3)
    hold(context.fleet, ["gateway-1", "gateway-2"])
    context.fleet.rejoin("gateway-3")
    note_runs(context)


@given("the fatal body has been held in the meantime")
def held_meanwhile(context):
    hold(context.fleet, ["gateway-1", "gateway-2"])
    note_runs(context)


def hold(fleet, names):
    """Send the fatal body until its trials are spent, and the given nodes hold it."""
    for turn in range(60):
        if _holds_lastingly(fleet):
            break
        fleet.request(names[turn % len(names)], FATAL_BODY)
        fleet.run_for(0.7)
    fleet.run_until_held(FATAL, names)
    fleet.run_for(SETTLES_S)


def _holds_lastingly(fleet):
    """Tell whether something is held, and may not be tried any more."""
    requests = fleet.decided().requests
    return bool(requests) and all(each.held and each.times > MAX_TRIALS for each in requests)


def note_runs(context):
    """Record how often the fatal body has run, and crashed runners, so far."""
    runners = context.fleet.runners
    context.runs_before = len(runners.fatal_runs)
    context.crashes_before = len(runners.crashes)


@given("the fatal body has crashed {count:d} runners")
def ended_some(context, count):
    fleet = context.fleet
    while len(fleet.runners.crashes) < count:
        fleet.request("gateway-1", FATAL_BODY)
        fleet.run_for(1.0)
    assert len(fleet.runners.crashes) == count, fleet.runners.crashes
    fleet.run_for(SETTLES_S)


@given("gateway {number:d} is partitioned from all others")
def cut_off(context, number):
    context.fleet.isolate(f"gateway-{number}")


@given("runners abort responses at {count:d} of 100 events")
def break_off(context, count):
    context.fleet.runners.abort_share = count / 100


# --- requests --------------------------------------------------------------------------------


@step("other clients send {count:d} requests a second for {seconds:g} s")
def others_send(context, count, seconds):
    fleet = context.fleet
    fleet.send_others(1 / count, fleet.clock.seconds() + seconds)


@step("one body is sent every {period_s:g} s for {seconds:g} s, at random gateways")
def same_sent(context, period_s, seconds):
    fleet = context.fleet
    fleet.send_same(COMMON_BODY, period_s, fleet.clock.seconds() + seconds)


@step("the fatal body is sent every {period_s:g} s for {seconds:g} s, at each gateway in turn")
def fatal_comes(context, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    turn = 0
    while fleet.clock.seconds() < until_s:
        names = sorted(fleet.names("gateway"))
        fleet.request(names[turn % len(names)], FATAL_BODY)
        turn += 1
        fleet.run_for(period_s)


@when(
    "{count:d} copies of the fatal body are sent every {period_s:g} s for {seconds:g} s, "
    "one at each gateway"
)
def copies_come(context, count, period_s, seconds):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + seconds
    while fleet.clock.seconds() < until_s:
        for name in sorted(fleet.names("gateway"))[:count]:
            fleet.request(name, FATAL_BODY)
        fleet.run_for(period_s)


@when("a client sends the fatal body")
def client_sends(context):
    client_sends_at(context, 1)


@when("a client sends the fatal body at gateway {number:d}")
def client_sends_at(context, number):
    send_and_wait(context, f"gateway-{number}", FATAL_BODY)


@when("a client sends the rare body")
def client_sends_seldom(context):
    send_and_wait(context, "gateway-1", RARE_BODY)


def send_and_wait(context, gateway, body):
    fleet = context.fleet
    context.sent_s = fleet.clock.seconds()
    context.exchange = fleet.request(gateway, body)
    fleet.run_for(2.0)


@when("a client sends the fatal body there, and the gateway is notified before a runner is chosen")
def heard_while_waiting(context):
    fleet = context.fleet
    waiting = []
    relay = fleet.relays["gateway-3"]
    relay._context.place = lambda ask, placed, must: waiting.append(placed)
    context.sent_s = fleet.clock.seconds()
    context.exchange = fleet.request("gateway-3", FATAL_BODY)
    assert len(waiting) == 1 and not context.exchange.status
    follower = fleet.nodes["gateway-3"].base.follower
    follower.take_quarantine(fleet.decided())
    waiting[0](None)


@when("the rare body is running at each of the first {count:d} crashes")
def seldom_beside(context, count):
    fleet = context.fleet
    for _ in range(count):
        fleet.request("gateway-2", RARE_BODY)
        fleet.request("gateway-1", FATAL_BODY)
        fleet.run_for(SETTLES_S)
    assert len(fleet.runners.crashes) == count, fleet.runners.crashes


@given("the fatal body is held as an item too")
def held_item(context):
    """Items have paths of their own, and thus other fingerprints than online requests."""
    make_fleet(context, 3)
    submit_job(context, "earlier", 2, fatal=1)
    context.fleet.run_until(lambda: _holds_lastingly(context.fleet), "the item is held", 60.0)
    context.fleet.run_for(SETTLES_S)
    note_runs(context)


@when("a job of {count:d} items that begins with the fatal body is submitted")
def job_beginning_fatal(context, count):
    """The fatal item has the same path as the held one."""
    submit_job(context, "job", count, fatal=0, number_of_fatal=1)


@when("the ledger's leader loses power")
def ledger_leader_dies(context):
    fleet = context.fleet
    fleet.crash(fleet.leader("storage"))
    fleet.leader("storage")


@when("a job with the fatal body among its {count:d} items is submitted")
def job_with_fatal_item(context, count):
    context.fleet.run_for(1.0)
    submit_job(context, "job", count, fatal=FATAL_ITEM)


def submit_job(context, job, count, fatal, number_of_fatal=None):
    """Submit a job; item paths have consecutive numbers, except the fatal one if given."""
    paths = {fatal: number_of_fatal} if number_of_fatal is not None else {}
    items = tuple(
        RelayedItem(
            f"{job}-{number}",
            f"{JOB_PATH}/{paths.get(number, number)}",
            (),
            FATAL_BODY if number == fatal else f"item {number}".encode(),
            10,
        )
        for number in range(count)
    )
    context.job, context.fatal_item = job, fatal
    fleet = context.fleet
    submitted = fleet.jobs["gateway-1"].submit("", job, HOST, JOB_PATH, items, QueueLimit("", 0))
    result = fleet.result_of(submitted, "the job is accepted")
    assert result.is_ok(), result


# --- runners ---------------------------------------------------------------------------------


@when("the fatal body is harmless now, and is answered at another gateway")
def harmless(context):
    context.fleet.runners.fatal_bodies.clear()
    send_and_wait(context, "gateway-2", FATAL_BODY)
    served(context)


@when("it crashes {count:d} more runners")
def ends_again(context, count):
    fleet = context.fleet
    fleet.runners.fatal_bodies.add(FATAL_BODY)
    before = len(fleet.runners.crashes)
    while len(fleet.runners.crashes) < before + count:
        fleet.request("gateway-3", FATAL_BODY)
        fleet.run_for(1.0)
    fleet.run_for(SETTLES_S)


@when("it is harmless now, and a gateway that has not been notified gets a response")
def answered_unheard(context):
    fleet = context.fleet
    fleet.runners.fatal_bodies.clear()
    cut_off(context, 3)
    fleet.run_for(0.1)
    follower = fleet.nodes["gateway-3"].base.follower
    decided = fleet.decided()
    follower.quarantine.__init__()
    fleet.request("gateway-3", FATAL_BODY)
    fleet.rejoin("gateway-3")
    fleet.run_for(0.1)
    follower.take_quarantine(decided)
    fleet.run_for(SETTLES_S)


@when("some runner crashes every {period_s:g} s for {seconds:g} s")
def runners_end(context, period_s, seconds):
    fleet = context.fleet
    for turn in range(round(seconds / period_s)):
        runner = fleet.runners.runners[turn % len(fleet.runners.runners)]
        fleet.runners.crash(runner, runner.incarnation)
        fleet.run_for(period_s)


@when("the runners of a zone lose power every {period_s:g} s for {seconds:g} s")
def zone_dark(context, period_s, seconds):
    fleet = context.fleet
    for turn in range(round(seconds / period_s)):
        for runner in fleet.runners.runners:
            if runner.number % 3 == turn % 3:
                fleet.runners.lose_power(runner, 2.0)
        fleet.run_for(period_s)


@when(
    "some runner announces its shutdown and exits 0.5 s later, "
    "every {period_s:g} s for {seconds:g} s"
)
def planned_ends(context, period_s, seconds):
    fleet = context.fleet
    for turn in range(round(seconds / period_s)):
        runner = fleet.runners.runners[turn % len(fleet.runners.runners)]
        fleet.runners.send_heartbeat(runner, RunnerState.DRAINING)
        fleet.run_for(LEAVES_BEFORE_S)
        fleet.runners.crash(runner, runner.incarnation)
        fleet.run_for(period_s - LEAVES_BEFORE_S)


# --- nodes -----------------------------------------------------------------------------------


@step("{seconds:g} s go by")
def go_by(context, seconds):
    context.fleet.run_for(seconds)


@when("the leading controller loses power")
def leader_dies(context):
    fleet = context.fleet
    fleet.crash(fleet.leader("controller"))
    fleet.leader("controller")


@when("all gateways lose power and start again")
def gateways_restart(context):
    restart(context.fleet, context.fleet.names("gateway"))


@when("all machines lose power and start again")
def all_restart(context):
    restart(context.fleet, list(context.fleet.nodes))


def restart(fleet, names):
    for name in names:
        fleet.crash(name)
    for name in names:
        fleet.start(name)
    fleet.leader("controller")
    fleet.run_for(SETTLES_S)


@when("gateway {number:d} is reconnected, and {seconds:g} s go by")
def join_again(context, number, seconds):
    fleet = context.fleet
    fleet.rejoin(f"gateway-{number}")
    fleet.run_for(seconds)


@when("an operator releases it, and it is harmless now")
def operator_releases(context):
    fleet = context.fleet
    fleet.runners.fatal_bodies.clear()
    controller = fleet.controller(sorted(fleet.names("controller"))[0])
    assert fleet.result_of(controller.quarantine.release(FATAL), "the request is let go").is_ok()
    again = fleet.result_of(controller.quarantine.release(FATAL), "a second order")
    assert again.is_error() and again.error.code.value == "not_found", again
    fleet.run_for(0.5)


@when("an operator's release is processed at a controller after the operator has disconnected")
def late_release(context):
    fleet = context.fleet
    controller = fleet.controller(sorted(fleet.names("controller"))[0])
    done = controller.quarantine.release(FATAL, lambda: False)
    assert fleet.result_of(done, "an answer to the release").is_error()
    fleet.run_for(0.5)


# --- outcomes --------------------------------------------------------------------------------


@then("at most {most:d} of its runs started later than {seconds:g} s after its third crash")
def few_late_runs(context, most, seconds):
    runners = context.fleet.runners
    assert len(runners.crashes) >= CRASHES_ALLOWED, runners.crashes
    allowed_until_s = runners.crashes[CRASHES_ALLOWED - 1] + seconds
    late = [run for run in runners.fatal_runs if run.at_s > allowed_until_s]
    assert len(late) <= most, (len(runners.crashes), len(late), runners.crashes[:6], late[:6])


@then("the other clients were served, except for streams that a crash broke off")
def others_served(context):
    fleet = context.fleet
    fleet.run_for(5.0)
    exchanges = fleet.answered()
    served = [each for each in exchanges if each.status == 200 and each.ended]
    assert len(exchanges) > 100, len(exchanges)
    assert len(served) >= 0.98 * len(exchanges), (len(served), len(exchanges))


@then("the other {count:d} items are done")
def other_items_done(context, count):
    job = submitted_job(context)
    assert set(job.unlisted) == {context.fatal_item}, job.unlisted
    assert len(job.items) == count + 1


@then("at most {most:d} runners have crashed, three of them at its trials")
@then("at most {most:d} runners have crashed")
def ended_at_most(context, most):
    assert 1 <= len(context.fleet.runners.crashes) <= most, context.fleet.runners.crashes


@then("all {count:d} items are done")
def all_items_done(context, count):
    job = submitted_job(context)
    assert [outcome.done for outcome in job.listed] == [True] * count, job.listed


def submitted_job(context):
    """Return the last job, as stored at the ledger's leader."""
    fleet = context.fleet
    jobs = fleet.nodes[fleet.leader("storage")].role.state.jobs.values()
    return next(job for job in jobs if job.client_id == context.job)


@then("all {count:d} items are listed, and only the fatal one as given up")
def fatal_given_up(context, count):
    job = submitted_job(context)
    assert not job.unlisted, job.unlisted
    given_up = [each.index for each in job.listed if not each.done]
    assert (len(job.listed), given_up) == (count, [context.fatal_item]), job.listed


@then("it is answered 502 within 50 ms, without a retry time")
def answered_at_once(context):
    exchange = context.exchange
    assert exchange.status == 502 and exchange.ended, exchange
    assert exchange.answered_at_s - context.sent_s <= 0.05, exchange
    assert b"retry-after" not in dict(exchange.headers), exchange.headers


@then("no runner has run it")
def not_run(context):
    assert len(context.fleet.runners.fatal_runs) == context.runs_before


@then("the client is served")
def served(context):
    assert context.exchange.status == 200 and context.exchange.ended, context.exchange


@then("the fatal body is held")
def is_held(context):
    held = [each.fingerprint for each in context.fleet.decided().requests if each.held]
    assert held == [FATAL], held


@then("only the fatal body was ever held")
def alone_held(context):
    decided = context.fleet.decided()
    (known,) = decided.requests
    assert known.fingerprint == FATAL and known.held, known
    # Each of its holds but the last one was followed by a release for a trial.
    assert decided.revision == 2 * known.times - 1, decided


@then("both bodies are on trial, as they cannot be told apart")
def both_on_trial(context):
    requests = context.fleet.decided().requests
    assert {each.fingerprint for each in requests} == {FATAL, fingerprint(RARE_BODY)}, requests
    assert not any(each.held for each in requests), requests


@given("probes report what is there")
def sound_probes(context):
    pass


@given("each probe reports a refused connection")
def refusing_probes(context):
    refused = lambda pool, address, told: told(Reachability.REFUSED)  # noqa: E731
    patch = mock.patch.object(RunnerPool, "probe", refused)
    patch.start()
    context.add_cleanup(patch.stop)


@then("something was ever held")
def something_held(context):
    assert context.fleet.decided().revision > 0


@then("nothing was ever held")
def nothing_held(context):
    fleet = context.fleet
    fleet.run_for(SETTLES_S)
    assert fleet.decided().revision == 0, fleet.decided()


@then("the frequent body was served, except when a runner crashed while running it")
def common_served(context):
    fleet = context.fleet
    fleet.run_for(5.0)
    exchanges = fleet.answered(COMMON_BODY)
    served = [each for each in exchanges if each.status == 200 and each.ended]
    assert len(served) >= 0.9 * len(exchanges), (len(served), len(exchanges))


@then("at most {count:d} runners have crashed")
def at_most_ended(context, count):
    assert len(context.fleet.runners.crashes) <= count, context.fleet.runners.crashes


@then("one more runner has crashed")
def one_more(context):
    assert len(context.fleet.runners.crashes) == context.crashes_before + 1, (
        context.fleet.runners.crashes
    )
    context.crashes_before += 1


@then("no further runner has crashed")
def no_more(context):
    assert len(context.fleet.runners.crashes) == context.crashes_before, (
        context.fleet.runners.crashes
    )


# --- bounds ----------------------------------------------------------------------------------


@when("{count:d} bodies are held one after the other")
def hold_many(context, count):
    context.state = QuarantineState()
    for number in range(count):
        context.state.hold(fingerprint(b"%d" % number))


@then("{count:d} are kept, the newest ones")
def newest_remembered(context, count):
    requests = context.state.snapshot().requests
    assert len(requests) == count
    assert requests[-1].fingerprint == fingerprint(b"199")


@when("reports on {ends:d} crashes with {count:d} requests each reach a controller")
def many_ends(context, ends, count):
    context.tracker = SuspectTracker()
    for end in range(ends):
        bodies = [fingerprint(b"%d %d" % (end, number)) for number in range(count)]
        context.tracker.crashed(f"runner-{end}", bodies, float(end), float(end))
    context.per_end = count


@then("it keeps at most {ends:d} crashes")
def ends_remembered(context, ends):
    assert context.tracker.count <= ends * context.per_end, context.tracker.count


@given("a node that watches a suspect")
def told_of_suspect(context):
    context.view = QuarantineView()
    context.view.watch((FATAL,), 0.0)


@then("it reports a response to it {before_s:d} s later, but not {after_s:d} s later")
def news_for_a_while(context, before_s, after_s):
    assert context.view.wants_answers(before_s) and context.view.wants_answer(FATAL)
    assert not context.view.wants_answers(after_s)
