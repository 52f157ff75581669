"""Steps on determinism, snapshots and restores."""

import os
import subprocess
import sys

from behave import given, then, when
from features.support.random_commands import SMALL_WINDOWS, CommandSource, snapshot_digest
from features.support.state import Driver
from hypothesis import given as with_examples
from hypothesis import settings
from hypothesis import strategies as st

from rainsail.errors import RainsailError
from rainsail.state.machine import ReplicatedState
from rainsail.state.result_log import SEGMENT_BYTES
from rainsail.state.snapshot import SNAPSHOT_FORMAT, SnapshotPart, SnapshotStart
from rainsail.wire.codec import decode, encode

RANDOM_COMMANDS = 250


@settings(derandomize=True, max_examples=20, deadline=None)
@with_examples(st.integers(0, 2**32), st.integers(5, 60))
def check_restores(seed, commands_between_restores):
    """Apply the same commands to two states, of which one is restored now and then."""
    source = CommandSource(seed)
    straight = ReplicatedState(SMALL_WINDOWS)
    restored = ReplicatedState(SMALL_WINDOWS)
    for index in range(1, RANDOM_COMMANDS + 1):
        command = source.draw()
        outcome = straight.apply(index, command)
        assert outcome == restored.apply(index, command), command
        source.observe(command, outcome)
        if index % commands_between_restores == 0:
            chunks = list(restored.snapshot())
            restored = ReplicatedState(SMALL_WINDOWS)
            restored.restore(chunks)
            assert restored.applied_index == index
    assert list(straight.snapshot()) == list(restored.snapshot())


@then(
    "random commands on a replicated state give the same answers"
    " and the same snapshot, restored or not"
)
def step_restores(context):
    check_restores()


@settings(derandomize=True, max_examples=20, deadline=None)
@with_examples(st.integers(0, 2**32), st.integers(20, RANDOM_COMMANDS))
def check_moment(seed, commands_before):
    """Encode one snapshot at once and one chunk by chunk, with commands between the chunks."""
    source = CommandSource(seed)
    state = ReplicatedState(SMALL_WINDOWS)

    def apply(index):
        command = source.draw()
        source.observe(command, state.apply(index, command))

    for index in range(1, commands_before + 1):
        apply(index)
    expected = list(state.snapshot())
    late = state.snapshot()
    found = []
    index = commands_before
    for _ in range(len(expected)):
        for _ in range(20):
            index += 1
            apply(index)
        found.append(next(late))
    assert found == expected
    assert next(late, None) is None


@then("random commands between the chunks of a replicated state's snapshot don't show in it")
def step_moment(context):
    check_moment()


@then("processes with other hash seeds take the same snapshot of the replicated state")
def step_hash_seeds(context):
    expected = snapshot_digest(11, RANDOM_COMMANDS)
    for hash_seed in ("1", "2"):
        command = [sys.executable, "-m", "features.support.random_commands", "11"]
        finished = subprocess.run(
            [*command, str(RANDOM_COMMANDS)],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        )
        assert finished.stdout.strip() == expected, (hash_seed, finished.stdout, expected)


@given("a replicated state with small snapshot chunks and a job of {count:d} items")
def step_chunks(context, count):
    context.driver = Driver(ReplicatedState(SMALL_WINDOWS))
    context.driver.accept("nightly", count)
    for number in range(30):
        items = context.driver.lease("alpha", f"request-{number}", 10)
        for item in items:
            context.driver.commit("alpha", item.ref, "text " * 20)
    context.chunks = list(context.driver.state.snapshot())


@then("no chunk of the replicated state's snapshot is much larger than its bound")
def step_bounded(context):
    largest = max(len(chunk) for chunk in context.chunks)
    assert len(context.chunks) > 3, len(context.chunks)
    assert largest <= SMALL_WINDOWS.snapshot_chunk_bytes + SEGMENT_BYTES, largest


@then("the replicated state restored from these chunks takes the same snapshot")
def step_same_snapshot(context):
    state = ReplicatedState(SMALL_WINDOWS)
    state.restore(iter(context.chunks))
    assert list(state.snapshot()) == context.chunks
    assert len(state.results("nightly", 0, 1000)) == 300


@when("the replicated state's snapshot is {damage}")
def step_damage(context, damage):
    start = decode(context.chunks[0]).records[0]
    later = SnapshotStart(SNAPSHOT_FORMAT + 1, start.applied_index)
    damaged = {
        "cut in its first chunk": [context.chunks[0][:-3], *context.chunks[1:]],
        "missing its first chunk": context.chunks[1:],
        "of a later format": [encode(SnapshotPart((later,))), *context.chunks[1:]],
        "replaced by other bytes": [b"\x00" * 64],
        "without any chunk": [],
    }
    context.damaged = damaged[damage]


@then('restoring it raises a fault at step "{step}"')
def step_refused(context, step):
    try:
        ReplicatedState(SMALL_WINDOWS).restore(context.damaged)
    except RainsailError as error:
        assert error.fault.step == step, error.fault
        return
    raise AssertionError("the damaged snapshot was restored")
