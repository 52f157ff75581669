"""The emulated machine list, which shows changes after a configured lag, and its HTTP server.

``PUT /machines/NAME/STATE`` simulates an event on the platform (``live``, ``leaving``).
"""

from typing import Any

from expression import Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred, succeed

from rainsail.emulator.settings import MachineListSettings
from rainsail.errors import Fault
from rainsail.machines.machine_list import MACHINES, Machine, MachineState
from rainsail.runtime.clock import Clock


class EmulatedMachineList:
    """Shows changes ``lag_s`` after they are made; implements ``MachineListClient``."""

    def __init__(self, clock: Clock, settings: MachineListSettings | None = None) -> None:
        self._clock = clock
        self._settings = settings or MachineListSettings.model_validate({})
        self._shown: dict[str, Machine] = {}

    def seed(self, machines: tuple[Machine, ...]) -> None:
        """Add the machines of the initial fleet, without the lag."""
        for machine in machines:
            self._shown[machine.name] = machine

    def put(self, name: str, address: str, state: MachineState = MachineState.LIVE) -> None:
        """Add or change a machine."""
        machine = Machine(name, address, state)
        self._clock.callLater(self._settings.lag_s, self._shown.__setitem__, name, machine)

    def remove(self, name: str) -> None:
        """Remove a machine from the list."""
        self._clock.callLater(self._settings.lag_s, self._shown.pop, name, None)

    def machines(self) -> tuple[Machine, ...]:
        """Return the machines that the list shows now, in name order."""
        return tuple(self._shown[name] for name in sorted(self._shown))

    def fetch(self) -> "Deferred[Result[tuple[Machine, ...], Fault]]":
        """Return the machines that the list shows now."""
        return succeed(Ok(self.machines()))


class MachineListServer:
    """Serves ``GET /machines``; mount ``app.resource()`` on a site."""

    def __init__(self, machines: EmulatedMachineList) -> None:
        self.app = Klein()
        self._machines = machines
        self.app.route("/machines", methods=["GET"])(self._list)
        self.app.route("/machines/<name>/<state>", methods=["PUT"])(self._put)

    def _list(self, request: Any) -> bytes:
        request.setHeader(b"content-type", b"application/json")
        return MACHINES.dump_json(self._machines.machines())

    def _put(self, request: Any, name: str, state: str) -> bytes:
        known = next((each for each in self._machines.machines() if each.name == name), None)
        if known is None or state not in list(MachineState):
            request.setResponseCode(404)
            return b""
        self._machines.put(name, known.address, MachineState(state))
        return b""
