"""Random schedules: the choice of the next step, and planned crashes and link cuts."""

import random as random_module
from collections.abc import Callable

from rainsail.consensus.membership import Membership
from rainsail.consensus.model_links import SlowLinks
from rainsail.consensus.model_member import ModelMember
from rainsail.consensus.model_start import new_world
from rainsail.consensus.model_weights import WEIGHT_PROFILES
from rainsail.consensus.model_world import InFlight

MAX_IN_FLIGHT = 60
STEPS_PER_SCHEDULE = 1_000


CRASH_DELAY_STEPS = 25
SYNC_WHEN_IDLE_PROBABILITY = 0.8
SECOND_CRASH_PROBABILITY = 0.3
SLOW_LINK_STEPS = 150


class Schedule:
    """One random run of a group."""

    def __init__(self, seed: int) -> None:
        self._random = random_module.Random(f"schedule {seed}")
        weights = self._random.choice(WEIGHT_PROFILES)
        self._weights = weights
        self.world = new_world(self._random, self._random.choice(weights.sizes))
        self._world = self.world
        self._steps: list[tuple[float, Callable[[], object]]] = []
        total = 0.0
        for weight, step in (
            (weights.deliver, self._deliver),
            (weights.sync, self._sync),
            (weights.advance_time, self._advance_time),
            (weights.client, self._client),
            (weights.crash, self._crash_any),
            (weights.restart, self._start_any),
            (weights.lose_disk, self._lose_disk),
            (weights.cut, self._cut_or_heal_links),
            (weights.manage, self._manage),
            (weights.slow_link, self._slow_link),
            (weights.lose_two_disks, self._lose_two_disks),
        ):
            total += weight
            self._steps.append((total, step))
        self._total = total
        self._crash_in: int | None = None
        self._cut_in: int | None = None
        self._slow_links = SlowLinks()

    def run(self, steps: int = STEPS_PER_SCHEDULE) -> None:
        """Take steps; raises ``PropertyViolation`` when a property does not hold."""
        for _ in range(steps):
            self._world.coverage.steps += 1
            drawn = self._random.random() * self._total
            elections = self._world.coverage.elections
            commits = self._world.coverage.commits
            changes = self._world.coverage.membership_changes
            for limit, step in self._steps:
                if drawn < limit:
                    step()
                    break
            if self._world.coverage.elections > elections:
                self._plan_crash(self._weights.crash_after_election)
                self._plan_cut(self._weights.cut_after_election)
            if self._world.coverage.commits > commits:
                self._plan_crash(self._weights.crash_after_commit)
            if self._world.coverage.membership_changes > changes:
                self._plan_crash(self._weights.crash_in_change)
            self._crash_when_planned()
            self._cut_when_planned()

    def _plan_crash(self, chance: float) -> None:
        if self._crash_in is None and self._random.random() < chance:
            self._crash_in = self._delay()

    def _plan_cut(self, chance: float) -> None:
        if self._random.random() < chance:
            self._cut_in = self._delay()

    def _delay(self) -> int:
        soon = self._random.random() < 0.5
        return self._random.randint(1, 4 if soon else CRASH_DELAY_STEPS)

    def _cut_when_planned(self) -> None:
        """Isolate the leader of the latest term, and end all earlier cuts."""
        if self._cut_in is None:
            return
        self._cut_in -= 1
        if self._cut_in > 0:
            return
        self._cut_in = None
        self._world.cuts.clear()
        leader = self._latest_leader()
        if leader is not None:
            self._world.isolate(leader.name)
            self._world.lose_sent_by(leader.name)

    def _latest_leader(self) -> ModelMember | None:
        leaders = self._leaders()
        return max(leaders, key=lambda member: member.term()) if leaders else None

    def _crash_when_planned(self) -> None:
        """Crash a leader, sometimes together with another member."""
        if self._crash_in is None:
            return
        self._crash_in -= 1
        if self._crash_in > 0:
            return
        self._crash_in = None
        leader = self._any_leader()
        if leader is not None:
            self._crash(leader)
        other = self._any_running()
        if other is not None and self._random.random() < SECOND_CRASH_PROBABILITY:
            self._crash(other)

    def _any_running(self) -> ModelMember | None:
        running = self._world.running()
        return self._random.choice(running) if running else None

    def _leaders(self) -> list[ModelMember]:
        return [member for member in self._world.running() if member.leads()]

    def _any_leader(self) -> ModelMember | None:
        leaders = self._leaders()
        return self._random.choice(leaders) if leaders else None

    # --- steps ---------------------------------------------------------------------------

    def _deliver(self) -> None:
        in_flight = self._world.in_flight
        if not in_flight:
            if self._random.random() < SYNC_WHEN_IDLE_PROBABILITY and self._sync():
                return
            self._advance_time()
            return
        while len(in_flight) > MAX_IN_FLIGHT:
            self._take(self._random.randrange(len(in_flight)))
        in_order = self._random.random() < 0.75
        position = self._random.randrange(len(in_flight))
        if in_order:
            position = self._slow_links.first_ready(in_flight, self._world.coverage.steps)
        message = self._take(position)
        drawn = self._random.random()
        if drawn < self._weights.loss:
            return
        if drawn > 1 - self._weights.duplication:
            in_flight.append(message)
        self._world.deliver(message)

    def _slow_link(self) -> None:
        """Hold back messages from one member to another for some steps."""
        source, target = self._random.sample(list(self._world.members), 2)
        until = self._world.coverage.steps + self._random.randint(10, SLOW_LINK_STEPS)
        self._slow_links.hold(source, target, until)

    def _take(self, position: int) -> InFlight:
        return self._world.in_flight.pop(position)

    def _sync(self) -> bool:
        waiting = [m for m in self._world.running() if m.writes or m.install is not None]
        if not waiting:
            return False
        member = self._random.choice(waiting)
        if member.install is not None and not member.writes:
            self._world.finish_install(member)
        else:
            self._world.sync(member)
        return True

    def _advance_time(self) -> None:
        world = self._world
        running = world.running()
        if not running:
            world.time_s += 0.1
            return
        due = []
        for member in running:
            assert member.core is not None
            due.append((member.real_time(member.core.next_wakeup_s()), member.name))
        due_s, name = min(due)
        if self._random.random() < 0.2:
            world.time_s += self._random.random() * 0.3
            return
        world.time_s = max(world.time_s, due_s) + 1e-6
        world.tick(world.members[name])

    def _client(self) -> None:
        leader = self._any_leader()
        if leader is None:
            return
        if self._random.random() < 0.7:
            self._world.propose(leader)
        else:
            self._world.read(leader)

    def _start_any(self) -> None:
        down = [member for member in self._world.members.values() if member.core is None]
        if down:
            self._random.choice(down).start(self._world.time_s)

    def _crash_any(self) -> None:
        member = self._any_running()
        if member is not None:
            self._crash(member)

    def _crash(self, member: ModelMember) -> None:
        """Crash a member; its sent messages are lost with its connections or arrive late."""
        self._world.coverage.crashes_in_change += self._world.in_change()
        member.crash()
        if self._random.random() < 0.5:
            self._world.lose_sent_by(member.name)
        self._world.coverage.crashes += 1

    def _lose_disk(self) -> None:
        """Lose a disk, but only while a majority of the disks keeps the group's state."""
        members = list(self._world.members.values())
        whole = [member for member in members if not member.disk.is_blank()]
        member = self._random.choice(members)
        others = [other for other in whole if other is not member]
        if len(others) <= len(members) // 2:
            return
        member.lose_disk()
        self._world.coverage.disk_losses += 1
        blank = [other for other in members if other.disk.is_blank()]
        self._world.coverage.two_disks_away += len(blank) > 1
        if self._random.random() < 0.7:
            member.start(self._world.time_s)

    def _lose_two_disks(self) -> None:
        """Lose two disks within a few steps."""
        self._lose_disk()
        for _ in range(self._random.randint(0, CRASH_DELAY_STEPS)):
            self._deliver()
        self._lose_disk()

    def _cut_or_heal_links(self) -> None:
        world = self._world
        names = list(world.members)
        if world.cuts and self._random.random() < 0.6:
            world.cuts.clear()
            return
        leader = self._any_leader()
        alone = leader.name if leader is not None else self._random.choice(names)
        others = [name for name in names if name != alone]
        drawn = self._random.random()
        if drawn < 0.3:
            source, target = self._random.sample(names, 2)
            world.cuts[(source, target)] = None
            return
        if drawn < 0.7:
            others = [self._random.choice(others)]
        for name in others:
            world.cuts[(alone, name)] = None
            world.cuts[(name, alone)] = None

    def _manage(self) -> None:
        leader = self._any_leader()
        if leader is None:
            return
        drawn = self._random.random()
        if drawn < 0.35:
            self._world.take_snapshot(leader)
        elif drawn < 0.5:
            member = self._any_running()
            if member is not None:
                self._world.take_snapshot(member)
        elif drawn < 0.7:
            self._world.transfer(leader)
        else:
            self._change_membership(leader)

    def _change_membership(self, leader: ModelMember) -> None:
        assert leader.core is not None
        membership = leader.core.state.membership
        change = self._any_change(membership)
        if change is not None:
            self._world.change_membership(leader, change)

    def _any_change(self, membership: Membership) -> Membership | None:
        learners = [member for member in membership.members if not member.voter]
        if learners:
            return membership.promoted(self._random.choice(learners).identity)
        missing = [
            member
            for member in self._world.members.values()
            if membership.find(member.disk.identity) is None
        ]
        if missing and self._random.random() < 0.6:
            member = self._random.choice(missing)
            return membership.with_learner(member.name, member.disk.identity)
        if len(membership.voters()) > 2:
            return membership.without(self._random.choice(membership.voters()).identity)
        return None
