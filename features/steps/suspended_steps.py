"""Steps on machines that are suspended, in virtual time."""

from unittest import mock

from behave import given, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import runner_record
from twisted.internet.base import ReactorBase

from rainsail.cluster.messages import ReadTable, ReadZoneDrains
from rainsail.errors import Fault, FaultCode
from rainsail.jobs.messages import ReadResults
from rainsail.quarantine.messages import ReadQuarantine
from rainsail.routing.messages import PlaceRequest
from rainsail.runtime import clock as clock_module
from rainsail.runtime.clock import MonotonicClock, count_suspended_time
from rainsail.simulation.clock import SkewedClock
from rainsail.tenancy.messages import QuotaAsk

SEED = 29
KINDS = {"root group": "controller", "ledger": "storage"}
QUESTIONS = {
    "the routing table": ReadTable(),
    "the draining zones": ReadZoneDrains(),
    "the held requests": ReadQuarantine(),
    "results of a job": ReadResults("/job-1", 0, 0.0),
    "a place for a request": PlaceRequest("model", "zone-1", (), -1.0),
    "a share of a tenant's quota": QuotaAsk(1, ()),
}


# --- the processes' clock --------------------------------------------------------------------


class _SuspendedSystem:
    """The clocks of a machine that gets suspended."""

    CLOCK_BOOTTIME = 7

    def __init__(self):
        self.awake_s = 100.0
        self.suspended_s = 50.0

    def monotonic(self):
        """Return the monotonic clock, which stops during a suspension."""
        return self.awake_s

    def clock_gettime(self, number):
        """Return ``CLOCK_BOOTTIME``, which includes suspensions."""
        assert number == self.CLOCK_BOOTTIME
        return self.awake_s + self.suspended_s


class _Reactor(ReactorBase):
    def installWaker(self):
        """Install nothing: no other thread wakes the reactor."""


@given("a system whose monotonic clock stops during a suspension")
def make_system(context):
    context.system = system = _SuspendedSystem()
    patch = mock.patch.object(clock_module, "time", system)
    patch.start()
    context.add_cleanup(patch.stop)
    reactor = _Reactor()
    reactor.seconds = system.monotonic
    count_suspended_time(reactor)
    context.process_clock = MonotonicClock(reactor)
    context.reactor = reactor
    context.begun_s = context.process_clock.seconds()
    context.fired = []
    context.process_clock.callLater(7.0, context.fired.append, "timer")


@when("{awake_s:d} s pass awake, and the machine is suspended for {suspended_s:d} s")
def pass_time(context, awake_s, suspended_s):
    context.system.awake_s += awake_s
    context.reactor.runUntilCurrent()
    assert not context.fired
    context.system.suspended_s += suspended_s


@then("the process's clock is {seconds:d} s on")
def clock_is_on(context, seconds):
    assert context.process_clock.seconds() - context.begun_s == seconds


@then("a timer of 7 s is due at once")
def timer_due(context):
    context.reactor.runUntilCurrent()
    assert context.fired == ["timer"]


# --- leaders ---------------------------------------------------------------------------------


@given("processes whose clock stops during a suspension")
def stand_still(context):
    patch = mock.patch.object(SkewedClock, "counts_frozen_time", False)
    patch.start()
    context.add_cleanup(patch.stop)


@given("a relayed fleet whose leader of the {group} is suspended while another takes over")
def suspend_leader(context, group):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    controller.reports.take(runner_record(1))
    fleet.run_for(2.0)
    submitted = fleet.submit("gateway-1", "job-1", 40)
    assert fleet.result_of(submitted, "the job is accepted").is_ok()
    fleet.run_for(0.5)
    kind = KINDS[group]
    context.former = former = fleet.leader(kind)
    fleet.freeze(former)
    others = [name for name in fleet.names(kind) if name != former]
    fleet.run_until(lambda: any(name in fleet.leading(kind) for name in others), "another leads")
    fleet.run_for(1.0)


@when("it wakes, and is asked at once for {what}")
def ask_at_once(context, what):
    """Deliver the message before the overdue timers run, as on a real wake-up."""
    fleet = context.fleet
    message = QUESTIONS[what]
    node = fleet.nodes[context.former]
    handler = node.base.messenger._handlers[type(message)]
    answer = handler("gateway-1", message)
    context.answers = []
    if hasattr(answer, "addCallback"):
        answer.addCallback(context.answers.append)
    else:
        context.answers.append(answer)


@then("it answers that it does not lead")
def says_not_leading(context):
    (answer,) = context.answers
    fault = answer if isinstance(answer, Fault) else answer.error
    assert fault.code == FaultCode.NOT_LEADER, answer


@then("it answers as if it still led")
def answers_stale(context):
    assert not context.answers or not isinstance(context.answers[0], Fault), context.answers


@when("it wakes, and plans items at once")
def plans_at_once(context):
    fleet = context.fleet
    pool = fleet.pools[context.former]
    context.sent_before = len(pool.calls)
    fleet.nodes[context.former].role.dispatcher._starter.start_items()
    fleet.thaw(context.former)
    fleet.run_for(0.05)


@then("it has sent no item since")
def sent_none(context):
    assert len(context.fleet.pools[context.former].calls) == context.sent_before
