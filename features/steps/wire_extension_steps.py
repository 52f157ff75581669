"""Steps of features/wire/extensions.feature."""

from behave import given, then, when
from features.support.wire import Node, add_node, nodes_of, wait_until

from rainsail.wire.address import PeerAddress
from rainsail.wire.connection import KEEPALIVE_FRAME
from rainsail.wire.extensions import EXTENSION_LEVEL, NO_EXTENSIONS
from rainsail.wire.messenger import EnvelopeKind


@given('a wire node "{name}" of an earlier version that knows "{peer}"')
def earlier_version(context, name, peer):
    port = nodes_of(context)[peer].port
    node = add_node(context, Node(name, {peer: PeerAddress("127.0.0.1", port)}))
    transport = node.messenger._transport
    # An earlier version announces nothing, and passes the other's announcement to its messenger.
    transport._announcement = KEEPALIVE_FRAME

    def receive(source, envelope):
        if envelope.kind == EnvelopeKind.REPLY:
            transport._calls.answered(source, envelope.call_id)
        transport._pass_to_messenger(source, envelope)

    transport.envelope_received = receive


@when('the wire node "{name}" is stopped for good')
def stop(context, name):
    nodes_of(context)[name].stop()


def _level(context, name, peer):
    return nodes_of(context)[name].messenger.extension_level(peer)


@then('"{first}" and "{second}" know each other\'s extensions')
def both_know(context, first, second):
    for name, peer in ((first, second), (second, first)):
        wait_until(
            lambda name=name, peer=peer: _level(context, name, peer) == EXTENSION_LEVEL,
            f"{name} knows {peer}",
        )


@then('"{name}" no longer knows the extensions of "{peer}"')
def forgotten(context, name, peer):
    wait_until(lambda: _level(context, name, peer) == NO_EXTENSIONS, f"{name} forgets {peer}")


@then('"{name}" still knows the extensions of "{peer}"')
def still_known(context, name, peer):
    transport = nodes_of(context)[name].transport
    wait_until(lambda: not transport._accepted, f"{name} has lost {peer}")
    assert _level(context, name, peer) == EXTENSION_LEVEL
