"""The soaks of a relayed fleet that features and ``tools/jobs_soak.py`` play, by seed."""

import random
from unittest import mock

from expression import Error
from features.support.relayed_soak import KEPT_DISK_KINDS, RelayedSoak, SoakPlan
from twisted.internet.defer import Deferred

from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode
from rainsail.state.job_commands import NoteProgress

LONG_ITEM_EVENTS = 40
CALM_OF_LONG_ITEMS_S = 0.5
LOST_NOTES = 0.2
REFUSED_AFTER_S = 0.7
"""Delay of a refusal: it arrives after the next note was sent, which then leaves a gap."""


def play(seed: int, plan: SoakPlan | None = None) -> RelayedSoak:
    """Run a soak; return it with its violations."""
    soak = RelayedSoak(seed, plan or SoakPlan())
    soak.run()
    return soak


def long_items(seconds: float = 60, events: int = LONG_ITEM_EVENTS) -> SoakPlan:
    """Items run longer than most leaderships, so that progress notes get lost, late and resumed."""
    return SoakPlan(seconds, events, CALM_OF_LONG_ITEMS_S, KEPT_DISK_KINDS)


def play_long_items(seed: int, plan: SoakPlan | None = None) -> RelayedSoak:
    """Run a soak of long items in which groups refuse some progress notes."""
    propose = GroupDriver.propose
    chances = random.Random(seed)

    def propose_most(self: GroupDriver, command: object) -> object:
        if isinstance(command, NoteProgress) and chances.random() < LOST_NOTES:
            refused: Deferred[object] = Deferred()
            fault = Fault(FaultCode.OVERLOADED, "a test", "a note is refused")
            self._clock.callLater(REFUSED_AFTER_S, refused.callback, Error(fault))
            return refused
        return propose(self, command)

    with mock.patch.object(GroupDriver, "propose", propose_most):
        return play(seed, plan or long_items())
