"""Steps of features/wire/transport.feature."""

import itertools

from behave import given, then, when
from features.support.wire import Node, Probe, add_node, nodes_of, wait_until
from twisted.internet.defer import Deferred

from rainsail.wire.address import PeerAddress

CALL_TIMEOUT_S = 15.0


@given('a wire node "{name}" that listens')
def step_listening(context, name):
    add_node(context, Node(name)).listen()


@given('a wire node "{name}" that listens and never answers')
def step_silent(context, name):
    node = add_node(context, Node(name))
    node.listen()

    def keep(source, probe):
        node.received.append((source, probe))
        return Deferred()

    node.messenger.serve(Probe, keep)


@given('a wire node "{name}" that knows "{peer}"')
def step_knows(context, name, peer):
    port = nodes_of(context)[peer].port
    add_node(context, Node(name, {peer: PeerAddress("127.0.0.1", port)}))


@given('a wire node "{name}" that knows "{peer}" at a closed port')
def step_closed(context, name, peer):
    closed = Node(peer)
    address = closed.listen()
    closed.stop()
    add_node(context, Node(name, {peer: address}))


@when('"{source}" calls "{destination}" over the wire with "{text}"')
def step_call(context, source, destination, text):
    context.wire_results = []
    call = nodes_of(context)[source].messenger.call(destination, Probe(text), CALL_TIMEOUT_S)
    call.addCallback(context.wire_results.append)


@when('"{source}" sends "{text}" one way over the wire to "{destination}"')
def step_send(context, source, text, destination):
    context.wire_fault = nodes_of(context)[source].messenger.send(destination, Probe(text))


@when('"{name}" has got the wire probe and is stopped')
def step_got_and_stopped(context, name):
    node = nodes_of(context)[name]
    wait_until(lambda: node.received, "a probe")
    node.stop()


@when('"{source}" sends {count:d} numbered probes over the wire to "{destination}" in one turn')
def step_numbered(context, source, count, destination):
    messenger = nodes_of(context)[source].messenger
    faults = [messenger.send(destination, Probe(str(number))) for number in range(count)]
    assert faults == [None] * count, faults


@when('the wire node "{name}" is stopped and started on the same port')
def step_restart(context, name):
    port = nodes_of(context)[name].port
    nodes_of(context)[name].stop()
    node = add_node(context, Node(name))
    wait_until(lambda: node.listen_again(port), "the port")


@then('"{source}" reaches "{destination}" over the wire again')
def step_reaches(context, source, destination):
    messenger = nodes_of(context)[source].messenger
    node = nodes_of(context)[destination]
    numbers = itertools.count()

    def delivered():
        messenger.send(destination, Probe(f"again {next(numbers)}"))
        return node.received

    wait_until(delivered, "a probe after the restart")


@then('the wire call ends with the reply "{text}"')
def step_reply(context, text):
    wait_until(lambda: context.wire_results, "the end of the call")
    result = context.wire_results[0]
    assert result.is_ok(), result
    assert result.ok == Probe(text), result


@then('the wire call ends with a fault "{code}" whose outcome is "{outcome}"')
def step_call_fault(context, code, outcome):
    wait_until(lambda: context.wire_results, "the end of the call")
    result = context.wire_results[0]
    assert result.is_error(), result
    assert (result.error.code, result.error.outcome) == (code, outcome), result
    assert result.error.peer, result


@then('"{name}" got the wire probe "{text}" from "{source}"')
def step_got(context, name, text, source):
    node = nodes_of(context)[name]
    wait_until(lambda: (source, Probe(text)) in node.received, f"probe {text!r}")


@then('"{name}" got the {count:d} numbered wire probes in order')
def step_in_order(context, name, count):
    node = nodes_of(context)[name]
    wait_until(lambda: len(node.received) >= count, "all probes")
    assert [probe.text for _, probe in node.received] == [str(n) for n in range(count)]


@then('the wire send is refused as "{code}" and not run')
def step_refused(context, code):
    fault = context.wire_fault
    assert fault is not None
    assert (fault.code, fault.outcome) == (code, "not_run"), fault
