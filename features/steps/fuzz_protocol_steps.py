"""Steps that fuzz the protocol between processes."""

import importlib

import crc32c
from behave import then, when
from features.support.control import ControlFleet, MemoryTransport
from features.support.fuzz import altered, fuzz, peak_bytes, records_of, zigzag
from hypothesis import strategies
from twisted.internet.testing import StringTransport

from rainsail.control import messages
from rainsail.errors import Fault
from rainsail.simulation.clock import VirtualClock
from rainsail.wire.codec import CodecError, decode, encode, registered_records
from rainsail.wire.connection import PeerConnection
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.framing import HELLO_FRAME_BYTES
from rainsail.wire.hello import LinkHello
from rainsail.wire.messenger import Envelope, EnvelopeKind, Messenger
from rainsail.wire.names import wire_name
from rainsail.wire.protocol import PROTOCOL_MODULES
from rainsail.wire.settings import WireSettings

TYPE_ID_BYTES = 4
MAX_FRAME_BYTES = 100_000
PIECE_BYTES = 4096


def protocol_records():
    """Return the record types that processes send one another."""
    for name in PROTOCOL_MODULES:
        importlib.import_module(name)
    found = [cls for cls in registered_records() if cls.__module__ in PROTOCOL_MODULES]
    assert len(found) > 30, found
    return found


def try_decode(context, data, decoder=decode):
    """Decode and record whether it gave a record or a codec error; other errors propagate."""
    try:
        decoder(data)
        context.fuzz_results.append("record")
    except CodecError as error:
        assert str(error)
        context.fuzz_results.append("error")


@when("{count:d} fuzzed records of each type of the protocol are encoded and decoded")
def step_round_trip(context, count):
    context.fuzz_calls = 0
    for cls in protocol_records():

        def check(record):
            assert decode(encode(record)) == record

        context.fuzz_calls += fuzz(count, check, records_of(cls))


@then("each fuzzed record is equal after decoding")
def step_same(context):
    assert context.fuzz_calls >= 3 * len(protocol_records()), context.fuzz_calls


@when("{count:d} fuzzed alterations of a record of each type are decoded")
def step_altered(context, count):
    context.fuzz_results = []
    for cls in protocol_records():
        alterations = records_of(cls).flatmap(lambda record: altered(encode(record)))
        fuzz(count, lambda data: try_decode(context, data), alterations)


@when("{count:d} fuzzed strings of bytes are decoded as envelopes")
def step_envelopes(context, count):
    context.fuzz_results = []
    headers = strategies.sampled_from([bytes([kind]) + bytes(8) for kind in range(4)])
    type_ids = strategies.sampled_from(
        [encode(LinkHello("a", "b", 1))[:TYPE_ID_BYTES]]
        + [encode_type(cls) for cls in protocol_records()]
    )
    bodies = strategies.binary(max_size=200)
    framed = strategies.builds(lambda *parts: b"".join(parts), headers, type_ids, bodies)
    any_bytes = strategies.one_of(bodies, framed)
    fuzz(count, lambda data: try_decode(context, data, decode_envelope), any_bytes)


def encode_type(cls):
    """Return the type id of a record type."""
    return crc32c.crc32c(wire_name(cls).encode()).to_bytes(TYPE_ID_BYTES, "little")


@then("each fuzzed decoding gave a record or a codec error")
def step_record_or_error(context):
    assert context.fuzz_results.count("error") >= 100, len(context.fuzz_results)


@when("fuzzed lengths of 2 to the power {first:d}, {second:d} and {third:d} are put into each type")
def step_counts(context, first, second, third):
    context.fuzz_results = []
    context.fuzz_peak = 0
    for cls in protocol_records():
        for power in (first, second, third):
            count = zigzag(2**power)
            for lead in (b"", b"\x02", b"\x02" * 3, b"\x00" * 2, b"\x04aa", b"\x04aa\x02\x00"):
                data = encode_type(cls) + lead + count * 3
                peak = peak_bytes(lambda data=data: try_decode(context, data))
                context.fuzz_peak = max(context.fuzz_peak, peak)


@then("decoding used at most {count:d} bytes at once")
def step_peak(context, count):
    assert context.fuzz_peak <= count, context.fuzz_peak


# --- connections ------------------------------------------------------------------------------


class RecordingOwner:
    """Records the events that a connection reports to its transport."""

    def __init__(self):
        self.opened = False
        self.faults = []
        self.envelopes = []

    def connection_opened(self, connection):
        """Record the opening."""
        self.opened = True

    def envelope_received(self, peer, envelope):
        """Record an envelope."""
        self.envelopes.append(envelope)

    def connection_closed(self, connection, fault):
        """Record the fault."""
        self.faults.append(fault)


