"""Steps on probing whether an address accepts connections, over loopback."""

from behave import given, then, when
from features.support.reactor_thread import in_reactor, wait_until
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from rainsail.http.reachability import probe_address

TIMEOUT_S = 5.0


@given("a port of this machine at which a process {listens}")
def make_port(context, listens):
    factory = Factory.forProtocol(Protocol)
    port = in_reactor(reactor.listenTCP, 0, factory, 50, "127.0.0.1")
    context.port_address = f"127.0.0.1:{port.getHost().port}"
    if listens == "no longer listens":
        in_reactor(port.stopListening)
    else:
        context.add_cleanup(in_reactor, port.stopListening)


@when("it is probed")
def probe(context):
    context.reached = []
    in_reactor(probe_address, reactor, context.port_address, TIMEOUT_S, context.reached.append)
    wait_until(lambda: bool(context.reached), "the probe's outcome")


@then('the address is reported once as "{reach}"')
def is_reported(context, reach):
    assert [each.value for each in context.reached] == [reach], context.reached
