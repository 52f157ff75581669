"""Steps of features/wire/admission.feature."""

import dataclasses

from behave import given, then, when
from features.support.wire import (
    Node,
    Probe,
    add_node,
    connect_raw,
    framed,
    nodes_of,
    temporary_folder,
    tls_settings,
    wait_for,
    wait_until,
)

from rainsail.errors import RainsailError
from rainsail.wire import tcp
from rainsail.wire.address import PeerAddress
from rainsail.wire.codec import encode
from rainsail.wire.envelope import encode_envelope
from rainsail.wire.hello import LinkHello
from rainsail.wire.keys import create_certificates
from rainsail.wire.messenger import Envelope, EnvelopeKind
from rainsail.wire.protocol import transport_fingerprint
from rainsail.wire.settings import WireSettings

PROBE_FRAME = framed(encode_envelope(Envelope(EnvelopeKind.ONE_WAY, 0, Probe("intruder"))))
GOOD_HELLO = LinkHello("gateway-9", "harbour", transport_fingerprint())
RAW_BYTES = {
    "an envelope without a hello": PROBE_FRAME,
    "a frame of 4 GiB announced": b"\xff\xff\xff\xff",
    "a frame of 5000 bytes": framed(bytes(5000)),
    "an empty frame": framed(b""),
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: localhost\r\n\r\n",
    "nothing": b"",
}


def _address(context, name):
    return PeerAddress("127.0.0.1", nodes_of(context)[name].port)


@given('a listening wire node of fleet "{fleet}" named "{name}"')
def step_fleet_listens(context, name, fleet):
    add_node(context, Node(name, fleet=fleet)).listen()


@given('a wire node of fleet "{fleet}" named "{name}" that dials "{other}" as "{peer}"')
def step_fleet_knows(context, name, fleet, peer, other):
    node = Node(name, {peer: _address(context, other)}, fleet=fleet)
    if name in nodes_of(context):
        nodes_of(context)["the listener"] = nodes_of(context)[name]
        context.wire_listener = nodes_of(context)[name]
    add_node(context, node)


@given('a wire node of another protocol version named "{name}" and its peer "{peer}"')
def step_other_version(context, name, peer):
    known = tcp.transport_fingerprint
    tcp.transport_fingerprint = lambda modules: known(modules) ^ 1
    try:
        add_node(context, Node(name, {peer: _address(context, peer)}))
    finally:
        tcp.transport_fingerprint = known


@given('a listening wire node named "{name}" with a hello timeout of {seconds:g} s')
def step_short_hello(context, name, seconds):
    add_node(context, Node(name, settings=WireSettings(hello_timeout_s=seconds))).listen()


@given('a listening wire node named "{name}" with at most {count:d} connections')
def step_few_connections(context, name, count):
    settings = WireSettings(max_accepted_connections=count, hello_timeout_s=60.0)
    add_node(context, Node(name, settings=settings)).listen()


@given('a wire authority with certificates for "{first}" and "{second}"')
def step_authority(context, first, second):
    context.wire_keys = temporary_folder(context)
    create_certificates(context.wire_keys, [first, second])


@given('a listening TLS wire node named "{name}"')
def step_tls_listens(context, name):
    add_node(context, Node(name, tls=tls_settings(context.wire_keys, name))).listen()


@given('a TLS wire node named "{name}" and its peer "{peer}"')
def step_tls_knows(context, name, peer):
    tls = tls_settings(context.wire_keys, name)
    add_node(context, Node(name, {peer: _address(context, peer)}, tls))


@given('a TLS wire node named "{name}" that uses the certificate of "{owner}" to "{peer}"')
def step_tls_other_name(context, name, owner, peer):
    node = Node(owner, {peer: _address(context, peer)}, tls_settings(context.wire_keys, owner))
    # The transport refuses to start with this certificate, so the name is changed afterwards.
    node.transport._hello = dataclasses.replace(node.transport._hello, process=name)
    node.name = name
    add_node(context, node)


@given('a TLS wire node of another authority named "{name}" and its peer "{peer}"')
def step_tls_other_authority(context, name, peer):
    folder = temporary_folder(context)
    create_certificates(folder, [name])
    add_node(context, Node(name, {peer: _address(context, peer)}, tls_settings(folder, name)))


@when('a raw wire peer sends {what} to "{name}"')
def step_raw_sends(context, what, name):
    context.wire_raw = connect_raw(_address(context, name))
    context.wire_raw.transport.write(RAW_BYTES[what])


@when('a raw wire peer greets "{name}" and then sends garbage')
def step_raw_garbage(context, name):
    context.wire_raw = connect_raw(_address(context, name))
    context.wire_raw.transport.write(framed(encode(GOOD_HELLO)))
    wait_until(lambda: context.wire_raw.received, "the answer to the hello")
    context.wire_raw.transport.write(framed(b"\x00garbage that is no envelope"))


@when('a raw wire peer greets "{name}" and then sends an envelope')
def step_raw_envelope(context, name):
    context.wire_raw = connect_raw(_address(context, name))
    context.wire_raw.transport.write(framed(encode(GOOD_HELLO)) + PROBE_FRAME)


@when('{count:d} raw wire peers connect to "{name}" and stay')
def step_raw_many(context, count, name):
    context.wire_raws = [connect_raw(_address(context, name)) for _ in range(count)]


@when('a wire node "{name}" is made with the certificate of "{owner}"')
def step_make_other_name(context, name, owner):
    _try_node(context, name, {}, tls_settings(context.wire_keys, owner))


@when('a plain wire node is made that knows a peer at "{host}"')
def step_make_exposed(context, host):
    _try_node(context, "gateway-1", {"replica-1": PeerAddress(host, 7300)}, None)


@when('a plain wire node listens on "{host}"')
def step_listen_exposed(context, host):
    node = add_node(context, Node("replica-1"))
    context.wire_listen = wait_for(node.transport.listen_on(host, 0))


def _try_node(context, name, peers, tls):
    context.wire_error = None
    try:
        add_node(context, Node(name, peers, tls))
    except RainsailError as error:
        context.wire_error = error


@then("the raw wire connection is closed by the other side")
def step_raw_closed(context):
    wait_until(lambda: context.wire_raw.closed, "the end of the raw connection")


@then("exactly {count:d} of the raw wire connections is closed by the other side")
def step_raw_some_closed(context, count):
    raws = context.wire_raws
    wait_until(lambda: sum(raw.closed for raw in raws) >= count, "a closed raw connection")
    assert sum(raw.closed for raw in raws) == count


@then('"{name}" got no wire probe')
def step_no_probe(context, name):
    node = getattr(context, "wire_listener", nodes_of(context)[name])
    assert node.received == [], node.received


@then('the wire fault says "{text}"')
def step_fault_says(context, text):
    detail = context.wire_results[0].error.detail
    assert text in detail, detail


@then('making the wire node fails naming "{text}"')
def step_make_fails(context, text):
    assert context.wire_error is not None
    assert text in context.wire_error.fault.detail, context.wire_error.fault


@then('listening fails naming "{text}"')
def step_listen_fails(context, text):
    assert context.wire_listen.is_error()
    assert text in context.wire_listen.error.detail, context.wire_listen.error
