"""Counts the connections of a web site, and what they hold, against the budget of the process.

Bodies of 100 kB and more are spooled to the disk by Twisted, so that they count for no more.
"""

from typing import Any
from weakref import WeakKeyDictionary

from twisted.web.server import Site

from rainsail.assembly.served_connections import has_begun_request
from rainsail.budget.client_budget import NO_CONNECTION, NO_ROOM, ClientBudget
from rainsail.budget.eviction import PROTECTED_S, Rank, Standing, slow_standing
from rainsail.budget.progress import ProgressMeter
from rainsail.runtime.clock import MonotonicClock
from rainsail.runtime.process_limits import descriptor_limit, return_large_blocks
from rainsail.runtime.sockets import close_now
from rainsail.settings.model import ProcessSettings

_budgets: "WeakKeyDictionary[Any, ClientBudget]" = WeakKeyDictionary()
"""The budget of each reactor: a process has one of both."""


def process_budget(settings: ProcessSettings, reactor: Any) -> ClientBudget:
    """Return the budget that all roles of the process share."""
    budget = _budgets.get(reactor)
    if budget is None:
        return_large_blocks()
        limits = settings.clients.limits(descriptor_limit())
        budget = _budgets[reactor] = ClientBudget(MonotonicClock(reactor).seconds, limits)
    return budget


def count_clients(site: Site, budget: ClientBudget) -> None:
    """Have a site count its connections; those without room are closed at once."""
    tracked: Any = site
    build = tracked.buildProtocol

    def build_counted(address: Any) -> Any:
        if not budget.admit_connection():
            return None
        protocol = build(address)
        # Twisted wraps the channel that reads the requests.
        SiteClient(getattr(protocol, "_channel", protocol), budget)
        return protocol

    tracked.buildProtocol = build_counted


class SiteClient:
    """Implements ``rainsail.budget.eviction.Claimant`` for one HTTP channel."""

    def __init__(self, channel: Any, budget: ClientBudget) -> None:
        self._channel = channel
        self._budget = budget
        self._holding = budget.open(self)
        self._meter = ProgressMeter(budget.seconds())
        channel.client_budget = budget
        channel.client_holding = self._holding
        self._receive = channel.dataReceived
        self._lose = channel.connectionLost
        channel.dataReceived = self._data_received
        channel.connectionLost = self._connection_lost

    def _data_received(self, data: bytes) -> None:
        now = self._budget.seconds()
        if not self._is_reading():
            self._meter = ProgressMeter(now)
        self._meter.add(len(data), now)
        self._receive(data)

    def _connection_lost(self, reason: Any) -> None:
        self._budget.close(self, self._holding)
        self._lose(reason)

    def _is_reading(self) -> bool:
        return has_begun_request(self._channel) and not self._is_answering()

    def _is_answering(self) -> bool:
        return any(getattr(request, "is_received", True) for request in self._channel.requests)

    # --- Claimant ------------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """The bytes that the connection would give back."""
        return self._holding.held_bytes

    def standing(self, now: float) -> Standing | None:
        """Return the connection's place among those that may give way to others."""
        if self._is_answering():
            return None
        if self._is_reading():
            return slow_standing(Rank.BODY, self.held_bytes, self._meter, now)
        if self._meter.idle_s(now) < PROTECTED_S:
            return None
        return Standing(Rank.IDLE, 0.0, self._meter.since_s)

    def give_way(self, at_once: bool) -> None:
        """Close the connection."""
        reason = NO_CONNECTION if at_once else NO_ROOM
        self._budget.refused(reason, 0, self.held_bytes)
        close_now(self._channel.transport)
