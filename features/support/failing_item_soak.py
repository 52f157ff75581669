"""Items that fail and sound ones, while storage nodes are killed, frozen and cut off at random."""

import random
from typing import Any

from features.support.failing_items import KEPT_S, Answer, FailingItems

from rainsail.routing.messages import OnlineUse, RunnerUse

JOBS = 3
ITEMS_OF_JOB = 8
JOB_EVERY_S = 6.0
STRIKE_EVERY_S = (1.5, 6.0)
FROZEN_S = (0.3, 5.0)
CUT_OFF_S = (0.5, 4.0)
STRIKE_AT_ANSWER = 0.04
ONLINE_EVERY_S = 4.0
SLOTS = 8
SETTLE_S = 30.0
ALWAYS = {
    "failing": (Answer.FAILED,),
    "breaking": (Answer.FAILED_BROKEN_OFF,),
    "mixed": (Answer.FAILED, Answer.FAILED_BROKEN_OFF),
    "impossible": (Answer.IMPOSSIBLE,),
    "impossible-breaking": (Answer.IMPOSSIBLE_BROKEN_OFF,),
}
"""The answers of items that fail at every run, by kind."""
TROUBLE = (Answer.LOST, Answer.NOT_RUN, Answer.UNREACHED, Answer.EVENTS_BROKEN_OFF, Answer.SILENT)
TROUBLE_SHARE = 0.3
"""Share of the runs of a sound item that end without an answer of 500 or its whole text."""
SOUND = "sound"
UNKNOWN_RUNS = 2
"""Unanswered runs of lost leaders for which an item may be held: with the one that the leader may
have sent that accepted the job, three answers of 422 may have been given."""


