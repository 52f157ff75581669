"""Replicas on the virtual clock for the checks of the benches: what a follower sees."""

import random
from collections.abc import Callable

from rainsail.batch.intake import JobIntake
from rainsail.batch.settings import BatchSettings
from rainsail.benchmarks.ledger_commands import DEADLINE_UNIX_S, SERVICE, item_body
from rainsail.benchmarks.virtual_replicas import VirtualReplicas
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import PutResource

AT_ONCE = 100
TENANTS = 1_000
"""Different tenants that the changes go to."""


class FollowerWatch:
    """The longest time that each follower heard nothing of its leader, in virtual seconds."""

    def __init__(self, replicas: VirtualReplicas) -> None:
        self._replicas = replicas
        self._heard_s: dict[str, float] = {}
        self.longest_s: dict[str, float] = {}

    def look(self) -> None:
        """Note who has heard its leader since the last look."""
        leader = self._replicas.leader()
        now_s = self._replicas.clock.seconds()
        for name in self._replicas.names:
            if name == leader:
                continue
            heard_s = group_of(self._replicas, name).core.state.heard_leader_at_s
            last_s = self._heard_s.setdefault(name, heard_s)
            silent_s = max(heard_s - last_s, now_s - heard_s)
            self.longest_s[name] = max(self.longest_s.get(name, 0.0), silent_s)
            self._heard_s[name] = heard_s


def group_of(replicas: VirtualReplicas, name: str):
    """Return a running replica's member of the group."""
    return replicas.replicas[name].node.group


def watched(condition: Callable[[], bool], look: Callable[[], None]) -> Callable[[], bool]:
    """Return the condition, looking at the followers each time."""

    def check() -> bool:
        look()
        return condition()

    return check


def take_in(replicas: VirtualReplicas, items: int, watch: FollowerWatch):
    """Submit one job through the product's intake; return its view."""

    settings = BatchSettings.model_validate({})
    client = replicas.client("client")
    intake = JobIntake(client, replicas.clock, random.Random(1), settings, lambda: 0.0)
    bodies = tuple(item_body(index) for index in range(items))
    answers = []
    intake.submit("north", "large", SERVICE, bodies, DEADLINE_UNIX_S).addCallback(answers.append)
    replicas.run_until(watched(lambda: bool(answers), watch.look), "the job's acceptance", 600.0)
    return answers[0]


def tenant_change(number: int) -> PutResource:
    """Return the change of a number: another rate for one of the tenants."""
    key = ResourceKey(Kind.TENANT, f"tenant-{number % TENANTS}")
    return PutResource(f"change-{number}", key, TenantSpec(1000.0 + number, 5000.0))


def commit_changes(replicas: VirtualReplicas, count: int) -> None:
    """Commit changes at the leader."""
    group = group_of(replicas, replicas.leader())
    for first in range(0, count, AT_ONCE):
        answers = []
        for number in range(first, first + AT_ONCE):
            group.propose(tenant_change(number)).addCallback(answers.append)
        replicas.run_until(lambda answers=answers: len(answers) == AT_ONCE, "commits")
        assert all(answer.is_ok() for answer in answers)


def follow_again(replicas: VirtualReplicas, name: str) -> list[int]:
    """Start a replica; return each applied index it stood at until it follows."""
    target = replicas.applied_index(replicas.leader())
    steps = [0]
    replicas.replicas[name].start()

    def look() -> None:
        applied = replicas.applied_index(name)
        if applied != steps[-1]:
            steps.append(applied)

    replicas.run_until(watched(lambda: steps[-1] >= target, look), f"{name} follows")
    return steps
