"""Polls the platform's machine list, so that planners read it from memory without waiting."""

from typing import Any

from expression import Result

from rainsail.control.controllers.machines import WatchedMachineState
from rainsail.errors import Fault
from rainsail.machines import machine_list
from rainsail.machines.machine_list import Machine, MachineListClient
from rainsail.runtime.clock import Clock

FETCH_PERIOD_S = 2.0
"""Time between two fetches; the list itself lags behind the machines by more."""


class MachineWatch:
    """Caches the last machine list that was fetched; implements ``MachineView``.

    A machine that was listed once and is missing from a later list is gone. A failed fetch keeps
    the previous list. That is safe, because the list is only ever used to take runners out of
    service, never to requeue work.
    """

    def __init__(self, client: MachineListClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._states: dict[str, WatchedMachineState] = {}
        self._timer: Any = None
        self._stopped = False

    def start(self) -> None:
        """Fetch at once, then again ``FETCH_PERIOD_S`` after each fetch has ended."""
        self._client.fetch().addCallback(self._take)

    def stop(self) -> None:
        """Stop polling."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def machine_state(self, name: str) -> WatchedMachineState | None:
        """Return the last known state of a machine; None when it was never listed."""
        return self._states.get(name)

    def _take(self, result: Result[tuple[Machine, ...], Fault]) -> None:
        if self._stopped:
            return
        if result.is_ok():
            self._replace(result.ok)
        self._timer = self._clock.callLater(FETCH_PERIOD_S, self.start)

    def _replace(self, machines: tuple[Machine, ...]) -> None:
        listed = {machine.name: _state(machine) for machine in machines}
        for name in self._states:
            listed.setdefault(name, WatchedMachineState.GONE)
        self._states = listed


def _state(machine: Machine) -> WatchedMachineState:
    if machine.state == machine_list.MachineState.LEAVING:
        return WatchedMachineState.LEAVING
    return WatchedMachineState.LIVE
