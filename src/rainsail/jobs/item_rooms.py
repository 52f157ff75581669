"""Which runners may get an item now, and how much room each has.

A runner takes no item for a while after it broke one off, after an item gave way there, and until
it has begun to answer the last one.
"""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.foreign_load import ForeignLoadBook
from rainsail.jobs.plan import PlanSettings, RunnerRoom
from rainsail.jobs.work import Work
from rainsail.routing.facts import ServerLoad
from rainsail.routing.online_use import OnlineUseBook
from rainsail.routing.warm_up_limiter import WarmUpLimiter


class ItemRooms:
    """The runners as the dispatcher sees them, and the runs under way at each."""

    def __init__(self, warm_ups: WarmUpLimiter, settings: PlanSettings) -> None:
        self.running: dict[str, list[Work]] = {}
        self.online = OnlineUseBook()
        self._warm_ups = warm_ups
        self._settings = settings
        self._foreign = ForeignLoadBook()
        self._no_item_before_s: dict[str, float] = {}
        self._started_at_s: dict[str, float] = {}

    def clear(self) -> None:
        """Forget what was heard before this node led."""
        self.online.clear()
        self._foreign.clear()

    def keep_only(self, runners: set[str]) -> None:
        """Forget runners that are not known any more."""
        self._warm_ups.keep_only(runners)
        for times in (self._no_item_before_s, self._started_at_s):
            for runner in times.keys() - runners:
                del times[runner]

    def forget(self, runner: str) -> None:
        """Forget a runner that has started again, but for the runs that have yet to end."""
        self._foreign.forget(runner)
        for times in (self._no_item_before_s, self._started_at_s):
            times.pop(runner, None)

    def items_at(self, runner: str) -> int:
        """Return how many items run at a runner."""
        return len(self.running.get(runner, ()))

    def room(self, record: RunnerRecord, now: float) -> RunnerRoom:
        """Return a runner's slots, and who holds them."""
        runner = record.runner
        foreign = 0
        if self._settings.mechanisms.foreign_load:
            foreign = self._foreign.at(runner, now)
        online = self.online.running(runner)
        return RunnerRoom(runner, record.slots, online, self.items_at(runner), foreign)

    def slots_for_items(self, record: RunnerRecord, now: float) -> int:
        """Return the slots that items hold or could get."""
        room = self.room(record, now)
        return max(0, room.items + room.free)

    def load_heard(self, runner: str, load: ServerLoad, now: float) -> None:
        """Take what a runner says of its load."""
        known = self.items_at(runner) + self.online.running(runner)
        self._foreign.reported(runner, load, known, now)

    def started(self, record: RunnerRecord, work: Work, now: float) -> None:
        """Note an item that goes out to a runner."""
        self._started_at_s[record.runner] = now
        self._warm_ups.sent(record, now)
        self.running.setdefault(record.runner, []).append(work)

    def rests(self, runner: str, until_s: float) -> None:
        """Give a runner no item before a time."""
        self._no_item_before_s[runner] = max(until_s, self._no_item_before_s.get(runner, 0.0))

    def may_start_at(self, record: RunnerRecord, now: float) -> bool:
        """Tell whether a runner may get an item now.

        It is sound, bears one more while it warms up, no item has just given way there, and it has
        begun the last one: an item that waits at a runner says that it is full, whatever is known
        of it here.
        """
        runner = record.runner
        if not self._warm_ups.may_send(record, now):
            return False
        if self._no_item_before_s.get(runner, 0.0) > now:
            return False
        if any(work.run and not work.run.begun for work in self.running.get(runner, ())):
            return False
        since_s = now - self._started_at_s.get(runner, float("-inf"))
        return since_s >= self._settings.start_gap_s
