"""Asks the controllers for permits of trial runs, and tells them what became of each permit."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Any

from rainsail.cluster.follower import FleetFollower
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_hex
from rainsail.quarantine.guard import Fingerprints, TrialDecided
from rainsail.quarantine.messages import PermitEnded, RequestPermit, RequestTrial
from rainsail.quarantine.trial_order import TrialAsk, TrialOrder
from rainsail.runtime.clock import Clock
from rainsail.wire.extensions import HOLD_TRIALS, TRIAL_PERMITS
from rainsail.wire.messenger import Messenger

TRIAL_TIMEOUT_S = 0.3
"""How long a request waits for the permit of a trial; a few round trips between regions."""
TRIAL_RETRY_S = 0.2
"""After a refusal no other request with the same fingerprint asks for this long."""
MAX_TRIALS_REFUSED = 1024
"""Refusals that are remembered, the latest ones."""
RUNS_ON_AFTER_S = 5.0
"""A permit whose run has not ended by then is known to have run: its sender is not lost, and will
report a crash. Well before the permit lapses at the controllers."""
MAX_PERMITS = 256
"""Permits that are remembered until their runs have ended, the latest ones."""
MICROSECONDS_PER_S = 1_000_000

_Names = tuple[Fingerprint, ...]


class TrialClient:
    """The permits of one node. A controller that has lost contact gets no word on them."""

    def __init__(
        self, messenger: Messenger, clock: Clock, follower: FleetFollower, metrics: NodeMetrics
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._follower = follower
        self._metrics = metrics
        self._order = TrialOrder()
        self._refused_s: dict[_Names, float] = {}
        """When requests were last refused as trials; in the future while a call is under way."""
        # Numbers of a former process of this node must not come again.
        self._next_number = 1 + round(clock.seconds() * MICROSECONDS_PER_S)
        self._permits: OrderedDict[_Names, int] = OrderedDict()
        """The numbers of the permits whose runs have not ended, by what they were asked for."""

    def request(self, fingerprints: Fingerprints, decided: TrialDecided, ends: int) -> None:
        """Ask the controllers; while all those in touch are of earlier versions it may run."""
        names = tuple(fingerprints)
        supporting = self._supporting(HOLD_TRIALS)
        now = self._clock.seconds()
        ask = TrialAsk(frozenset(names), ends)
        if not supporting:
            decided(bool(self._follower.controllers.in_touch()))
        elif (
            not self._order.is_next(ask, now)
            or now - self._refused_s.get(names, float("-inf")) < TRIAL_RETRY_S
        ):
            decided(False)
        else:
            self._refused_s[names] = now + TRIAL_TIMEOUT_S
            self._call(supporting, names, decided)

    def _call(self, controllers: Sequence[str], names: _Names, decided: TrialDecided) -> None:
        """Ask all controllers, as only the leader may permit it; the first permit decides."""
        number = self._next_number
        self._next_number += 1
        waiting = len(controllers)
        is_decided = is_unanswered = False

        def replied(result: Any) -> None:
            nonlocal waiting, is_decided, is_unanswered
            waiting -= 1
            is_unanswered |= result.is_error()
            permitted = not result.is_error() and result.ok.permitted
            if is_decided or not (permitted or not waiting):
                return
            is_decided = True
            self._note_decision(names, number, permitted)
            if not permitted and is_unanswered:
                # The leader may permit it after this.
                self._send_end(number, has_run=False)
            decided(permitted)

        level = self._messenger.extension_level
        for controller in controllers:
            is_numbered = level(controller) >= TRIAL_PERMITS
            message = RequestPermit(number, names) if is_numbered else RequestTrial(names)
            reply = self._messenger.call(controller, message, TRIAL_TIMEOUT_S)
            reply.addCallback(replied)

    def _note_decision(self, names: _Names, number: int, permitted: bool) -> None:
        self._metrics.count("quarantine_trials", outcome="permitted" if permitted else "refused")
        self._refused_s[names] = self._clock.seconds()
        while len(self._refused_s) > MAX_TRIALS_REFUSED:
            del self._refused_s[next(iter(self._refused_s))]
        if not permitted:
            return
        self._permits[names] = number
        self._permits.move_to_end(names)
        while len(self._permits) > MAX_PERMITS:
            self._permits.popitem(last=False)
        self._clock.callLater(RUNS_ON_AFTER_S, self._runs_on, names, number)
        shown = ",".join(map(fingerprint_hex, names))
        logger.bind(fingerprints=shown).info("quarantine_trial_permitted")

    def _runs_on(self, names: _Names, number: int) -> None:
        """Tell the controllers that a run goes on, as its runner may be slow to begin to write."""
        if self._permits.get(names) == number:
            self.ended(names, has_run=True)

    def ended(self, fingerprints: Fingerprints, has_run: bool) -> None:
        """Tell the controllers that a permit was not used, or that its runner has survived.

        ``has_run`` is that of ``PermitEnded``. Does nothing if no such permit is open.
        """
        number = self._permits.pop(tuple(fingerprints), None)
        if number is not None:
            self.tell_end(number, has_run)

    def take_open(self, fingerprints: Fingerprints) -> list[int]:
        """Return the open permits that a request with these fingerprints may run by.

        They are not open any more: the caller finds out how the run has ended.
        """
        known = set(fingerprints)
        taken = [names for names in self._permits if known.issuperset(names)]
        return [self._permits.pop(names) for names in taken]

    def tell_end(self, number: int, has_run: bool) -> None:
        """Tell the controllers how the run of a permit has ended."""
        self._metrics.count("trial_permits", outcome="used" if has_run else "returned")
        self._send_end(number, has_run)

    def _send_end(self, number: int, has_run: bool) -> None:
        self._messenger.send_all(self._supporting(TRIAL_PERMITS), PermitEnded(number, has_run))

    def _supporting(self, extension: int) -> list[str]:
        level = self._messenger.extension_level
        return [each for each in self._follower.heartbeat_targets() if level(each) >= extension]
