"""Routing of consensus messages between one process's groups and its peers.

A process with several groups merges the heartbeats of one event-loop turn to a peer into one
message.
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
from rainsail.wire.extensions import SNAPSHOT_PARTS
from rainsail.wire.messenger import Messenger

GroupHandler = Callable[[str, GroupMessage], None]
"""Takes (name of the sending replica, message)."""


class GroupRouter:
    """Handles every consensus message type for all groups of a process."""

    def __init__(self, messenger: Messenger, clock: Clock) -> None:
        self._messenger = messenger
        self._clock = clock
        self._handlers: dict[GroupId, GroupHandler] = {}
        self._gathered: dict[str, list[AppendRequest | AppendReply]] = {}
        for message_type in GROUP_MESSAGE_TYPES:
            messenger.serve(message_type, self._deliver)
        messenger.serve(MergedHeartbeats, self._deliver_merged)

    def add(self, group: GroupId, handler: GroupHandler) -> None:
        """Deliver messages of a group to ``handler``."""
        self._handlers[group] = handler

    def remove(self, group: GroupId) -> None:
        """Drop messages of a group from now on."""
        self._handlers.pop(group, None)

    def takes_snapshot_parts(self, replica: str) -> bool:
        """Tell whether a replica knows snapshots in parts."""
        return self._messenger.extension_level(replica) >= SNAPSHOT_PARTS

    # --- sending -------------------------------------------------------------------------

    def send(self, replica: str, message: GroupMessage) -> None:
        """Send a message; with several groups, heartbeats are merged within this turn."""
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
    """Return whether a message is a heartbeat or an append reply: small enough to merge."""
    if isinstance(message, AppendRequest):
        return not message.entries
    return isinstance(message, AppendReply)


def merged(messages: list[AppendRequest | AppendReply]) -> MergedHeartbeats:
    """Merge the messages for one peer into one."""
    return MergedHeartbeats(
        tuple(each for each in messages if isinstance(each, AppendRequest)),
        tuple(each for each in messages if isinstance(each, AppendReply)),
    )
