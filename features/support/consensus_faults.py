"""Faults that a consensus group must survive, alone or two at a time on different machines."""

from collections.abc import Callable
from dataclasses import dataclass

from features.support.consensus import SimulatedGroup

from rainsail.consensus.settings import ConsensusSettings
from rainsail.errors import FaultCode
from rainsail.simulation.network import LinkConditions

REPAIR_AFTER_S = 3.0
FAULT_LASTS_S = 1.5
FAULTY_SETTINGS = ConsensusSettings(
    repair_after_s=REPAIR_AFTER_S, snapshot_log_entries=15, retained_entries=3
)
LOSSY = LinkConditions(loss=0.05, duplication=0.05, jitter_s=0.002, ordered=False)
FAST_RATE = 1.05
FULL_DISK_ROOM_BYTES = 64


@dataclass(frozen=True, slots=True)
class GroupFault:
    """A fault at one replica: how to inject it, and how to end it."""

    inject: Callable[[SimulatedGroup, str], object]
    end: Callable[[SimulatedGroup, str], object]


def _start(group: SimulatedGroup, name: str) -> None:
    group.start(name)


def _restart(group: SimulatedGroup, name: str) -> None:
    group.crash(name)
    group.start(name)


def _thaw(group: SimulatedGroup, name: str) -> None:
    group.thaw(name)


def _fail_syncs(group: SimulatedGroup, name: str) -> None:
    group.disks[name].sync_fails = True


def _replace_after_failed_sync(group: SimulatedGroup, name: str) -> None:
    faults = group.running[name].faults
    assert [fault.code for fault in faults] == [FaultCode.STORAGE], f"{name} went on: {faults}"
    group.disks[name].sync_fails = False
    _restart(group, name)


def _fill_disk(group: SimulatedGroup, name: str) -> None:
    disk = group.disks[name]
    disk.capacity_bytes = disk.used_bytes() + FULL_DISK_ROOM_BYTES


def _restart_with_free_space(group: SimulatedGroup, name: str) -> None:
    faults = group.running[name].faults
    assert [fault.code for fault in faults] == [FaultCode.STORAGE], f"{name} went on: {faults}"
    group.disks[name].capacity_bytes = None
    _restart(group, name)


def _lose_disk(group: SimulatedGroup, name: str) -> None:
    group.lose_disk(name)
    group.start(name)


def _flip_bit(group: SimulatedGroup, name: str) -> None:
    group.crash(name)
    disk = group.disks[name]
    path = next(f"group-0/{file}" for file in disk.list("group-0") if file.endswith(".log"))
    disk.flip_bit(path, len(disk.read(path)) // 2)
    group.start(name)


def _replace_damaged(group: SimulatedGroup, name: str) -> None:
    assert group.running[name].faults, f"{name} started on a damaged log"
    _lose_disk(group, name)


def _slow_disk(group: SimulatedGroup, name: str) -> None:
    group.disks[name].sync_latency_s = 0.5


def _fast_disk(group: SimulatedGroup, name: str) -> None:
    group.disks[name].sync_latency_s = 0.002


def _loss(group: SimulatedGroup, name: str) -> None:
    group.network.set_conditions(LOSSY)


def _no_loss(group: SimulatedGroup, name: str) -> None:
    group.network.set_conditions(LinkConditions())


def _restart_with_fast_clock(group: SimulatedGroup, name: str) -> None:
    group.crash(name)
    group.start(name, rate=FAST_RATE)


def _cut_outgoing(group: SimulatedGroup, name: str) -> None:
    for other in group.names:
        if other != name:
            group.network.cut(name, other)


def _nothing(group: SimulatedGroup, name: str) -> None:
    pass


def _rejoin(group: SimulatedGroup, name: str) -> None:
    group.network.rejoin(name)


GROUP_FAULTS: dict[str, GroupFault] = {
    "power cut": GroupFault(lambda group, name: group.crash(name), _start),
    "cut off by dropped packets": GroupFault(
        lambda group, name: group.network.isolate(name), _rejoin
    ),
    "can receive but not send": GroupFault(_cut_outgoing, _rejoin),
    "frozen": GroupFault(lambda group, name: group.freeze(name), _thaw),
    "disk lost": GroupFault(_lose_disk, _nothing),
    "sync fails": GroupFault(_fail_syncs, _replace_after_failed_sync),
    "disk full": GroupFault(_fill_disk, _restart_with_free_space),
    "disk slow": GroupFault(_slow_disk, _fast_disk),
    "bit flipped": GroupFault(_flip_bit, _replace_damaged),
    "network lossy": GroupFault(_loss, _no_loss),
    "clock fast": GroupFault(_restart_with_fast_clock, _restart),
}


def new_group(seed: int, replicas: int = 5) -> SimulatedGroup:
    """Start a group with frequent snapshots and a short repair timeout, and commit 10 numbers."""
    names = [f"replica-{number}" for number in range(1, replicas + 1)]
    group = SimulatedGroup(names, seed, FAULTY_SETTINGS)
    group.commit(10)
    return group


def survive(group: SimulatedGroup, faults: list[tuple[str, bool]]) -> None:
    """Inject faults (name, at the leader or not) in sequence, commit, end them, and check."""
    injected: list[tuple[str, str]] = []
    for name, at_leader in faults:
        victim = _victim(group, at_leader, [replica for _, replica in injected])
        GROUP_FAULTS[name].inject(group, victim)
        injected.append((name, victim))
        group.commit(3)
    group.run_for(FAULT_LASTS_S)
    group.commit(3)
    for name, victim in injected:
        GROUP_FAULTS[name].end(group, victim)
    group.commit(3)
    check_converged(group)


def _victim(group: SimulatedGroup, at_leader: bool, injected: list[str]) -> str:
    leader = group.leader()
    if at_leader and leader not in injected:
        return leader
    return next(name for name in group.names if name not in injected and name != leader)


def check_converged(group: SimulatedGroup) -> None:
    """Check that replicas are equal, hold all acknowledged numbers, and leases didn't overlap."""
    group.run_until(lambda: _all_equal(group), "all replicas complete and equal", 120.0)
    assert group.most_leaders <= 1, f"{group.most_leaders} leaders at one moment"
    for name in group.names:
        assert group.holds_acknowledged(name), f"{name} lacks acknowledged numbers"


def _all_equal(group: SimulatedGroup) -> bool:
    members = [group.running.get(name) for name in group.names]
    if any(member is None or member.driver is None for member in members):
        return False
    first = members[0].state.numbers
    return bool(first) and all(member.state.numbers == first for member in members)
