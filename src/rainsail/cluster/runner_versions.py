"""The software versions of runners, as messages between nodes and as a table.

The versions travel apart from ``RunnerRecord``, whose schema nodes of all versions share. A
controller sends them ahead of the records, on the same connection, to the nodes that know them
(``wire.extensions``).
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord
from rainsail.wire.codec import encode, wire_record
from rainsail.wire.names import wire_type

NO_VERSION = ""
"""The version of a runner that has stated none, or none that this node has learned."""


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
    """The version of the latest known incarnation of each runner."""

    def __init__(self) -> None:
        self.revision = 0
        """Increases with each change."""
        self._versions: dict[str, RunnerVersion] = {}

    def take(self, version: RunnerVersion) -> bool:
        """Record a version unless a later incarnation is known; return whether it is new."""
        known = self._versions.get(version.runner)
        if known is not None and (known.born > version.born or known == version):
            return False
        self._versions[version.runner] = version
        self.revision += 1
        return True

    def of(self, record: RunnerRecord) -> str:
        """Return the version of an incarnation, ``NO_VERSION`` if it is not known."""
        known = self._versions.get(record.runner)
        return known.version if known is not None and known.born == record.born else NO_VERSION

    def all(self) -> tuple[RunnerVersion, ...]:
        """Return all versions."""
        return tuple(self._versions.values())

    def of_all(self, records: Iterable[RunnerRecord]) -> tuple[RunnerVersion, ...]:
        """Return the known versions of incarnations."""
        versions = (self._versions.get(record.runner) for record in records)
        return tuple(version for version in versions if version is not None)

    def forget(self, runner: str) -> None:
        """Drop a runner that the registry no longer remembers."""
        self._versions.pop(runner, None)
