"""Steps of features/wire/links.feature."""

import itertools
import random

from behave import given, then, when
from features.support.wire import (
    Node,
    Probe,
    add_node,
    derandomized,
    framed,
    listen_raw,
    nodes_of,
    wait_until,
)
from hypothesis import given as for_each
from hypothesis import seed
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from rainsail.wire.codec import encode
from rainsail.wire.connection import PeerConnection
from rainsail.wire.dialler import DialState, QueuedEnvelope
from rainsail.wire.framing import LARGE_FRAME_BYTES, FramedConnection
from rainsail.wire.hello import LinkHello
from rainsail.wire.protocol import transport_fingerprint
from rainsail.wire.settings import WireSettings

FRAME_BOUND_BYTES = 64


class RecordingLink(FramedConnection):
    """A framed link that keeps the frames that arrive."""

    def __init__(self, max_frame_bytes=FRAME_BOUND_BYTES, buffer_bytes=1000):
        super().__init__(max_frame_bytes, buffer_bytes)
        self.frames = []
        self.accept_large_frames()
        self.makeConnection(StringTransport())

    def stringReceived(self, string):
        """Keep a frame."""
        self.frames.append(string)


@when("{examples:d} random sequences of frames reach a framed link, split at random places")
def step_frames_cut(context, examples):
    context.wire_frame_runs = []
    frames = st.lists(st.binary(max_size=FRAME_BOUND_BYTES), max_size=8)

    @seed(1)
    @derandomized(examples)
    @for_each(frames, st.lists(st.integers(0, 600), max_size=12))
    def run(sent, cuts):
        link = RecordingLink()
        data = b"".join(framed(frame) for frame in sent)
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for start, end in itertools.pairwise(places):
            link.dataReceived(data[start:end])
        context.wire_frame_runs.append((sent, link.frames))

    run()


@when(
    "{examples:d} random sequences of small and large frames reach a framed link, split at "
    "random places"
)
def step_large_frames_cut(context, examples):
    context.wire_frame_runs = []
    sizes = st.sampled_from([0, 1, 5, LARGE_FRAME_BYTES, LARGE_FRAME_BYTES + 5, 200_000, 300_000])

    @seed(3)
    @derandomized(examples)
    @for_each(
        st.lists(sizes, min_size=1, max_size=6), st.lists(st.integers(0, 900_000), max_size=20)
    )
    def run(lengths, cuts):
        link = RecordingLink(max_frame_bytes=1_000_000, buffer_bytes=1000)
        sent = [bytes([number]) * length for number, length in enumerate(lengths)]
        data = b"".join(framed(frame) for frame in sent)
        places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        for start, end in itertools.pairwise(places):
            link.dataReceived(data[start:end])
        context.wire_frame_runs.append((sent, link.frames))

    run()


@then("each sequence of frames arrived whole and in order")
def step_frames_whole(context):
    assert any(len(sent) > 2 for sent, _ in context.wire_frame_runs)
    for sent, arrived in context.wire_frame_runs:
        assert sent == arrived, (sent, arrived)


@when("{examples:d} random byte strings reach a framed link with frames of 64 bytes at most")
def step_garbage(context, examples):
    context.wire_held_bytes = []
    context.wire_closed = []

    @seed(2)
    @derandomized(examples)
    @for_each(st.lists(st.binary(min_size=1, max_size=120), max_size=5))
    def run(parts):
        link = RecordingLink()
        for part in parts:
            link.dataReceived(part)
            if link.transport.disconnecting:
                break
        context.wire_closed.append(link.transport.disconnecting)
        if not link.transport.disconnecting:
            held = len(link._unprocessed) + link._gathered_bytes
            context.wire_held_bytes.append(held)

    run()


@then("the framed link held {most:d} bytes at most or was closed")
def step_held(context, most):
    assert any(context.wire_closed) and context.wire_held_bytes
    assert max(context.wire_held_bytes) <= most, max(context.wire_held_bytes)


@given("a framed link with a buffer of {size:d} bytes whose transport asks for a pause")
def step_paused_link(context, size):
    context.wire_link = RecordingLink(max_frame_bytes=500, buffer_bytes=size)
    context.wire_link.pauseProducing()


@when("frames of {size:d} bytes are sent until one is refused")
def step_fill(context, size):
    context.wire_sent = []
    while True:
        frame = len(context.wire_sent).to_bytes(size, "big")
        context.wire_refusal = context.wire_link.send_frame(frame)
        if context.wire_refusal is not None:
            break
        context.wire_sent.append(frame)
        assert len(context.wire_sent) < 1000


@when("a frame over the size limit is sent")
def step_over_bound(context):
    context.wire_refusal = context.wire_link.send_frame(bytes(501))


@then('{count:d} frames wait and the refusal is "{code}" and not run')
def step_waiting(context, count, code):
    assert len(context.wire_sent) == count, len(context.wire_sent)
    assert context.wire_link.transport.value() == b""
    assert (context.wire_refusal.code, context.wire_refusal.outcome) == (code, "not_run")


@then('the refusal is "{code}" and nothing waits')
def step_refusal(context, code):
    assert (context.wire_refusal.code, context.wire_refusal.outcome) == (code, "not_run")
    context.wire_link.resumeProducing()
    assert context.wire_link.transport.value() == b""


@when("the transport of the framed link resumes")
def step_resume(context):
    context.wire_link.resumeProducing()


@then("all {count:d} frames have been written in order")
def step_written(context, count):
    written = context.wire_link.transport.value()
    assert written == b"".join(framed(frame) for frame in context.wire_sent)
    assert len(context.wire_sent) == count


