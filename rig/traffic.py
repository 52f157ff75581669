"""What every kind of the site's users has in common: it begins work until it is stopped.

Owns the count of what is under way and hands the failures of the users' own code to the run.
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
    """What every user of the site needs."""

    layout: SiteLayout
    http: RigHttpClient
    clock: Clock
    history: History
    draw: Random
    reads: list[FileRead] = field(default_factory=list)
    """Every whole answer to a read of results, in order."""

    def gateway(self, turn: int) -> ProcessPlan:
        """Return a gateway by turn."""
        return self.layout.gateways[turn % len(self.layout.gateways)]


class Traffic:
    """One kind of the site's users."""

    def __init__(self, users: Users, failed: Callable[[Any], None]) -> None:
        self._users = users
        self._failed = failed
        self._stopped = False
        self._open = 0

    def start(self) -> None:
        """Begin."""
        raise NotImplementedError

    def stop(self) -> None:
        """Begin nothing further."""
        self._stopped = True

    def settled(self) -> bool:
        """Tell whether everything begun that counts has its end."""
        return self._open == 0

    def _run(self, work: Coroutine[Any, Any, Any]) -> "Deferred[Any]":
        """Begin work beside what is under way; its failure fails the run."""
        return Deferred.fromCoroutine(work).addErrback(self._failed)

    def _run_counted(self, work: Coroutine[Any, Any, Any]) -> None:
        """Begin work whose end the run waits for."""
        self._open += 1
        self._run(work).addBoth(self._count_end)

    def _count_end(self, _: Any) -> None:
        self._open -= 1
