"""Recovery of a member's log and state from its storage at start."""

from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import EMPTY_MEMBERSHIP, membership_of_payload
from rainsail.state.state_machine import StateMachine
from rainsail.storage.interface import GroupStorage
from rainsail.storage.snapshot_checksum import verified_chunks

READ_BYTES = 4 * 1024 * 1024


def recover_log(storage: GroupStorage, state_machine: StateMachine) -> LogWindow:
    """Restore the state machine from the snapshot, and read the log entries after it.

    Raises ``RainsailError`` or ``CodecError`` when either can't be read completely.
    """
    log = LogWindow()
    meta = storage.snapshot_meta
    if meta is not None:
        state_machine.restore(verified_chunks(storage.read_snapshot()))
        membership = membership_of_payload(meta.membership)
        log = LogWindow(meta.last_index, meta.last_term, membership or EMPTY_MEMBERSHIP)
    index = log.last_index + 1
    while index <= storage.last_index:
        for entry in storage.entries(index, storage.last_index, READ_BYTES):
            log.append(entry)
        index = log.last_index + 1
    return log
