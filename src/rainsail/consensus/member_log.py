"""Log lines of a consensus member for the operator."""

from rainsail.consensus.effects import AcknowledgedLost, SnapshotOrder, SnapshotRefused
from rainsail.consensus.messages import GroupMessage
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger


def log_acknowledged_lost(lost: AcknowledgedLost) -> None:
    """Log which replica's disk has to be replaced."""
    logger.error(
        "{} lost entries that it had acknowledged as synced: it holds {} of {}; replace its disk",
        lost.replica,
        lost.holds_index,
        lost.acknowledged_index,
    )


def log_snapshot_refused(refused: SnapshotRefused) -> None:
    """Log which leader has sent chunks that don't match the checksum of its snapshot."""
    logger.error(
        "snapshot at {} from {} refused: received {}, expected {}; requesting it again",
        refused.last_index,
        refused.replica,
        refused.received,
        refused.expected,
    )


def log_snapshot_unreadable(index: int, replica: str, fault: Fault) -> None:
    """Log which snapshot can't be read for which follower."""
    logger.error("snapshot at {} can't be read for {}: {}", index, replica, fault)


def log_transfer_stalled(order: SnapshotOrder, last_index: int, stalled_s: float) -> None:
    """Log which follower does not get on with the snapshot, and at which part."""
    log = logger.bind(replica=order.replica, last_index=last_index, offset=order.offset)
    log.bind(stalled_s=round(stalled_s, 1)).warning("snapshot_transfer_stalled")


def log_unknown_sender(source: str, message: GroupMessage) -> None:
    """Log a consensus message from a process that is no replica of the group."""
    detail = f"{type(message).__name__} from a process that is no replica of the group"
    logger.warning(str(Fault(FaultCode.FORBIDDEN, "consensus.receive", detail, source)))
