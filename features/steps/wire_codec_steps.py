"""Steps of features/wire/codec.feature."""

import ast
import importlib
import subprocess
import sys
import tracemalloc
from dataclasses import dataclass
from functools import cache
from pathlib import Path

import crc32c
from behave import then, when
from features.support.wire import derandomized
from hypothesis import given, seed
from hypothesis import strategies as st

import rainsail
from rainsail.control.messages import ListRequest, RenewItemLeasesReply, SessionRequest
from rainsail.wire.codec import (
    CodecError,
    decode,
    decode_body,
    encode,
    parsed_schema,
    registered_records,
    wire_record,
)
from rainsail.wire.envelope import decode_envelope
from rainsail.wire.hello import LinkHello
from rainsail.wire.names import wire_name

INT64 = st.integers(-(2**63), 2**63 - 1)
SMALLEST_BYTES = {"null": 0, "boolean": 1, "long": 1, "double": 8, "string": 1, "bytes": 1}


def _records():
    """Import every module of rainsail that registers records; return the records."""
    root = Path(rainsail.__file__).parent
    for path in sorted(root.rglob("*.py")):
        if "@wire_record" in path.read_text():
            parts = path.relative_to(root.parent).with_suffix("").parts
            importlib.import_module(".".join(parts))
    return [cls for cls in registered_records() if cls.__module__.startswith("rainsail.")]


@cache
def _values(cls):
    _register_types()
    return st.from_type(cls)


@cache
def _register_types():
    """Restrict generated values to what Avro encodes and an equality check can compare."""
    st.register_type_strategy(int, INT64)
    st.register_type_strategy(float, st.floats(allow_nan=False))
    st.register_type_strategy(str, st.text(max_size=6))
    st.register_type_strategy(bytes, st.binary(max_size=6))


def _each_value(cls, examples, check):
    """Call ``check`` with generated values of a record."""

    @seed(1)
    @derandomized(examples)
    @given(_values(cls))
    def run(value):
        check(value)

    run()


@when("{examples:d} random values of each registered wire record are encoded and decoded")
def step_round_trip(context, examples):
    context.wire_unequal = []
    context.wire_seen = {}

    def check(value):
        context.wire_seen[type(value).__module__] = context.wire_seen.get(type(value), 0) + 1
        back = decode(encode(value))
        if back != value or repr(back) != repr(value):
            context.wire_unequal.append(value)

    for cls in _records():
        _each_value(cls, examples, check)


@then("every wire value is equal after decoding")
def step_all_equal(context):
    assert context.wire_seen
    assert context.wire_unequal == [], context.wire_unequal[:3]


@then("wire records of the protocol, the state and the engines were among them")
def step_all_parts(context):
    for part in ("rainsail.consensus.", "rainsail.control.", "rainsail.state.", "rainsail.engine."):
        assert any(name.startswith(part) for name in context.wire_seen), (part, context.wire_seen)


@when("{examples:d} random byte strings are decoded as wire envelopes")
def step_bytes(context, examples):
    context.wire_outcomes = []
    prefixes = [b"", *(bytes(9) + _type_id(cls) for cls in _records())]

    @seed(2)
    @derandomized(examples)
    @given(st.sampled_from(prefixes), st.binary(max_size=200))
    def run(prefix, data):
        context.wire_outcomes.append(_outcome(decode_envelope, prefix + data))

    run()


@when("{examples:d} damaged encodings of each registered wire record are decoded")
def step_damaged(context, examples):
    context.wire_outcomes = []
    for cls in _records():

        @seed(3)
        @derandomized(examples)
        @given(_values(cls), st.integers(0), st.binary(min_size=1, max_size=9), st.booleans())
        def run(value, place, patch, cut):
            data = bytearray(encode(value))
            place %= len(data)
            data[place : place + len(patch)] = patch
            whole = bytes(data[:place] if cut else data)
            context.wire_outcomes.append(_outcome(decode, whole))

        run()


