"""The software versions of runners, as messages between nodes and as a table.

The versions travel apart from ``RunnerRecord``, whose schema nodes of all versions share. A
controller sends them ahead of the records, on the same connection, to the nodes that know them
(``wire.extensions``).

A runner may start again under its id at another version, while streams that its former incarnation
began are still to be resumed. So the versions of former incarnations are kept for a while too, and
travel ahead of the latest one: a node that starts after the change learns them like the others.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord
from rainsail.wire.codec import encode, wire_record
from rainsail.wire.names import wire_type

NO_VERSION = ""
"""The version of a runner that has stated none, or none that this node has learned."""
FORMER_VERSION_TTL_S = 600.0
"""For this long the version of a former incarnation may have begun a running stream."""
MAX_BIRTHS = 16
"""Incarnations of one runner that are remembered as ones whose version was known."""
MAX_FORMER_VERSIONS = 4
"""Versions of former incarnations of one runner that are remembered, the latest ones."""


@wire_type("RunnerVersion")
@dataclass(frozen=True, slots=True)
class RunnerVersion:
    """The software version of one incarnation of a runner (``born`` as in its record)."""

    runner: str
    born: int
    version: str


@wire_record("RunnerVersionPage")
@dataclass(frozen=True, slots=True)
class RunnerVersionPage:
    """The versions of several runners."""

    versions: tuple[RunnerVersion, ...]


@wire_record("RunnerVersions")
@dataclass(frozen=True, slots=True)
class RunnerVersions:
    """One-way, from a controller to a node, ahead of the records of these runners.

    ``page`` is an encoded ``RunnerVersionPage``; it is encoded once for the many nodes that get the
    same page.
    """

    page: bytes


def encode_versions(versions: tuple[RunnerVersion, ...]) -> bytes:
    """Return an encoded page; empty if there are no versions."""
    return encode(RunnerVersionPage(versions)) if versions else b""


class RunnerVersionTable:
    """The version of the latest known incarnation of each runner, and those of former ones."""

    def __init__(self, seconds: Callable[[], float] = lambda: 0.0) -> None:
        """``seconds`` reads the monotonic clock."""
        self.revision = 0
        """Increases with each change."""
        self._seconds = seconds
        self._versions: dict[str, RunnerVersion] = {}
        self._former: dict[str, dict[str, tuple[RunnerVersion, float]]] = {}
        """By runner and version, each with the time at which this node learned that it is over."""
        self._births: dict[str, dict[int, None]] = {}
        """The incarnations of each runner of which a version was known, the latest ones."""

    def take(self, version: RunnerVersion) -> bool:
        """Record a version; return whether it is a new one of the latest known incarnation."""
        known = self._versions.get(version.runner)
        if known == version:
            return False
        births = self._births.setdefault(version.runner, {})
        births[version.born] = None
        if len(births) > MAX_BIRTHS:
            del births[next(iter(births))]
        if known is not None and known.born > version.born:
            self._note_former(version)
            return False
        if known is not None:
            self._note_former(known)
        self._versions[version.runner] = version
        self.revision += 1
        return True

    def note_replaced(self, record: RunnerRecord) -> None:
        """Note that an incarnation is over, of which no version may be known here."""
        if record.born not in self._births.get(record.runner, {}):
            self._note_former(RunnerVersion(record.runner, record.born, NO_VERSION))

    def _note_former(self, version: RunnerVersion) -> None:
        former = self._former.setdefault(version.runner, {})
        listed = former.pop(version.version, None)
        if listed is not None and listed[0].born >= version.born:
            former[version.version] = listed
            return
        former[version.version] = version, self._seconds()
        if len(former) > MAX_FORMER_VERSIONS:
            del former[next(iter(former))]
        self.revision += 1

    def of(self, record: RunnerRecord) -> str:
        """Return the version of an incarnation, ``NO_VERSION`` if it is not known."""
        known = self._versions.get(record.runner)
        return known.version if known is not None and known.born == record.born else NO_VERSION

    def may_have_begun(self, record: RunnerRecord) -> frozenset[str]:
        """Return the versions at which a runner may have begun a stream that still runs."""
        return frozenset({self.of(record), *(each.version for each in self._lately(record.runner))})

    def _lately(self, runner: str) -> list[RunnerVersion]:
        """Return the versions of former incarnations, the earliest first."""
        former = self._former.get(runner)
        if not former:
            return []
        now = self._seconds()
        for name in [key for key, (_, at_s) in former.items() if now - at_s > FORMER_VERSION_TTL_S]:
            del former[name]
        if not former:
            del self._former[runner]
        return sorted((each for each, _ in former.values()), key=lambda each: each.born)

    def all(self) -> tuple[RunnerVersion, ...]:
        """Return all versions, those of a runner's former incarnations first."""
        return tuple(
            each
            for runner, version in self._versions.items()
            for each in (*self._lately(runner), version)
        )

    def of_all(self, records: Iterable[RunnerRecord]) -> tuple[RunnerVersion, ...]:
        """Return the known versions of runners, those of former incarnations first."""
        return tuple(
            each
            for record in records
            if (version := self._versions.get(record.runner)) is not None
            for each in (*self._lately(record.runner), version)
        )

    def forget(self, runner: str) -> None:
        """Drop a runner that the registry no longer remembers."""
        self._versions.pop(runner, None)
        self._former.pop(runner, None)
        self._births.pop(runner, None)
