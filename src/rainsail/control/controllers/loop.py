"""Runs one planner in rounds on the leader: plan, propose, wait for the outcomes, repeat.

Rounds never overlap. A command that meets a conflict is not retried: the next round plans again
from the state stored by then.
"""

from random import Random
from typing import Any

from expression import Result
from loguru import logger
from twisted.internet.defer import Deferred, DeferredList

from rainsail.consensus.interface import Group
from rainsail.control.controllers.planner import Planner
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock
from rainsail.state.commands import CommandOutcome
from rainsail.state.interface import ReplicatedReader

Proposed = Result[tuple[int, CommandOutcome], Fault]


class ReconcileLoop:
    """Runs one planner every period, and shortly after each ``wake``."""

    def __init__(
        self,
        planner: Planner,
        period_s: float,
        group: Group,
        state: ReplicatedReader,
        clock: Clock,
        random: Random,
        settings: ReconcilerSettings,
    ) -> None:
        self._planner = planner
        self._period_s = period_s
        self._group = group
        self._state = state
        self._clock = clock
        self._random = random
        self._settings = settings
        self._timer: Any = None
        self._epoch = 0
        self._running = False
        self._in_round = False
        self._wake_pending = False

    def start(self) -> None:
        """Start a leadership term: reset the planner and run a round at once."""
        self.stop()
        self._running = True
        self._planner.begin()
        self._schedule(0.0)

    def stop(self) -> None:
        """End the leadership term; a round in progress no longer affects the loop."""
        self._epoch += 1
        self._running = False
        self._in_round = False
        self._wake_pending = False
        self._cancel_timer()

    def wake(self) -> None:
        """Schedule a round soon, because the state has changed."""
        if not self._running or self._wake_pending:
            return
        self._wake_pending = True
        if not self._in_round:
            self._cancel_timer()
            self._schedule(self._settings.replan_delay_s)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._clock.callLater(delay_s, self._round)

    def _round(self) -> None:
        self._timer = None
        self._wake_pending = False
        if not self._group.is_leader():
            self._schedule_next()
            return
        commands = self._planner.plan(self._state, self._clock.seconds())
        if not commands:
            self._schedule_next()
            return
        self._in_round = True
        chosen = commands[: self._settings.max_commands_per_round]
        self._wake_pending = len(chosen) < len(commands)
        epoch = self._epoch
        answers = DeferredList([self._propose(command) for command in chosen])
        answers.addTimeout(self._settings.propose_timeout_s, self._clock)  # type: ignore[arg-type]
        answers.addBoth(lambda _: self._end_round(epoch))

    def _propose(self, command: object) -> "Deferred[None]":
        proposed = self._group.propose(command)  # type: ignore[arg-type]
        proposed.addCallbacks(self._log_outcome, self._log_failure)
        return proposed  # type: ignore[return-value]

    def _log_outcome(self, answer: Proposed) -> None:
        if answer.is_error():
            logger.debug("{}: command not committed: {}", self._planner.name, answer.error)
        elif isinstance(answer.ok[1], Fault):
            logger.debug("{}: command refused: {}", self._planner.name, answer.ok[1])

    def _log_failure(self, failure: object) -> None:
        logger.warning("{}: could not propose a command: {}", self._planner.name, failure)

    def _end_round(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._in_round = False
        self._schedule_next()

    def _schedule_next(self) -> None:
        if self._wake_pending:
            self._schedule(self._settings.replan_delay_s)
            return
        jitter = self._settings.period_jitter_fraction * self._random.uniform(-1.0, 1.0)
        self._schedule(self._period_s * (1.0 + jitter))
