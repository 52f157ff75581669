"""Hands the consensus messages of one process to the group that they name."""

from collections.abc import Callable

from rainsail.consensus.messages import GROUP_MESSAGE_TYPES, GroupMessage
from rainsail.state.commands import GroupId
from rainsail.wire.messenger import Messenger

GroupHandler = Callable[[str, GroupMessage], None]
"""Takes (name of the sending replica, message)."""


class GroupRouter:
    """Serves every consensus message type once per process, for all groups of it."""

    def __init__(self, messenger: Messenger) -> None:
        self._handlers: dict[GroupId, GroupHandler] = {}
        for message_type in GROUP_MESSAGE_TYPES:
            messenger.serve(message_type, self._deliver)

    def add(self, group: GroupId, handler: GroupHandler) -> None:
        """Hand messages of a group to ``handler``."""
        self._handlers[group] = handler

    def remove(self, group: GroupId) -> None:
        """Drop messages of a group from now on."""
        self._handlers.pop(group, None)

    def _deliver(self, source: str, message: GroupMessage) -> None:
        handler = self._handlers.get(message.group)
        if handler is not None:
            handler(source, message)
