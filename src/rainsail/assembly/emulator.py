"""The emulator role: emulated engines, their weight store and the platform's machine list."""

from collections.abc import Generator
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from rainsail.assembly.listening import listen_http
from rainsail.assembly.roles import fresh_random
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.engine_server import EngineServer
from rainsail.emulator.execution_file import ExecutionFile
from rainsail.emulator.machine_list import EmulatedMachineList, MachineListServer
from rainsail.emulator.weight_store import WeightStore
from rainsail.errors import Fault, FaultCode
from rainsail.machines.machine_list import Machine
from rainsail.runtime.clock import Clock, MonotonicClock
from rainsail.settings.model import ProcessSettings
from rainsail.settings.process import EngineEntry
from rainsail.wire.address import parse_address

EXECUTION_FILE = "executions.jsonl"
PROCESS_NUMBER_BITS = 32


class EmulatorRole:
    """The emulated engines of one process, which share one weight store."""

    def __init__(
        self, settings: ProcessSettings, entries: tuple[EngineEntry, ...], reactor: Any
    ) -> None:
        self.name = f"emulator-{settings.process.name}"
        self._settings = settings
        self._reactor = reactor
        self._entries = entries
        self._clock: Clock = MonotonicClock(reactor)
        self._store = WeightStore(self._clock, settings.weight_store)
        self._process = f"{fresh_random().getrandbits(PROCESS_NUMBER_BITS):08x}-"
        self.engines = {entry.runner: self._make_engine(entry) for entry in entries}
        self.machines = EmulatedMachineList(self._clock, settings.machine_list)
        self.machines.seed(tuple(Machine(each.runner, each.address) for each in settings.engines))
        self._ports: list[Any] = []

    def _make_engine(self, entry: EngineEntry) -> EmulatedEngine:
        """Make an engine whose incarnation ids differ from those of earlier processes."""
        return EmulatedEngine(
            entry.runner,
            self._clock,
            fresh_random(),
            self._settings.engine_settings(entry),
            self._store,
            self._process,
        )

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Serve every engine on its port, and the machine list when it has an address."""
        yield succeed(None)
        recording = self._record_executions()
        if recording.is_error():
            return Error(recording.error)
        for entry in self._entries:
            server = EngineServer(self.engines[entry.runner], self._clock)
            listening = self._listen(server.app.resource(), entry.address)
            if listening.is_error():
                return listening
        if self._settings.addresses.machine_list is not None:
            resource = MachineListServer(self.machines).app.resource()
            return self._listen(resource, self._settings.addresses.machine_list)
        return Ok(None)

    def _listen(self, resource: Any, address: str) -> Result[None, Fault]:
        port = listen_http(self._reactor, resource, parse_address(address))
        if port.is_error():
            return Error(port.error)
        self._ports.append(port.ok)
        return Ok(None)

    def _record_executions(self) -> Result[None, Fault]:
        section = self._settings.emulator
        if not section.record_executions:
            return Ok(None)
        path = self._settings.process.data_folder / EXECUTION_FILE
        try:
            file = ExecutionFile(path, section.record_limit_bytes)
        except OSError as error:
            return Error(Fault(FaultCode.STORAGE, "assembly.execution_file", str(error)))
        for engine in self.engines.values():
            file.follow(engine)
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Close the ports."""
        for port in self._ports:
            yield port.stopListening()
