"""Parks the gateways' configuration polls until there are events or the wait time has passed.

Gateways at the same revision get the same encoded reply, so the events are read and encoded once
per change, not once per gateway.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.control.messages import ConfigPollReply, EncodedReply
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader
from rainsail.wire.codec import encode

MIN_SHARED_RECEIVERS = 2
"""Least number of receivers for which a reply is encoded once and shared."""

PollAnswer = ConfigPollReply | EncodedReply | Fault


@dataclass(eq=False, slots=True)
class ParkedPoll:
    """One parked poll."""

    applied_revision: int
    lease_s: float
    done: "Deferred[PollAnswer]"
    timer: Any


class LongPolls:
    """The parked polls of one group on its leader."""

    def __init__(
        self, state: ReplicatedReader, clock: Clock, coalesce_s: float, max_events: int
    ) -> None:
        self._state = state
        self._clock = clock
        self._coalesce_s = coalesce_s
        self._max_events = max_events
        self._parked: dict[int, ParkedPoll] = {}
        self._next_number = 0
        self._flush_timer: Any = None
        self._check: Callable[[], Fault | None] = lambda: None

    def set_check(self, check: Callable[[], Fault | None]) -> None:
        """Set the check made before each reply; if it returns a fault, that is the reply."""
        self._check = check

    def answer(
        self, applied_revision: int, lease_s: float, wait_s: float
    ) -> "Deferred[PollAnswer]":
        """Answer at once when there are events, no lease or no wait time; else park the poll."""
        done: Deferred[PollAnswer] = Deferred()
        if self._state.revision > applied_revision or lease_s == 0.0 or wait_s <= 0:
            done.callback(self._reply(applied_revision, lease_s))
            return done
        number = self._next_number
        self._next_number += 1
        timer = self._clock.callLater(wait_s, self._wait_expired, number)
        self._parked[number] = ParkedPoll(applied_revision, lease_s, done, timer)
        return done

    def state_applied(self) -> None:
        """Handle applied entries; parked polls behind the new revision are answered soon."""
        if self._flush_timer is None and self._parked:
            self._flush_timer = self._clock.callLater(self._coalesce_s, self._flush)

    def refuse_all(self, fault: Fault) -> None:
        """Answer every parked poll with a fault, when the leadership term has ended."""
        parked = list(self._parked.values())
        self._parked.clear()
        for poll in parked:
            poll.timer.cancel()
            poll.done.callback(fault)

    def __len__(self) -> int:
        return len(self._parked)

    def _flush(self) -> None:
        self._flush_timer = None
        revision = self._state.revision
        shared: dict[tuple[int, float], list[ParkedPoll]] = {}
        behind = [n for n, poll in self._parked.items() if poll.applied_revision < revision]
        for number in behind:
            poll = self._parked.pop(number)
            poll.timer.cancel()
            shared.setdefault((poll.applied_revision, poll.lease_s), []).append(poll)
        for key, polls in shared.items():
            reply = self._reply(*key)
            if len(polls) >= MIN_SHARED_RECEIVERS and isinstance(reply, ConfigPollReply):
                reply = EncodedReply(encode(reply))
            for poll in polls:
                poll.done.callback(reply)

    def _wait_expired(self, number: int) -> None:
        poll = self._parked.pop(number)
        poll.done.callback(self._reply(poll.applied_revision, poll.lease_s))

    def _reply(self, applied_revision: int, lease_s: float) -> PollAnswer:
        fault = self._check()
        if fault is not None:
            return fault
        events = self._state.events_since(applied_revision, self._max_events)
        return ConfigPollReply(
            events=tuple(events or ()),
            revision=self._state.revision,
            in_force_revision=self._state.in_force_revision,
            compacted=events is None,
            lease_s=lease_s,
        )
