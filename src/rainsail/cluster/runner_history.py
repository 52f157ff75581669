"""When runners became known and when they were found crashed, as one node has learned it. Pure."""

from collections import OrderedDict

from rainsail.cluster.messages import RunnerRecord

MAX_CRASHED = 4096
"""Addresses of which the last crash is remembered, the latest ones."""


class RunnerHistory:
    """Times are seconds of the node's clock, passed in by the caller."""

    def __init__(self) -> None:
        self._known_since_s: dict[str, tuple[int, float]] = {}
        """Each runner's incarnation (``born``), and when this node first heard of it."""
        self._crashed_s: OrderedDict[str, float] = OrderedDict()
        """The last crash found at each address: a runner may start again under another id."""

    def note_report(self, record: RunnerRecord, now: float) -> None:
        """Note a report that is newer than all others of its runner."""
        known = self._known_since_s.get(record.runner)
        if known is None or known[0] != record.born:
            self._known_since_s[record.runner] = record.born, now

    def note_crash(self, record: RunnerRecord, now: float) -> None:
        """Note that a runner was found crashed."""
        self._crashed_s[record.address] = now
        self._crashed_s.move_to_end(record.address)
        while len(self._crashed_s) > MAX_CRASHED:
            self._crashed_s.popitem(last=False)

    def forget(self, runner: str) -> None:
        """Forget a runner that is not remembered any more."""
        self._known_since_s.pop(runner, None)

    def known_s(self, record: RunnerRecord, now: float) -> float:
        """Return for how long this node has known a runner's incarnation; 0 for an unknown one."""
        _, since_s = self._known_since_s.get(record.runner, (0, now))
        return now - since_s

    def since_crash_s(self, record: RunnerRecord, now: float) -> float:
        """Return the time since the last crash at a runner's address, infinite without one."""
        return now - self._crashed_s.get(record.address, float("-inf"))
