"""A process of the fleet: reads settings, runs its role, ends on SIGTERM or a fatal fault."""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.budget.client_budget import ClientBudget
from rainsail.errors import Fault
from rainsail.event_log import configure_event_log
from rainsail.fleet.base import NodeBase, make_base, probe_limits
from rainsail.fleet.listening import listen
from rainsail.fleet.port import PlatformPort
from rainsail.http.exchange import Exchange
from rainsail.http.server import HttpServer
from rainsail.logs import dump_on_signal, logger
from rainsail.runtime.clock import MonotonicClock, count_suspended_time
from rainsail.runtime.garbage_collection import exempt_startup_objects
from rainsail.runtime.process_limits import return_large_blocks
from rainsail.settings.node import NodeKind, NodeSettings, load_node_settings

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
SETTINGS_CHECK_PERIOD_S = 1.0
METRICS_TYPE = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")


class FleetProcess:
    """Runs one role on a reactor that others may share; calls ``ended`` when it has ended."""

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        port: PlatformPort,
        reactor: Any,
        ended: Callable[["FleetProcess"], None],
        started_s: float | None = None,
        budget: ClientBudget | None = None,
    ) -> None:
        """``budget`` is shared by the roles of a process; by default it is created."""
        self._path = path
        self._text = _content(path)
        self._reactor = reactor
        self._ended = ended
        self._base = make_base(settings, reactor, started_s, budget)
        self._role = make_role(self._base, port, reactor, self.fail)
        self._stopping = False
        self.exit_code = EXIT_DONE

    def start(self) -> None:
        """Start the role; called once the reactor is running."""
        Deferred.fromCoroutine(self._start_role()).addErrback(self._crashed)
        self._watch_settings()

    async def _start_role(self) -> None:
        listening = await self._base.listen()
        if listening.is_error():
            self.fail(listening.error)
            return
        if self._base.settings.listen.metrics:
            metrics = listen(self._reactor, self._metrics_server(), self._metrics_address())
            if metrics.is_error():
                self.fail(metrics.error)
                return
        started = await self._role.start()
        if started.is_error():
            self.fail(started.error)
            return
        exempt_startup_objects()
        return_large_blocks()
        self._base.size_budget()
        took_s = self._base.clock.seconds() - self._base.started_s
        log = logger.bind(address=self._base.node.address, took_ms=round(took_s * 1000))
        log.info("started")

    def _metrics_address(self) -> str:
        return self._base.settings.listen.metrics

    def _metrics_server(self) -> HttpServer:
        def handle(exchange: Exchange) -> None:
            exchange.answer(200, (METRICS_TYPE,), self._base.metrics.exposition())

        return self._base.http_server(handle, probe_limits())

    def fail(self, fault: Fault) -> None:
        """End the process because of a fault."""
        logger.bind(fault=str(fault)).error("fatal")
        self.exit_code = EXIT_FAILED
        self._ended(self)

    def _crashed(self, failure: Any) -> None:
        logger.bind(traceback=failure.getTraceback()).error("crashed")
        self.exit_code = EXIT_FAILED
        self._ended(self)

    def stop(self) -> None:
        """Begin the planned stop; repeated calls have no effect."""
        if self._stopping:
            return
        self._stopping = True
        logger.info("stopping")
        done = Deferred.fromCoroutine(self._role.planned_stop())
        done.addErrback(self._crashed)
        done.addCallback(lambda _: self._ended(self))

    # --- settings reload -----------------------------------------------------------------

    def _watch_settings(self) -> None:
        if self._stopping:
            return
        if _content(self._path) != self._text:
            self.reload()
        self._reactor.callLater(SETTINGS_CHECK_PERIOD_S, self._watch_settings)

    def reload(self) -> None:
        """Reload the settings that may change while running: the seeds. Ignores an invalid file."""
        self._text = _content(self._path)
        loaded = load_node_settings(self._path)
        if loaded.is_error():
            logger.bind(fault=str(loaded.error)).error("settings_refused")
            return
        seeds = loaded.ok.seed_controllers()
        self._base.follower.set_seeds(seeds)
        logger.bind(seeds=",".join(seeds)).info("settings_reloaded")


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""