class FailingItemSoak:
    """Plays one seed; ``violations`` lists each bound that was broken."""

    def __init__(self, seed: int, seconds: float = 50.0) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._kinds: dict[str, str] = {}
        self.world = FailingItems(seed, self._choose)
        self.violations = self.world.violations
        self._cut_off = ""
        self.sound_given_up = 0
        """Sound items that were held to their retention limit since leaders were lost."""
        self._losses: list[tuple[Any, float, float]] = []
        """The connections of each struck node, and from when to when it was struck."""

    def run(self) -> None:
        """Play the faults, then calm until each item is listed or its retention limit is over."""
        world = self.world
        world.on_answer = self._on_answer
        until_s = world.now + self._seconds
        next_strike_s, next_job_s, next_online_s = world.now + 2.0, world.now, world.now
        jobs = 0
        while world.now < until_s:
            if jobs < JOBS and world.now >= next_job_s:
                jobs += 1
                next_job_s = world.now + JOB_EVERY_S
                world.hand_in(f"job{jobs}", ITEMS_OF_JOB)
            if world.now >= next_strike_s:
                next_strike_s = world.now + self._random.uniform(*STRIKE_EVERY_S)
                self._strike()
            if world.now >= next_online_s:
                next_online_s = world.now + self._random.uniform(0.0, 2 * ONLINE_EVERY_S)
                self._report_online()
            world.step()
        world.on_answer = lambda sender: None
        self._rejoin()
        world.play(KEPT_S + SETTLE_S)
        self._judge()

    def kind_of(self, item: str) -> str:
        """Return the kind of an item, drawn when it is first asked for."""
        if item not in self._kinds:
            self._kinds[item] = self._random.choice([*ALWAYS, SOUND, SOUND, SOUND])
        return self._kinds[item]

    def _choose(self, item: str, run: int) -> Answer:
        kind = self.kind_of(item)
        if kind in ALWAYS:
            return self._random.choice(ALWAYS[kind])
        if self._random.random() < TROUBLE_SHARE:
            return self._random.choice(TROUBLE)
        return Answer.EVENTS

    # --- faults --------------------------------------------------------------------------

    def _on_answer(self, sender: str) -> None:
        """Kill or freeze a leader now and then just when a run of it is answered."""
        if self._is_calm() and self._random.random() < STRIKE_AT_ANSWER:
            self._kill_or_freeze(sender)

    def _is_calm(self) -> bool:
        return not self.world.frozen and not self._cut_off

    def _strike(self) -> None:
        """Strike a storage node, mostly the leader; one at a time."""
        fleet = self.world.fleet
        if not self._is_calm():
            return
        leading = fleet.leading("storage")
        struck = leading if leading and self._random.random() < 0.8 else fleet.names("storage")
        name = self._random.choice(struck)
        if self._random.random() < 0.25:
            self._cut_off = name
            self.world.strikes += 1
            cut_off_s = self._random.uniform(*CUT_OFF_S)
            self._count_loss(name, cut_off_s)
            fleet.cut_from_group(name)
            fleet.clock.callLater(cut_off_s, self._rejoin)
        else:
            self._kill_or_freeze(name)

    def _kill_or_freeze(self, name: str) -> None:
        if self._random.random() < 0.5:
            self._count_loss(name, 0.0)
            self.world.kill(name)
        else:
            frozen_s = self._random.uniform(*FROZEN_S)
            self._count_loss(name, frozen_s)
            self.world.freeze(name, frozen_s)

    def _count_loss(self, name: str, seconds: float) -> None:
        now = self.world.now
        self._losses.append((self.world.fleet.pools[name], now, now + seconds))

    def _unanswered_runs(self, item: str) -> int:
        """Return how many runs of an item had no known answer when their leader was struck."""
        return sum(
            any(
                run.pool is pool and run.sent_s <= until_s and run.known_from_s >= since_s
                for pool, since_s, until_s in self._losses
            )
            for run in self.world.sent
            if run.item == item
        )

    def _rejoin(self) -> None:
        if self._cut_off:
            self.world.fleet.rejoin(self._cut_off)
            self._cut_off = ""

    def _report_online(self) -> None:
        """Report online work at a runner, for which items give way."""
        fleet = self.world.fleet
        online = self._random.choice([0, 0, SLOTS // 2, SLOTS])
        report = OnlineUse((RunnerUse("runner-1", online),))
        messenger = fleet.nodes["gateway-1"].base.messenger
        for name in fleet.names("storage"):
            messenger.send(fleet.address(name), report)

    # --- judging -------------------------------------------------------------------------

    def _judge(self) -> None:
        for item in self.world.all_items():
            record = self.world.items[item]
            if not record.listed:
                self.violations.append(f"{item} is not listed: {self._told(item)}")
            elif self.kind_of(item) == SOUND and not record.listed[0][1]:
                self._judge_given_up(item)
            elif self.kind_of(item) != SOUND and record.listed[0][1]:
                self.violations.append(f"{item} is done: {self._told(item)}")

    def _judge_given_up(self, item: str) -> None:
        """Check that a sound item was given up for runs of which nobody knows the answer."""
        if self._unanswered_runs(item) < UNKNOWN_RUNS:
            self.violations.append(f"{item} was given up: {self._told(item)}")
        self.sound_given_up += 1

    def _told(self, item: str) -> str:
        record = self.world.items[item]
        answers = ", ".join(record.answers)
        return f"{self.kind_of(item)}, {record.sends} sends, answers: {answers or 'none'}"

    def most_sends(self) -> int:
        """Return how often a failing item was sent at the most."""
        items = self.world.all_items()
        failing = [item for item in items if self.kind_of(item) != SOUND]
        return max((self.world.items[item].sends for item in failing), default=0)

    def summary(self) -> str:
        """Return what the soak has seen."""
        items = self.world.all_items()
        failing = [item for item in items if self.kind_of(item) != SOUND]
        at_limit = sum(
            bool(record.listed) and record.listed[0][0] - self.world.accepted_s(item) >= KEPT_S
            for item, record in ((item, self.world.items[item]) for item in failing)
        )
        return (
            f"{self.world.strikes} losses, {len(items)} items, {len(failing)} of them failing, "
            f"{self.most_sends()} sends of one at the most, {at_limit} listed at their limit, "
            f"{self.sound_given_up} sound ones given up there"
        )


def play(seed: int, seconds: float = 50.0) -> FailingItemSoak:
    """Run a soak and its checks; return it."""
    soak = FailingItemSoak(seed, seconds)
    soak.run()
    return soak
