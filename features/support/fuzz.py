"""Fuzzing with Hypothesis: fixed examples by default, more and others through the environment.

``RAINSAIL_FUZZ_EXAMPLES`` multiplies the number of examples, ``RAINSAIL_FUZZ_SEED`` seeds other
ones (``tools/fuzz.py`` sets both).
"""

import dataclasses
import json
import os
import tracemalloc
import types
import typing
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from hypothesis import HealthCheck, Phase, given, seed, settings, strategies

EXAMPLES_VARIABLE = "RAINSAIL_FUZZ_EXAMPLES"
SEED_VARIABLE = "RAINSAIL_FUZZ_SEED"
MIN_LONG, MAX_LONG = -(2**63), 2**63 - 1
NESTING_DEPTH = 100_000
HUGE_NUMBERS = (2**31, 2**63, 2**64, 10**30, -1, -(10**30), 1e308, float("nan"), float("inf"))

Strategy = strategies.SearchStrategy[Any]


def fuzz(examples: int, check: Callable[..., None], *values: Strategy) -> int:
    """Call ``check`` with generated values; return the number of calls."""
    calls = 0

    def counted(drawn: tuple[Any, ...]) -> None:
        nonlocal calls
        calls += 1
        check(*drawn)

    drawn_seed = os.environ.get(SEED_VARIABLE)
    chosen = settings(
        derandomize=drawn_seed is None,
        max_examples=examples * int(os.environ.get(EXAMPLES_VARIABLE, "1")),
        deadline=None,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    test = chosen(given(strategies.tuples(*values))(counted))
    if drawn_seed is not None:
        test = seed(int(drawn_seed))(test)
    test()
    return calls


def peak_bytes(call: Callable[[], Any]) -> int:
    """Return the peak memory in bytes that a call allocated."""
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# --- JSON -------------------------------------------------------------------------------------

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-5, 5),
    strategies.sampled_from(HUGE_NUMBERS),
    strategies.floats(),
    strategies.text(max_size=12),
    strategies.sampled_from(("", "\ud800", "\x00", "é" * 300, "online", "1e999")),
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=12,
)


def dumped(value: Any) -> bytes:
    """Return JSON as Python writes it, including NaN and lone surrogates."""
    return json.dumps(value).encode()


def changed_tree(tree: Any) -> Strategy:
    """Return copies of a valid tree with one value replaced, dropped, added or repeated."""
    places = list(_places(tree))
    return strategies.builds(
        _changed,
        strategies.just(tree),
        strategies.sampled_from(places),
        strategies.sampled_from(("replace", "replace", "drop", "add", "repeat")),
        JSON,
    )


def _places(tree: Any, path: tuple[Any, ...] = ()) -> Any:
    yield path
    children: Any = ()
    if isinstance(tree, dict | list):
        children = tree.items() if isinstance(tree, dict) else enumerate(tree)
    for key, value in children:
        yield from _places(value, (*path, key))


def _changed(tree: Any, path: tuple[Any, ...], way: str, value: Any) -> Any:
    if not path:
        return value if way == "replace" else tree
    head, rest = path[0], path[1:]
    copy = dict(tree) if isinstance(tree, dict) else list(tree)
    if rest:
        copy[head] = _changed(tree[head], rest, way, value)
    elif way == "replace":
        copy[head] = value
    elif way == "drop":
        del copy[head]
    elif isinstance(copy, dict):
        copy["unheard-of" if way == "add" else head] = value
    else:
        copy += [value] if way == "add" else [copy[head]] * 50
    return copy


def json_documents(tree: Any) -> Strategy:
    """Return bytes: altered valid trees, any JSON, altered bytes, very deep nesting."""
    valid = dumped(tree)
    return strategies.one_of(
        changed_tree(tree).map(dumped),
        JSON.map(dumped),
        altered(valid),
        strategies.binary(max_size=60),
        strategies.sampled_from(
            (
                b"",
                b"null",
                b"[" * NESTING_DEPTH,
                b'{"a":' * NESTING_DEPTH,
                b"9" * 5000,
                b'"\\ud800"',
                b"\xff\xfe{}",
            )
        ),
    )


def altered(data: bytes) -> Strategy:
    """Return copies of ``data``: cut, overwritten, or with a piece doubled, lost or added."""
    place = strategies.integers(0, max(0, len(data) - 1))
    return strategies.builds(
        _alter,
        strategies.just(data),
        place,
        place,
        strategies.integers(0, 4),
        strategies.binary(min_size=1, max_size=9),
    )


def _alter(data: bytes, first: int, second: int, way: int, other: bytes) -> bytes:
    start, end = min(first, second), max(first, second)
    ways = (
        data[:end],
        data[:end] + other + data[end + len(other) :],
        data[:end] + data[start:],
        data[:start] + data[end:],
        data[:end] + other + data[end:],
    )
    return ways[way]


# --- records ----------------------------------------------------------------------------------

EXTREME_LONGS = strategies.one_of(
    strategies.integers(-3, 3), strategies.sampled_from((MIN_LONG, MAX_LONG, 2**31))
)
EXTREME_FLOATS = strategies.one_of(
    strategies.floats(allow_nan=False), strategies.sampled_from((0.0, -1.0, float("inf"), 1e308))
)


def values_of(hint: Any) -> Strategy:
    """Return generated values of a field type that the codec supports."""
    simple: dict[Any, Strategy] = {
        int: EXTREME_LONGS,
        float: EXTREME_FLOATS,
        str: strategies.text(
            alphabet=strategies.characters(exclude_categories=("Cs",)), max_size=6
        ),
        bytes: strategies.binary(max_size=6),
        bool: strategies.booleans(),
        type(None): strategies.none(),
    }
    if hint in simple:
        return simple[hint]
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return strategies.one_of([values_of(member) for member in arguments])
    if origin is tuple:
        return strategies.lists(values_of(arguments[0]), max_size=2).map(tuple)
    if origin is dict:
        return strategies.dictionaries(simple[str], values_of(arguments[1]), max_size=2)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return strategies.sampled_from(list(hint))
    return records_of(hint)


def records_of(cls: Any) -> Strategy:
    """Return generated records of a dataclass."""
    hints = typing.get_type_hints(cls)
    fields = [field.name for field in dataclasses.fields(cls)]
    return strategies.builds(cls, *[values_of(hints[name]) for name in fields])


def zigzag(number: int) -> bytes:
    """Return a non-negative long in the Avro encoding."""
    number *= 2
    parts = []
    while number > 0x7F:
        parts.append(number & 0x7F | 0x80)
        number >>= 7
    return bytes([*parts, number])
