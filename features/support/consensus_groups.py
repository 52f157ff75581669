"""Many groups on the same replicas: one disk, one transport and one router for each replica."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from features.support.consensus import FLEET, RecordingState
from features.support.storage import SCHEMAS
from features.support.virtual_time import wait_until

from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.member_dependencies import GroupMember, MemberDependencies
from rainsail.consensus.router import GroupRouter
from rainsail.consensus.settings import ConsensusSettings
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.network import SimulatedNetwork, SimulatedTransport
from rainsail.state.commands import MarkInForce, encode_command
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.identity import load_or_create_identity
from rainsail.storage.settings import StorageSettings
from rainsail.wire.messenger import Messenger

LIMIT_S = 60.0


@dataclass
class GroupsProcess:
    """One replica's process with a member of every group."""

    clock: SkewedClock
    transport: SimulatedTransport
    router: GroupRouter
    drivers: dict[int, GroupDriver] = field(default_factory=dict)
    states: dict[int, RecordingState] = field(default_factory=dict)


class SharedGroups:
    """Groups 0 to N-1, all of them on replicas r1 to rM."""

    def __init__(self, groups: int, replicas: int) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(3)
        self.network = SimulatedNetwork(self.clock, random.Random(4))
        self.groups = list(range(groups))
        self.names = [f"r{number}" for number in range(1, replicas + 1)]
        self.processes: dict[str, GroupsProcess] = {}
        self.committed: dict[int, list[int]] = {group: [] for group in self.groups}
        self.disks = {name: SimulatedDisk(self.clock, random.Random(name)) for name in self.names}
        for name in self.names:
            self.start(name)
        self.run_until(lambda: all(self.leader(group) for group in self.groups))

    def start(self, name: str) -> None:
        """Start a replica's process with every group."""
        clock = SkewedClock(self.clock)
        transport = self.network.transport(name)
        messenger = Messenger(transport, clock)
        process = GroupsProcess(clock, transport, GroupRouter(messenger, clock))
        self.processes[name] = process
        made = load_or_create_identity(self.disks[name], FLEET, name, SCHEMAS, random.Random(name))
        made.addCallback(lambda identity: self._open(name, process, identity.ok))

    def _open(self, name, process, identity) -> None:
        for group in self.groups:
            opened = open_group_storage(self.disks[name], group, StorageSettings())
            opened.addCallback(self._opened, name, group, process, identity)

    def _opened(self, storage, name, group, process, identity) -> None:
        state = process.states[group] = RecordingState()
        dependencies = MemberDependencies(
            storage.ok,
            state,
            process.router,
            process.clock,
            random.Random(f"{name}/{group}"),
            encode_command,
        )
        member = GroupMember(group, name, identity, tuple(self.names))
        driver = process.drivers[group] = GroupDriver(member, dependencies, ConsensusSettings())
        driver.start()

    def crash(self, name: str) -> None:
        """Cut a machine's power."""
        process = self.processes.pop(name)
        process.clock.stop()
        process.transport.close()
        self.disks[name].crash()

    def leader(self, group: int) -> str:
        """Return the name of a group's leader, or an empty string."""
        for name, process in self.processes.items():
            driver = process.drivers.get(group)
            if driver is not None and driver.is_leader():
                return name
        return ""

    def driver(self, group: int) -> GroupDriver:
        """Return the leader's member of a group; runs until there is one."""
        self.run_until(lambda: bool(self.leader(group)))
        return self.processes[self.leader(group)].drivers[group]

    def commit(self, group: int, number: int) -> None:
        """Commit a number in one group."""
        answers: list = []
        self.driver(group).propose(MarkInForce(number)).addCallback(answers.append)
        self.run_until(lambda: bool(answers))
        assert answers[0].is_ok(), answers
        self.committed[group].append(number)

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Run virtual time until a condition holds."""
        wait_until(self.clock, condition, LIMIT_S)
