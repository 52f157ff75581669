"""Client interfaces of the control plane for gateways and operator APIs.

``rainsail.control.leader_client.LeaderClient`` implements ``ControlClient`` over a Messenger;
``rainsail.control.config_view.ConfigView`` is the gateway's local copy of the resources.
"""

from collections.abc import Callable
from typing import Any, Protocol

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault
from rainsail.resources.specs import Kind, Resource, ResourceKey, WatchEvent
from rainsail.state.commands import Command, CommandOutcome, GroupId


class ControlClient(Protocol):
    """Finds a group's leader, follows leader changes, and retries what is safe to retry.

    Commands with a change id, request id or fence are safe to send again; ``propose`` does so
    until ``timeout_s`` has passed. A TIMEOUT fault has outcome UNKNOWN.
    """

    def propose(
        self, command: Command, timeout_s: float, group: GroupId = 0
    ) -> "Deferred[Result[CommandOutcome, Fault]]":
        """Commit a command at the leader. A fault *outcome* of the command is an Error too."""
        ...

    def call(self, request: Any, timeout_s: float) -> "Deferred[Result[Any, Fault]]":
        """Send any request record of ``rainsail.control.messages`` to its group's leader."""
        ...


class ConfigReader(Protocol):
    """A gateway's local copy of the configuration: not persisted, updated by ``ConfigPoll``."""

    revision: int

    def ready(self) -> bool:
        """Tell whether a first full list has been read."""
        ...

    def lease_valid(self) -> bool:
        """Tell whether the configuration lease is valid now; without it new work is refused."""
        ...

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        ...

    def list_resources(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind in name order."""
        ...

    def on_event(self, listener: Callable[[WatchEvent], None]) -> None:
        """Call ``listener`` with each change as it is applied, in revision order."""
        ...
