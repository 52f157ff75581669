"""A replicated group on a simulated clock, network and disks, for the consensus features."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from features.support.storage import SCHEMAS

from rainsail.consensus.core_state import Role
from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.group_status import GroupStatusReply
from rainsail.consensus.member_dependencies import GroupMember, MemberDependencies
from rainsail.consensus.router import GroupRouter
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.errors import Fault
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.network import SimulatedNetwork, SimulatedTransport
from rainsail.state.commands import Command, CommandOutcome, Done, MarkInForce, encode_command
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.identity import load_or_create_identity
from rainsail.storage.settings import StorageSettings
from rainsail.wire.messenger import Messenger

GROUP = 0
FLEET = "test"
RUN_LIMIT_S = 60.0
ANSWER_LIMIT_S = 5.0
"""A client retries after this long, since a paused process never answers."""
ANSWER_POLL_S = 0.01


class RecordingState:
    """A state machine that records the numbers it is given, in order."""

    def __init__(self, numbers_per_chunk: int = 10) -> None:
        self.numbers: list[int] = []
        self._per_chunk = numbers_per_chunk

    def apply(self, index: int, command: Command) -> CommandOutcome:
        """Append the number of a MarkInForce command."""
        if isinstance(command, MarkInForce):
            self.numbers.append(command.revision)
        return Done()

    def snapshot(self) -> Iterator[bytes]:
        """Return the numbers at the time of the call, ``numbers_per_chunk`` per chunk."""
        numbers = list(self.numbers)
        firsts = range(0, len(numbers), self._per_chunk)
        parts = (numbers[first : first + self._per_chunk] for first in firsts)
        return (",".join(map(str, part)).encode() for part in parts)

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the numbers by those of a snapshot."""
        self.numbers = [int(number) for chunk in chunks for number in chunk.split(b",")]


@dataclass
class RunningMember:
    """One replica's process."""

    clock: SkewedClock
    transport: SimulatedTransport
    state: RecordingState
    driver: GroupDriver | None = None
    faults: list[Fault] = field(default_factory=list)
    """Why the member could not start, or had to stop."""
    leadership: list[bool] = field(default_factory=list)


