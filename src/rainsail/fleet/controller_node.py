"""The controller role of a process: serves runners and operators on one HTTP address."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase
from rainsail.fleet.controller_role import ControllerRole
from rainsail.fleet.listening import listen
from rainsail.fleet.port import PlatformPort
from rainsail.http.graceful_shutdown import GracefulShutdown
from rainsail.storage.interface import FileSystem

LAST_REPLIES_TIMEOUT_S = 1.5
"""At a planned stop, calls in progress are answered within this time or aborted."""


class ControllerNode:
    """Starts and stops a controller."""

    def __init__(
        self,
        base: NodeBase,
        port: PlatformPort,
        reactor: Any,
        files: FileSystem,
        fatal: Callable[[Fault], None],
    ) -> None:
        self._base = base
        self._port = port
        self._reactor = reactor
        self._close: GracefulShutdown | None = None
        self._role = ControllerRole(base, files, fatal, read_table=port.read_table)

    async def start(self) -> Result[None, Fault]:
        """Start the role, then accept calls."""
        started = await self._role.start()
        if started.is_error():
            return Error(started.error)
        assert self._role.controller is not None
        handler = self._port.control_handler(self._role.controller)
        server = self._base.http_server(handler)
        control = listen(self._reactor, server, self._base.settings.listen.control)
        if control.is_error():
            return Error(control.error)
        self._close = GracefulShutdown(server, control.ok, self._base.clock)
        return Ok(None)

    async def planned_stop(self) -> None:
        """Answer the calls that have arrived, hand over leadership, then stop."""
        if self._close is not None:
            # An operator whose call is aborted cannot tell whether the order is in force.
            await self._close.finish(LAST_REPLIES_TIMEOUT_S)
        await self._role.planned_stop()
