"""Steps of features/rig/last_answers.feature: one site on a real loopback socket."""

import socket

from behave import given, then, when
from features.support.reactor_thread import in_reactor, reactor, wait_until
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from rainsail.assembly.served_connections import ServedConnections

SOCKET_LIMIT_S = 20.0
HEAD_END = b"\r\n\r\n"
TOLD_ANSWER = b"told\n"


class _Page(Resource):
    """Answers at once with ``size`` bytes, or on command when ``size`` is None."""

    isLeaf = True

    def __init__(self, size):
        super().__init__()
        self._size = size
        self.requests = []

    def render_GET(self, request):
        self.requests.append(request)
        if self._size is None:
            return NOT_DONE_YET
        return b"x" * self._size


def _serve(context, size):
    context.rig_page = _Page(size)
    context.rig_clock = Clock()
    site = Site(context.rig_page)
    context.rig_served = ServedConnections(site, context.rig_clock)
    port = in_reactor(lambda: reactor.listenTCP(0, site, interface="127.0.0.1"))
    context.add_cleanup(in_reactor, port.stopListening)
    context.rig_port = port.getHost().port


@given("a followed web site that answers with {size:d} bytes")
def step_answers(context, size):
    _serve(context, size)


@given("a followed web site that answers when it is told to")
def step_answers_later(context):
    _serve(context, None)


@when("a slow reader asks the followed web site and reads nothing yet")
def step_ask(context):
    context.rig_reader = socket.create_connection(("127.0.0.1", context.rig_port), SOCKET_LIMIT_S)
    context.add_cleanup(context.rig_reader.close)
    context.rig_reader.sendall(b"GET / HTTP/1.1\r\nHost: here\r\n\r\n")
    wait_until(lambda: context.rig_page.requests, "a request at the site")


@when("the followed web site is finished with a limit of {limit:d} s")
def step_finish(context, limit):
    context.rig_finished = []
    in_reactor(
        lambda: context.rig_served.finish(limit).addCallback(context.rig_finished.append) and None
    )


@when("the followed web site is told to answer")
def step_tell(context):
    def answer():
        request = context.rig_page.requests[0]
        request.setHeader(b"content-length", b"5")
        request.write(TOLD_ANSWER)
        request.finish()

    in_reactor(answer)


@when("the slow reader reads to the end")
def step_read(context):
    received = b""
    while piece := context.rig_reader.recv(65536):
        received += piece
    context.rig_body = received.partition(HEAD_END)[2]


@when("{seconds:d} s pass for the followed web site")
def step_pass(context, seconds):
    in_reactor(context.rig_clock.advance, seconds)


@then("the followed web site is not finished yet")
def step_not_finished(context):
    assert not context.rig_finished


@then("the slow reader has {size:d} bytes")
def step_body(context, size):
    assert len(context.rig_body) == size, len(context.rig_body)


@then("the followed web site is finished")
def step_finished(context):
    wait_until(lambda: context.rig_finished, "the site is finished")