@given('a raw listener that greets as "{name}" and then reads nothing')
def step_raw_listener(context, name):
    def greet(connection, frame):
        hello = LinkHello(name, "harbour", transport_fingerprint())
        connection.sendString(encode(hello))
        connection.transport.pauseProducing()
        context.add_cleanup(connection.transport.abortConnection)

    context.wire_listening = (name, listen_raw(context, greet))


@given('a wire node "{name}" whose buffer holds {size:d} bytes')
def step_small_buffer(context, name, size):
    peer, address = context.wire_listening
    settings = WireSettings(outgoing_buffer_bytes=size)
    add_node(context, Node(name, {peer: address}, settings=settings))


@when('"{source}" sends probes of {size:d} bytes over the wire to "{peer}" until one is refused')
def step_until_refused(context, source, size, peer):
    messenger = nodes_of(context)[source].messenger

    def refused():
        context.wire_fault = messenger.send(peer, Probe("", bytes(size)))
        return context.wire_fault

    wait_until(refused, "a refusal")


class LinkOwner:
    """Records the fault with which a peer link was closed."""

    def __init__(self):
        self.fault = None

    def connection_opened(self, connection):
        """Nothing to do."""

    def envelope_received(self, peer, envelope):
        """Nothing to do."""

    def connection_closed(self, connection, fault):
        """Keep the fault."""
        self.fault = fault


class LinkTransport(StringTransport):
    """A string transport with the methods of a TCP transport."""

    aborted = False

    def setTcpNoDelay(self, enabled):
        """Nothing to do."""

    def setTcpKeepAlive(self, enabled):
        """Nothing to do."""

    def abortConnection(self):
        """Record the abort."""
        self.aborted = True


@given("an open peer link with a keepalive of {period:g} s and a limit of {limit:g} s")
def step_open_link(context, period, limit):
    wire_settings = WireSettings(keepalive_period_s=period, dead_peer_timeout_s=limit)
    own = LinkHello("gateway-1", "harbour", 7)
    context.wire_clock = Clock()
    context.wire_owner = LinkOwner()
    context.wire_link = PeerConnection(
        context.wire_owner, context.wire_clock, own, wire_settings, "replica-1", False
    )
    context.wire_link.makeConnection(LinkTransport())
    context.wire_link.dataReceived(framed(encode(LinkHello("replica-1", "harbour", 7))))
    assert context.wire_link.is_open
    context.wire_link.transport.clear()


@when("{seconds:g} s pass on the peer link")
def step_link_time(context, seconds):
    context.wire_clock.pump([0.5] * int(seconds / 0.5))


@when("{seconds:g} s pass on the peer link while the peer sends a keepalive every {period:g} s")
def step_link_alive(context, seconds, period):
    for _ in range(int(seconds / period)):
        context.wire_clock.pump([0.5] * int(period / 0.5))
        context.wire_link.dataReceived(framed(b""))


@then("the peer link has sent {count:d} keepalive")
def step_keepalives(context, count):
    assert context.wire_link.transport.value() == framed(b"") * count


@then("the peer link is closed because the peer was silent")
def step_link_silent(context):
    link = context.wire_link
    assert link.transport.aborted and not link.is_open
    link.connectionLost()
    assert "silent" in context.wire_owner.fault.detail, context.wire_owner.fault


@then("the peer link is open")
def step_link_open(context):
    assert context.wire_link.is_open and not context.wire_link.transport.aborted


def _failing(number, failures):
    state = DialState(random.Random(number), WireSettings())
    waits = []
    for _ in range(failures):
        state.dialling = True
        state.failed(100.0)
        waits.append(state.refusal(100.0).retry_after_s)
    return state, waits


@when("a peer can't be dialled {failures:d} times in a row")
def step_dial_failures(context, failures):
    context.wire_dial, context.wire_waits = _failing(1, failures)
    _, context.wire_other_waits = _failing(2, failures)


@then("each wait before the next dial lies between half and all of a doubling limit")
def step_waits(context):
    wire_settings = WireSettings()
    for failure, wait_s in enumerate(context.wire_waits):
        bound_s = min(wire_settings.backoff_initial_s * 2**failure, wire_settings.backoff_max_s)
        assert bound_s / 2 <= wait_s <= bound_s, (failure, wait_s, bound_s)


@then("two dialling processes wait for different times")
def step_jitter(context):
    assert context.wire_waits != context.wire_other_waits


@when("the peer is dialled successfully")
def step_dialled(context):
    context.wire_dial.dialling = True
    context.wire_dial.opened()


@then("the next dial is allowed at once")
def step_free(context):
    assert context.wire_dial.refusal(100.0) is None


@given("a peer that is being dialled with a queue of {size:d} bytes")
def step_dialling(context, size):
    context.wire_dial = DialState(random.Random(1), WireSettings(connect_queue_bytes=size))
    context.wire_dial.dialling = True


@when("envelopes of {size:d} bytes are queued for the dialled peer until one is refused")
def step_queue(context, size):
    context.wire_queued = 0
    while context.wire_dial.enqueue(QueuedEnvelope(bytes(size), 0)) is None:
        context.wire_queued += 1
        assert context.wire_queued < 1000


@then("{count:d} envelopes wait for the dialled peer")
def step_queued(context, count):
    assert context.wire_queued == count
    assert len(context.wire_dial.opened()) == count


@given('a wire node "{name}" that listens and answers with more than a frame holds')
def step_oversized(context, name):
    node = add_node(context, Node(name, settings=WireSettings(max_frame_bytes=2000)))
    node.listen()
    node.messenger.serve(Probe, lambda source, probe: Probe("big", bytes(3000)))