class SimulatedGroup:
    """Replicas of one group over a simulated network and simulated disks."""

    def __init__(
        self,
        names: list[str],
        seed: int = 0,
        settings: ConsensusSettings | None = None,
        numbers_per_chunk: int = 10,
    ) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.network = SimulatedNetwork(self.clock, random.Random(self.random.random()))
        self.settings = settings if settings is not None else ConsensusSettings()
        self.names = names
        self.fleet = FLEET
        self.numbers_per_chunk = numbers_per_chunk
        self.most_leaders = 0
        self.disks: dict[str, SimulatedDisk] = {}
        self.running: dict[str, RunningMember] = {}
        self.acknowledged: list[int] = []
        self.next_number = 1
        for name in names:
            self.start(name)

    # --- processes -----------------------------------------------------------------------

    def start(self, name: str, rate: float = 1.0) -> None:
        """Start a replica's process on its disk."""
        clock = SkewedClock(self.clock, rate)
        if name not in self.disks:
            self.disks[name] = SimulatedDisk(self.clock, random.Random(self.random.random()))
        transport = self.network.transport(name)
        member = RunningMember(clock, transport, RecordingState(self.numbers_per_chunk))
        self.running[name] = member
        generator = random.Random(self.random.random())
        identity = load_or_create_identity(self.disks[name], self.fleet, name, SCHEMAS, generator)
        identity.addCallback(self._open, name, member, generator)

    def _open(self, identity: Any, name: str, member: RunningMember, generator: Any) -> None:
        if identity.is_error():
            member.faults.append(identity.error)
            return
        opened = open_group_storage(self.disks[name], GROUP, StorageSettings())
        opened.addCallback(self._opened, name, member, identity.ok, generator)

    def _opened(
        self, storage: Any, name: str, member: RunningMember, identity: Any, generator: Any
    ) -> None:
        if storage.is_error():
            member.faults.append(storage.error)
            return
        self._run(name, member, identity, storage.ok, generator)

    def _run(
        self, name: str, member: RunningMember, identity: Any, storage: Any, generator: Any
    ) -> None:
        if self.running.get(name) is not member:
            return
        router = GroupRouter(Messenger(member.transport, member.clock), member.clock)
        dependencies = MemberDependencies(
            storage, member.state, router, member.clock, generator, encode_command
        )
        which = GroupMember(GROUP, name, identity, tuple(self.names))
        member.driver = GroupDriver(which, dependencies, self.settings)
        member.driver.on_fatal(member.faults.append)
        member.driver.on_leadership(member.leadership.append)
        member.driver.start()

    def crash(self, name: str) -> None:
        """Cut the power of a replica's machine."""
        member = self.running.pop(name)
        member.clock.stop()
        member.transport.close()
        self.disks[name].crash()

    def lose_disk(self, name: str) -> None:
        """Crash a replica and lose its disk."""
        self.crash(name)
        self.disks[name].wipe()

    def freeze(self, name: str) -> None:
        """Pause a replica's process."""
        self.running[name].clock.freeze()
        self.network.freeze(name)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self.running[name].clock.thaw()
        self.network.thaw(name)

    # --- inspection ----------------------------------------------------------------------

    def driver(self, name: str) -> GroupDriver:
        """Return a running replica's driver."""
        driver = self.running[name].driver
        assert driver is not None, f"{name} is not open yet"
        return driver

    def leaders(self) -> list[str]:
        """Return all replicas that lead under a lease now."""
        running = ((name, member.driver) for name, member in self.running.items())
        return [name for name, driver in running if driver is not None and driver.is_leader()]

    def leader(self) -> str:
        """Return the one leader; runs until there is one."""
        self.run_until(lambda: len(self.leaders()) > 0, "a leader")
        found = self.leaders()
        assert len(found) == 1, f"leaders: {found}"
        return found[0]

    def run_until(
        self, condition: Callable[[], bool], what: str, limit_s: float = RUN_LIMIT_S
    ) -> None:
        """Run the simulation until a condition holds."""
        deadline_s = self.clock.seconds() + limit_s
        while not condition():
            moved = self.clock.run_next(deadline_s)
            self.most_leaders = max(self.most_leaders, len(self.leaders()))
            if not moved:
                raise AssertionError(f"not reached within {limit_s:g} virtual seconds: {what}")

    def run_for(self, seconds: float) -> None:
        """Run the simulation for a number of virtual seconds."""
        until_s = self.clock.seconds() + seconds
        while self.clock.run_next(until_s):
            self.most_leaders = max(self.most_leaders, len(self.leaders()))
        self.clock.run_until(until_s)

    def followers(self) -> list[str]:
        """Return the running replicas that don't lead, in name order."""
        leader = self.leader()
        return [name for name in self.names if name in self.running and name != leader]

    def status(self) -> GroupStatusReply:
        """Return the leader's view of the group."""
        return self.driver(self.leader()).status()

    def identity(self, name: str) -> str:
        """Return the identity of a running replica."""
        return self.driver(name).core.state.identity

    def believes_to_lead(self, name: str) -> bool:
        """Tell whether a replica's core is in the leader role, with or without a lease."""
        return self.driver(name).core.state.role == Role.LEADER

    # --- commands ------------------------------------------------------------------------

    def commit(self, count: int = 1) -> None:
        """Commit numbers through the current leader, retrying each until acknowledged."""
        for _ in range(count):
            number = self.next_number
            self.next_number += 1
            self.run_until(lambda number=number: self.try_commit(number), f"commit of {number}")

    def try_commit(self, number: int) -> bool:
        """Propose a number once if there is a leader; returns whether it was acknowledged."""
        leaders = self.leaders()
        if not leaders:
            return False
        results: list[Any] = []
        self.driver(leaders[0]).propose(MarkInForce(number)).addCallback(results.append)
        give_up_s = self.clock.seconds() + ANSWER_LIMIT_S
        while not results and self.clock.seconds() < give_up_s:
            self.run_for(ANSWER_POLL_S)
        acknowledged = bool(results) and results[0].is_ok()
        if acknowledged:
            self.acknowledged.append(number)
        return acknowledged

    def propose(self, name: str, number: int) -> list[Any]:
        """Propose at one replica; the result is appended to the returned list."""
        results: list[Any] = []
        self.driver(name).propose(MarkInForce(number)).addCallback(results.append)
        return results

    def read(self, name: str) -> list[Any]:
        """Request a read barrier at one replica; the result is appended to the returned list."""
        results: list[Any] = []
        self.driver(name).read_barrier().addCallback(results.append)
        return results

    def holds_acknowledged(self, name: str) -> bool:
        """Tell whether a replica has applied every acknowledged number, in order."""
        applied = iter(self.running[name].state.numbers)
        return all(number in applied for number in self.acknowledged)


def watch_chunks(
    group: SimulatedGroup,
    name: str,
    arrives: Callable[[SnapshotTransferPart], bool] = lambda chunk: True,
) -> list[SnapshotTransferPart]:
    """Return a list to which every snapshot chunk that arrives at a replica is appended.

    ``arrives`` is called with each chunk first; the chunk is dropped when it returns False.
    """
    transport = group.running[name].transport
    deliver = transport._deliver
    chunks: list[SnapshotTransferPart] = []

    def watch(source: str, envelope: Any) -> None:
        if isinstance(envelope.message, SnapshotTransferPart):
            if not arrives(envelope.message):
                return
            chunks.append(envelope.message)
        deliver(source, envelope)

    transport.listen(watch)
    return chunks
