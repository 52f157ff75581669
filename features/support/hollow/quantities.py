"""What a phase of a run cost a role beyond the idle rate."""

from features.support.hollow.control_run import PhaseCost
from features.support.hollow.meter import Totals, Traffic

CONFIGURATION = "Config"
"""Prefix of the messages that carry configuration to nodes."""


def added_by(idle: PhaseCost, busy: PhaseCost, role: str, prefix: str = "") -> Totals:
    """Return what a phase cost a role beyond the idle rate.

    Messages and bytes are in one entry, of the message types whose name starts with ``prefix``.
    """
    before: Totals = getattr(idle, role)
    during: Totals = getattr(busy, role)
    share = busy.seconds / idle.seconds
    messages = named_messages(during, prefix) - named_messages(before, prefix) * share
    size = named_bytes(during, prefix) - named_bytes(before, prefix) * share
    traffic = Traffic(round(messages), round(size))
    return Totals(during.processor_s - before.processor_s * share, {"added": traffic})


def named_bytes(totals: Totals, prefix: str) -> int:
    """Return the bytes of the message types whose name starts so."""
    return sum(each.bytes for name, each in totals.traffic.items() if name.startswith(prefix))


def named_messages(totals: Totals, prefix: str) -> int:
    """Return the messages of the message types whose name starts so."""
    return sum(each.messages for name, each in totals.traffic.items() if name.startswith(prefix))
