"""Hands the consensus messages of one process to the group that they name, and sends theirs.

A process with several groups sends the heartbeats of one moment to one peer as one message.
"""

from collections.abc import Callable
from typing import TypeGuard

from rainsail.consensus.messages import (
    GROUP_MESSAGE_TYPES,
    AppendReply,
    AppendRequest,
    GroupMessage,
    MergedHeartbeats,
)
from rainsail.runtime.clock import Clock
from rainsail.state.command_basics import GroupId
from rainsail.wire.messenger import Messenger

GroupHandler = Callable[[str, GroupMessage], None]
"""Takes (name of the sending replica, message)."""


class GroupRouter:
    """Serves every consensus message type once per process, for all groups of it."""

    def __init__(self, messenger: Messenger, clock: Clock) -> None:
        self._messenger = messenger
        self._clock = clock
        self._handlers: dict[GroupId, GroupHandler] = {}
        self._gathered: dict[str, list[AppendRequest | AppendReply]] = {}
        for message_type in GROUP_MESSAGE_TYPES:
            messenger.serve(message_type, self._deliver)
        messenger.serve(MergedHeartbeats, self._deliver_merged)

    def add(self, group: GroupId, handler: GroupHandler) -> None:
        """Hand messages of a group to ``handler``."""
        self._handlers[group] = handler

    def remove(self, group: GroupId) -> None:
        """Drop messages of a group from now on."""
        self._handlers.pop(group, None)

    # --- sending -------------------------------------------------------------------------

    def send(self, replica: str, message: GroupMessage) -> None:
        """Send at once; with several groups a heartbeat waits for the others of this moment."""
        if len(self._handlers) < 2 or not is_heartbeat_or_reply(message):
            self._messenger.send(replica, message)
            return
        if not self._gathered:
            self._clock.callLater(0, self._flush)
        self._gathered.setdefault(replica, []).append(message)

    def _flush(self) -> None:
        gathered = self._gathered
        self._gathered = {}
        for replica, messages in gathered.items():
            if len(messages) == 1:
                self._messenger.send(replica, messages[0])
            else:
                self._messenger.send(replica, merged(messages))

    # --- receiving -----------------------------------------------------------------------

    def _deliver(self, source: str, message: GroupMessage) -> None:
        handler = self._handlers.get(message.group)
        if handler is not None:
            handler(source, message)

    def _deliver_merged(self, source: str, message: MergedHeartbeats) -> None:
        for request in message.requests:
            self._deliver(source, request)
        for reply in message.replies:
            self._deliver(source, reply)


def is_heartbeat_or_reply(message: GroupMessage) -> TypeGuard[AppendRequest | AppendReply]:
    """Tell whether a message is a heartbeat or answers an append: small, and fit to wait."""
    if isinstance(message, AppendRequest):
        return not message.entries
    return isinstance(message, AppendReply)


def merged(messages: list[AppendRequest | AppendReply]) -> MergedHeartbeats:
    """Put the messages for one peer into one."""
    return MergedHeartbeats(
        tuple(each for each in messages if isinstance(each, AppendRequest)),
        tuple(each for each in messages if isinstance(each, AppendReply)),
    )
