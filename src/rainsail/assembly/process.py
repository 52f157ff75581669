"""A process: its roles, status port, log ring and shutdown."""

import signal
from collections.abc import Generator
from typing import Any

from expression import Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from rainsail.assembly.client_connections import process_budget
from rainsail.assembly.listening import listen_http
from rainsail.assembly.role_metrics import register_role
from rainsail.assembly.roles import RunningRole
from rainsail.errors import Fault
from rainsail.logs import configure_logs, dump_on_signal, logger
from rainsail.metrics import CONTENT_TYPE, Metrics
from rainsail.runtime.garbage_collection import exempt_startup_objects
from rainsail.settings.model import ProcessSettings
from rainsail.wire.address import parse_address

EXIT_DONE = 0
EXIT_FAILED = 1


class Process:
    """Runs roles under one reactor until SIGTERM or a fatal fault."""

    def __init__(self, settings: ProcessSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self.roles: list[RunningRole] = []
        self.exit_code = EXIT_DONE
        self._ready = False
        self._stopping = False
        self._metrics = Metrics()
        self._ready_gauge = self._metrics.gauge("ready", "1 when every role has started")
        ring_settings = settings.logs
        self._ring = configure_logs(
            settings.process.data_folder, ring_settings.ring_records, ring_settings.print_level
        )

    def run(self) -> int:
        """Start every role, run the reactor, return the exit code."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _start(self) -> None:
        dump_on_signal(self._ring, self._reactor)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._reactor.callFromThread(self.stop))
        self._start_roles().addErrback(self._crashed)

    @inlineCallbacks
    def _start_roles(self) -> Generator[Deferred[Any], Any, None]:
        listening = self._listen_for_status()
        if listening.is_error():
            self.fail(listening.error)
            return
        for role in self.roles:
            register_role(self._metrics, role)
            started = yield role.start()
            if started.is_error():
                self.fail(started.error)
                return
        exempt_startup_objects()
        self._ready = True
        self._ready_gauge.set(1)
        logger.bind(process=self._settings.process.name).info("started")

    def _listen_for_status(self) -> Result[Any, Fault]:
        if self._settings.addresses.status is None:
            return Ok(None)
        app = Klein()
        app.route("/healthz")(lambda request: b"ok\n")
        app.route("/readyz")(self._readyz)
        app.route("/metrics")(self._metrics_text)
        address = parse_address(self._settings.addresses.status)
        budget = process_budget(self._settings, self._reactor)
        return listen_http(self._reactor, app.resource(), address, budget)

    def _readyz(self, request: Any) -> bytes:
        ready = self._ready and not self._stopping
        request.setResponseCode(200 if ready else 503)
        return b"ready\n" if ready else b"not ready\n"

    def _metrics_text(self, request: Any) -> bytes:
        request.setHeader(b"content-type", CONTENT_TYPE.encode())
        return self._metrics.exposition()

    def fail(self, fault: Fault) -> None:
        """Log a fatal fault and shut the process down with ``EXIT_FAILED``."""
        logger.error(str(fault))
        self.exit_code = EXIT_FAILED
        self.stop()

    def _crashed(self, failure: Any) -> None:
        logger.error(failure.getTraceback())
        self.exit_code = EXIT_FAILED
        self.stop()

    def stop(self) -> None:
        """Shut down gracefully: gateways first, replicas last; then stop the reactor."""
        if self._stopping:
            return
        self._stopping = True
        self._stop_roles().addBoth(lambda _: self._stop_reactor())

    @inlineCallbacks
    def _stop_roles(self) -> Generator[Deferred[Any], Any, None]:
        by_order = sorted(self.roles, key=lambda role: _STOP_ORDER.get(type(role).__name__, 0))
        for order in sorted({_STOP_ORDER.get(type(role).__name__, 0) for role in by_order}):
            group = [role for role in by_order if _STOP_ORDER.get(type(role).__name__, 0) == order]
            yield gatherResults([role.planned_stop() for role in group])

    def _stop_reactor(self) -> None:
        if self._reactor.running:
            self._reactor.stop()


_STOP_ORDER = {"GatewayRole": 0, "EmulatorRole": 1, "ReplicaRole": 2}
"""Gateways stop first: to finish their requests they need the engines and the replicas."""
