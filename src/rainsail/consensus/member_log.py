"""What a member tells the operator in its log."""

from rainsail.consensus.effects import AcknowledgedLost, SnapshotRefused
from rainsail.consensus.messages import GroupMessage
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger


def log_acknowledged_lost(lost: AcknowledgedLost) -> None:
    """Say which disk has to be replaced."""
    logger.error(
        "{} lost entries that it had acknowledged as synced: it holds {} of {}; replace its disk",
        lost.replica,
        lost.holds_index,
        lost.acknowledged_index,
    )


def log_snapshot_refused(refused: SnapshotRefused) -> None:
    """Say which leader has sent something else than the snapshot it expected of."""
    logger.error(
        "snapshot at {} from {} refused: {} received, {} expected; it is asked for anew",
        refused.last_index,
        refused.replica,
        refused.received,
        refused.expected,
    )


def log_snapshot_unreadable(index: int, replica: str, fault: Fault) -> None:
    """Say which snapshot can't be read."""
    logger.error("snapshot at {} can't be read for {}: {}", index, replica, fault)


def log_unknown_sender(source: str, message: GroupMessage) -> None:
    """Say who speaks consensus without being one of the group's replicas."""
    detail = f"{type(message).__name__} from a process that is no replica of the group"
    logger.warning(str(Fault(FaultCode.FORBIDDEN, "consensus.receive", detail, source)))