def _type_id(cls):
    return crc32c.crc32c(wire_name(cls).encode()).to_bytes(4, "little")


def _outcome(decoder, data):
    try:
        decoder(data)
    except CodecError:
        return "error"
    return "value"


@then("each gave a wire envelope or a codec error")
@then("each gave a wire record or a codec error")
def step_outcomes(context):
    outcomes = context.wire_outcomes
    assert set(outcomes) == {"error", "value"}, "only one kind of outcome occurred"


def _zigzag(number):
    number = (number << 1) ^ (number >> 63)
    parts = bytearray()
    while number > 0x7F:
        parts.append(number & 0x7F | 0x80)
        number >>= 7
    return bytes([*parts, number])


@when("a wire record whose {part} claims {length} is decoded")
def step_absurd(context, part, length):
    cls, head = {
        "array": (ListRequest, _zigzag(0)),
        "string": (SessionRequest, _zigzag(0)),
        "map": (RenewItemLeasesReply, _zigzag(0) + bytes(8)),
    }[part]
    claimed = _zigzag(ast.literal_eval(length) if "**" not in length else _power(length))
    tracemalloc.start()
    try:
        context.wire_outcome = _outcome(lambda data: decode_body(cls, data), head + claimed)
        context.wire_peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def _power(text):
    base, _, exponent = text.partition("**")
    value = abs(int(base)) ** int(exponent)
    return -value if base.startswith("-") else value


@then("it is a codec error within 1 MiB of memory")
def step_small_error(context):
    assert context.wire_outcome == "error"
    assert context.wire_peak_bytes < 2**20, context.wire_peak_bytes


@when("a wire record is decoded with a byte after its end")
def step_trailing(context):
    context.wire_outcome = _outcome(decode, encode(LinkHello("a", "b", 1)) + b"\x00")


@then("it is a codec error")
def step_error(context):
    assert context.wire_outcome == "error"


@then("each item of each wire array and map takes at least one byte")
def step_items_take_bytes(context):
    found = []
    for cls in _records():
        _collect_items(parsed_schema(cls), {}, found)
    assert found
    assert min(found) >= 1, "an empty item lets a few bytes claim any number of items"


def _collect_items(schema, named, found):
    if isinstance(schema, list):
        for member in schema:
            _collect_items(member, named, found)
    if not isinstance(schema, dict):
        return
    if schema["type"] == "record":
        named[schema["name"]] = schema
        for field in schema["fields"]:
            _collect_items(field["type"], named, found)
    if schema["type"] == "array":
        _collect_items(schema["items"], named, found)
        found.append(_least_bytes(schema["items"], named))
    if schema["type"] == "map":
        _collect_items(schema["values"], named, found)
        found.append(1)


def _least_bytes(schema, named):
    if isinstance(schema, str):
        return SMALLEST_BYTES[schema] if schema in SMALLEST_BYTES else _sum(named[schema], named)
    if isinstance(schema, dict) and schema["type"] == "record":
        return _sum(schema, named)
    return 1


def _sum(record, named):
    return sum(_least_bytes(field["type"], named) for field in record["fields"])


@then('registering a second wire record named "LinkHello" is refused')
def step_second_name(context):
    @dataclass(frozen=True)
    class Impostor:
        text: str

    Impostor.__name__ = Impostor.__qualname__ = "LinkHello"
    try:
        wire_record("LinkHello")(Impostor)
    except TypeError:
        return
    raise AssertionError("the second record was registered")


@then("two processes with different modules loaded have the same wire fingerprint")
def step_fingerprints(context):
    program = "from rainsail.wire.protocol import transport_fingerprint as f; print(f())"
    more = "import rainsail.state.snapshot, rainsail.engine.interface; "
    printed = [
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        for code in (program, more + program)
    ]
    first, second = [run.stdout for run in printed]
    assert first == second and first.strip(), (first, second)
