"""The controller role: runners and operators on one address, nodes over the transport."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from rainsail.cluster.controller import ControllerSettings, FleetController
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.founders import voters_for
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase
from rainsail.fleet.group_folder import GroupFolder
from rainsail.fleet.leaving import hand_over
from rainsail.fleet.listening import listen
from rainsail.fleet.port import PlatformPort
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.state.commands import ROOT_GROUP


class ControllerNode:
    """Starts and ends a controller."""

    def __init__(
        self, base: NodeBase, port: PlatformPort, reactor: Any, fatal: Callable[[Fault], None]
    ) -> None:
        self._base = base
        self._port = port
        self._reactor = reactor
        self._fatal = fatal
        self._folder = GroupFolder(base, ROOT_GROUP, reactor)
        self._driver: GroupDriver | None = None
        self._controller: FleetController | None = None

    async def start(self) -> Result[None, Fault]:
        """Open the root group, then listen."""
        base = self._base
        opened = await self._folder.open()
        if opened.is_error():
            return Error(opened.error)
        state = FleetState()
        made = self._folder.make_driver(state, self._founders())
        if made.is_error():
            return Error(made.error)
        self._driver = driver = made.ok
        driver.on_fatal(self._fatal)
        losses = base.settings.node.losses
        driver.open_to(base.settings.seed_controllers(), voters_for(losses))
        self._controller = FleetController(
            base.node,
            driver,
            state,
            base.follower,
            base.messenger,
            base.clock,
            ControllerSettings(losses=losses),
        )
        listening = await base.listen()
        if listening.is_error():
            return Error(listening.error)
        server = HttpServer(self._port.control_handler(self._controller), base.clock, HttpLimits())
        control = listen(self._reactor, server, base.settings.listen.control)
        if control.is_error():
            return Error(control.error)
        driver.start()
        self._controller.start()
        base.follower.start()
        return Ok(None)

    def _founders(self) -> tuple[str, ...]:
        """Return the founders of the root group: the seeds of the fleet's first start."""
        settings = self._base.settings
        seeds = settings.seed_controllers()
        if not settings.node.founding or self._base.node.address not in seeds:
            return ()
        return seeds

    async def planned_stop(self) -> None:
        """Hand leadership over, then stop."""
        if self._driver is not None:
            await hand_over(self._driver, self._base.clock)
            self._driver.stop()
        if self._controller is not None:
            self._controller.stop()
