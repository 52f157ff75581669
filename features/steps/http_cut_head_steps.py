"""Steps on calls to a server that stops inside its heads, over real sockets."""

from behave import given, then, when
from features.support.cut_answers import FRAMINGS, INTERIM, places_in, runner_answer
from features.support.cutting_proxy import Cut, CuttingProxy
from features.support.reactor_thread import in_reactor, reactor, wait_until

from rainsail.http.client import OutgoingRequest
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.runtime.clock import MonotonicClock

REQUEST = OutgoingRequest(b"GET", b"/x", ((b"Host", b"a"),), b"")


class _Listener:
    """Records what comes of one call."""

    def __init__(self):
        self.head = None
        self.end = ""

    def answer_begun(self, head):
        """Record the head."""
        self.head = head

    def answer_data(self, data):
        """Nothing to do."""

    def answer_ended(self):
        """Record a whole answer."""
        self.end = "whole"

    def answer_failed(self, reason):
        """Record why the answer failed."""
        self.end = reason

    def request_unsent(self, reason):
        """Record that there was no connection."""
        self.end = f"unsent: {reason}"


@given("a server on a real socket that cuts the heads of its answers")
def serve_cut(context):
    context.proxy = CuttingProxy()
    context.add_cleanup(context.proxy.close)
    context.real_pool = in_reactor(ConnectionPool, reactor, MonotonicClock(reactor), PoolSettings())
    context.add_cleanup(in_reactor, context.real_pool.stop)


@when("a call is made for one place of each class, and the connection ends {how}")
def make_calls(context, how):
    address = context.proxy.address.removeprefix("http://")
    context.cut_calls = []
    for framing in FRAMINGS:
        for number, version in enumerate(("1.1", "1.0")):
            head = runner_answer("body", "r-1", framing, version).head
            for place, cut in places_in(head).items():
                before = INTERIM if (number + cut) % 2 else b""
                context.proxy.cut = Cut(before + head[:cut], how)
                listener = _Listener()
                in_reactor(context.real_pool.send, address, REQUEST, listener)
                wait_until(lambda: listener.end, f"the end of {framing}, {place}")  # noqa: B023
                context.cut_calls.append((framing, version, place, listener))


@then("every call has failed, and none has got a head")
def all_failed(context):
    assert len(context.cut_calls) == context.proxy.answered
    for framing, version, place, listener in context.cut_calls:
        assert listener.head is None, (framing, version, place, listener.head)
        expected = ("connection closed", "connection reset")
        assert listener.end in expected, (framing, version, place, listener.end)
