"""Base of every kind of the site's users: it starts work until it is stopped.

It counts the work in progress and reports failures of the users' own code to the run.
"""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.experiment.history import History
from rainsail.runtime.clock import Clock
from rig.evidence import FileRead
from rig.http import RigHttpClient
from rig.layout import ProcessPlan, SiteLayout


@dataclass(frozen=True, slots=True)
class Users:
    """Dependencies that all users of the site share."""

    layout: SiteLayout
    http: RigHttpClient
    clock: Clock
    history: History
    draw: Random
    reads: list[FileRead] = field(default_factory=list)
    """Every complete answer to a read of results, in order."""

    def gateway(self, turn: int) -> ProcessPlan:
        """Return a gateway in round-robin order."""
        return self.layout.gateways[turn % len(self.layout.gateways)]


class Traffic:
    """One kind of the site's users."""

    def __init__(self, users: Users, failed: Callable[[Any], None]) -> None:
        self._users = users
        self._failed = failed
        self._stopped = False
        self._open = 0

    def start(self) -> None:
        """Start the traffic."""
        raise NotImplementedError

    def stop(self) -> None:
        """Start no further work."""
        self._stopped = True

    def settled(self) -> bool:
        """Return whether all counted work has ended."""
        return self._open == 0

    def _run(self, work: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
        """Start concurrent work; its failure fails the run."""
        return Deferred.fromCoroutine(work).addErrback(self._failed)

    def _run_counted(self, work: Coroutine[Any, Any, Any]) -> None:
        """Start work whose end the run waits for."""
        self._open += 1
        self._run(work).addBoth(self._count_end)

    def _count_end(self, _: Any) -> None:
        self._open -= 1
