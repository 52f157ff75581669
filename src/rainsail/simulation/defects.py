"""Known-bad variants: each breaks one mechanism, and a checker has to notice.

A variant replaces one function of the product for the length of a run; nothing in the product
knows of it. ``rainsail defects`` lists them, ``rainsail simulate --defect NAME`` runs with one.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Patch:
    """Replace ``owner.attribute`` by ``make(original)``."""

    owner: Any
    attribute: str
    make: Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class Defect:
    """A known-bad variant and the checker that is meant to notice it."""

    name: str
    checker: str
    description: str
    patches: Callable[[], tuple[Patch, ...]]


DEFECTS: dict[str, Defect] = {}


@contextmanager
def applied_defect(name: str) -> Iterator[None]:
    """Run the block with a known-bad variant in place (none for an empty name)."""
    patches = DEFECTS[name].patches() if name else ()
    originals = [getattr(patch.owner, patch.attribute) for patch in patches]
    for patch, original in zip(patches, originals, strict=True):
        setattr(patch.owner, patch.attribute, patch.make(original))
    try:
        yield
    finally:
        for patch, original in zip(patches, originals, strict=True):
            setattr(patch.owner, patch.attribute, original)