def make_role(base: NodeBase, port: PlatformPort, reactor: Any, fatal: Any) -> Any:
    """Create the role named in the settings; only its own modules are imported."""
    match base.settings.node.role:
        case NodeKind.GATEWAY:
            from rainsail.fleet.gateway_node import GatewayNode

            return GatewayNode(base, port, reactor)
        case NodeKind.CONTROLLER:
            from rainsail.fleet.controller_node import ControllerNode

            return ControllerNode(base, port, reactor, _files(base, reactor), fatal)
        case NodeKind.STORAGE:
            from rainsail.fleet.storage_node import StorageNode
            from rainsail.http.pool import ConnectionPool, PoolSettings

            settings = PoolSettings(connect_timeout_s=0.5)
            pool = ConnectionPool(reactor, base.clock, settings, base.parsing)
            base.metrics.gauge(
                "answers_with_late_bytes", lambda: float(pool.answers_with_late_bytes)
            )
            files = _files(base, reactor)
            return StorageNode(base, port.protocol, port.read_table, pool, files, fatal)


def _files(base: NodeBase, reactor: Any) -> Any:
    from rainsail.storage.local_files import LocalFileSystem

    return LocalFileSystem(Path(base.settings.node.data_folder), reactor)


class NodeRunner:
    """Runs nodes in one process, until all of them have ended or one has failed."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.nodes: list[FleetProcess] = []
        self.exit_code = EXIT_DONE

    def run(self) -> int:
        """Run the reactor; return the exit code."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _start(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._reactor.callFromThread(self._stop))
        signal.signal(signal.SIGHUP, lambda *_: self._reactor.callFromThread(self._reload))
        for node in list(self.nodes):
            node.start()

    def _stop(self) -> None:
        for node in list(self.nodes):
            node.stop()

    def _reload(self) -> None:
        for node in self.nodes:
            node.reload()

    def ended(self, node: FleetProcess) -> None:
        """Handle the end of a node; a failure ends the whole process at once."""
        if node in self.nodes:
            self.nodes.remove(node)
        self.exit_code = self.exit_code or node.exit_code
        if (not self.nodes or self.exit_code != EXIT_DONE) and self._reactor.running:
            self._reactor.stop()


def run_node(path: Path, port: PlatformPort, started_s: float | None = None) -> int:
    """Run the process of a settings file; return its exit code.

    ``started_s`` is the start time of the process, by ``steady_seconds``. A program with slow
    imports records it before them, so that its groups elect their leaders earlier by that time.
    """
    return run_nodes([path], port, started_s)


def run_nodes(paths: list[Path], port: PlatformPort, started_s: float | None = None) -> int:
    """Run the nodes of several settings files in one process; return the exit code."""
    loaded = [(path, load_node_settings(path)) for path in paths]
    faults = [result.error for _, result in loaded if result.is_error()]
    if faults:
        configure_event_log("", "")
        for fault in faults:
            logger.bind(fault=str(fault)).error("settings_refused")
        return EXIT_SETTINGS
    first = loaded[0][1].ok.node
    name = first.name if len(loaded) == 1 else "several"
    role = first.role.value if len(loaded) == 1 else "several"
    ring = configure_event_log(name, role, Path(first.data_folder) if first.data_folder else None)
    from twisted.internet import reactor

    count_suspended_time(reactor)
    dump_on_signal(ring, reactor)
    runner = NodeRunner(reactor)
    budget = ClientBudget(MonotonicClock(reactor).seconds)
    for path, result in loaded:
        node = FleetProcess(path, result.ok, port, reactor, runner.ended, started_s, budget)
        runner.nodes.append(node)
    return runner.run()
