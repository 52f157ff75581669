"""The virtual clock: time moves only when the simulation runs the next timer."""

import heapq
from collections.abc import Callable
from typing import Any


class VirtualTimer:
    """A scheduled call; offers what Twisted's ``IDelayedCall`` offers."""

    __slots__ = ("arguments", "callable", "due_s", "keywords", "sequence", "state")

    def __init__(
        self,
        due_s: float,
        sequence: int,
        callable: Callable[..., Any],
        arguments: tuple[Any, ...],
        keywords: dict[str, Any],
    ) -> None:
        self.due_s = due_s
        self.sequence = sequence
        self.callable = callable
        self.arguments = arguments
        self.keywords = keywords
        self.state = "waiting"

    def __lt__(self, other: "VirtualTimer") -> bool:
        return (self.due_s, self.sequence) < (other.due_s, other.sequence)

    def active(self) -> int:
        """Return 1 while the call is still to come."""
        return 1 if self.state == "waiting" else 0

    def cancel(self) -> None:
        """Take the call back; raises ``ValueError`` when it was made or taken back before."""
        if self.state != "waiting":
            raise ValueError(f"timer already {self.state}")
        self.state = "cancelled"

    def getTime(self) -> float:
        """Return the due time in virtual seconds."""
        return self.due_s


class VirtualClock:
    """Virtual monotonic time with timers in order of due time, then of scheduling."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._timers: list[VirtualTimer] = []
        self._sequence = 0

    def seconds(self) -> float:
        """Return virtual seconds since the start."""
        return self._now_s

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> VirtualTimer:
        """Schedule a call ``delay`` virtual seconds from now."""
        if delay < 0:
            raise ValueError("negative delay")
        self._sequence += 1
        timer = VirtualTimer(self._now_s + delay, self._sequence, callable, args, kw)
        heapq.heappush(self._timers, timer)
        return timer

    def run_next(self, until_s: float) -> bool:
        """Run the next timer due by ``until_s``; return False when there is none."""
        while self._timers:
            timer = self._timers[0]
            if timer.due_s > until_s:
                return False
            heapq.heappop(self._timers)
            if timer.state != "waiting":
                continue
            self._now_s = timer.due_s
            timer.state = "called"
            timer.callable(*timer.arguments, **timer.keywords)
            return True
        return False

    def run_until(self, until_s: float) -> None:
        """Run every timer due by ``until_s`` and set the time to it."""
        while self.run_next(until_s):
            pass
        self._now_s = max(self._now_s, until_s)

    def advance(self, seconds: float) -> None:
        """Run ``seconds`` of virtual time."""
        self.run_until(self._now_s + seconds)


class SkewedClock:
    """A process's view of the virtual clock: its own rate and a freeze switch.

    ``rate`` 1.001 runs 0.1 % fast. While frozen, due timers wait until the thaw and can still be
    cancelled, as in a process that is paused, or whose machine is suspended, and goes on.
    """

    counts_frozen_time = True
    """Off, the clock stands still while frozen, as ``CLOCK_MONOTONIC`` does during a suspension: a
    defect that checks have to notice."""

    def __init__(self, clock: VirtualClock, rate: float = 1.0) -> None:
        self._clock = clock
        self._rate = rate
        self._held: list[VirtualTimer] | None = None
        self._stopped = False
        self._frozen_since_s = 0.0
        self._uncounted_s = 0.0

    def seconds(self) -> float:
        """Return the process's own monotonic time."""
        now_s = self._clock.seconds()
        if self._held is not None and not self.counts_frozen_time:
            now_s = self._frozen_since_s
        return (now_s - self._uncounted_s) * self._rate

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> VirtualTimer:
        """Schedule on the virtual clock, scaled by the rate."""
        timer = self._clock.callLater(delay / self._rate, self._run)
        timer.arguments = (timer, callable, args, kw)
        return timer

    def _run(self, timer: VirtualTimer, callable: Callable[..., Any], args: Any, kw: Any) -> None:
        if self._stopped:
            return
        if self._held is not None:
            timer.state = "waiting"
            self._held.append(timer)
            return
        callable(*args, **kw)

    def freeze(self) -> None:
        """Hold every timer back (a paused process)."""
        if self._held is None:
            self._held = []
            self._frozen_since_s = self._clock.seconds()

    def thaw(self) -> None:
        """Run what was held back, in order, and go on; each may still cancel those after it."""
        held = self._held or []
        if self._held is not None and not self.counts_frozen_time:
            self._uncounted_s += self._clock.seconds() - self._frozen_since_s
        self._held = None
        for timer in held:
            if timer.active():
                timer.state = "called"
                self._run(*timer.arguments)

    def stop(self) -> None:
        """Drop every timer for good (a killed process)."""
        self._stopped = True