class TcpStringTransport(StringTransport):
    """A transport in memory that accepts TCP options."""

    def setTcpNoDelay(self, on):
        """Accept the option."""

    def setTcpKeepAlive(self, on):
        """Accept the option."""


def frames():
    """Return streams of valid and invalid frames, with or without a hello before them."""
    hello = encode(LinkHello("b", "north", 7))
    reply = encode_envelope(Envelope(EnvelopeKind.REPLY, 3, LinkHello("b", "north", 7)))
    framed = strategies.one_of(
        strategies.sampled_from([hello, reply, b""]),
        altered(hello),
        altered(reply),
        strategies.binary(max_size=80),
    ).map(lambda data: len(data).to_bytes(4, "big") + data)
    unframed = strategies.binary(min_size=1, max_size=30)
    large = b"\x00\x01\x86\xa0" + bytes(50_000)
    huge = strategies.sampled_from([b"\xff\xff\xff\xff", large])
    rest = strategies.lists(strategies.one_of(framed, framed, unframed, huge), max_size=5)
    opened = len(hello).to_bytes(4, "big") + hello
    used = opened + len(reply).to_bytes(4, "big") + reply
    start = strategies.sampled_from([b"", opened, used, used + large])
    return strategies.builds(lambda first, more: first + b"".join(more), start, rest)


@when("{count:d} fuzzed streams of frames reach a connection in arbitrary pieces")
def step_streams(context, count):
    context.owners = []
    context.most_buffered = 0
    context.most_buffered_before_open = 0

    def check(data, pieces):
        owner, clock = RecordingOwner(), VirtualClock()
        settings = WireSettings(max_frame_bytes=MAX_FRAME_BYTES)
        connection = PeerConnection(owner, clock, LinkHello("a", "north", 7), settings, None, False)
        transport = TcpStringTransport()
        connection.makeConnection(transport)
        start = 0
        for end in sorted({*pieces, *range(PIECE_BYTES, len(data), PIECE_BYTES), len(data)}):
            if not transport.disconnecting and not connection._ended:
                connection.dataReceived(data[start:end])
            start = max(start, end)
            buffered = connection._gathered_bytes + len(connection._unprocessed)
            context.most_buffered = max(context.most_buffered, buffered)
            if not owner.opened:
                context.most_buffered_before_open = max(context.most_buffered_before_open, buffered)
        clock.advance(120.0)
        connection.connectionLost(None)
        context.owners.append(owner)

    fuzz(count, check, frames(), strategies.lists(strategies.integers(0, 200), max_size=4))


@then("the fuzzed connections stayed open or were closed with a typed fault")
def step_connections(context):
    assert any(owner.opened for owner in context.owners)
    assert any(owner.envelopes for owner in context.owners)
    for owner in context.owners:
        assert len(owner.faults) == 1 and isinstance(owner.faults[0], Fault), owner.faults
        assert owner.faults[0].step, owner.faults


@then("no fuzzed connection buffered more than a frame and a piece")
def step_held(context):
    most = MAX_FRAME_BYTES + 4 + PIECE_BYTES
    assert PIECE_BYTES < context.most_buffered <= most, context.most_buffered
    before = HELLO_FRAME_BYTES + 4 + PIECE_BYTES
    assert context.most_buffered_before_open <= before, context.most_buffered_before_open


# --- requests ---------------------------------------------------------------------------------


@when("{count:d} fuzzed requests of every kind reach a replica that leads")
def step_requests(context, count):
    context.fleet = ControlFleet()
    context.fleet.finish(context.fleet.client("operator").propose(context.fleet.change(), 5.0))
    context.fuzz_answers = []
    transport = MemoryTransport(context.fleet.network, "fuzzer")
    messenger = Messenger(transport, context.fleet.clock)
    kinds = [cls for cls in protocol_records() if cls.__module__ == messages.__name__]
    requests = strategies.one_of([records_of(cls) for cls in kinds])

    longest_s = context.fleet.settings.poll_wait_s + context.fleet.settings.poll_grace_s

    def check(message):
        answer = context.fleet.finish(messenger.call("r1", message, longest_s))
        context.fuzz_answers.append(answer)

    fuzz(count, check, requests)


@then("each fuzzed request was answered by a reply or a typed fault")
def step_answers(context):
    faults = [answer.error for answer in context.fuzz_answers if answer.is_error()]
    assert len(context.fuzz_answers) >= 300
    assert len(faults) < len(context.fuzz_answers), "no request was accepted"
    for fault in faults:
        assert isinstance(fault, Fault) and fault.step, fault
        assert fault.code not in ("internal", "timeout"), fault


@then("the replica that was fuzzed still answers")
def step_still_answers(context):
    change = context.fleet.change("assistant", 2)
    answer = context.fleet.finish(context.fleet.client("operator").propose(change, 5.0))
    assert answer.is_ok(), answer
