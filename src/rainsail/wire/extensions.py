"""Extensions of the protocol: records that peers of earlier versions do not know.

A record of an unknown type ends a connection, and the hello compares only the schemas that all
versions share. A process therefore announces on each connection which extensions it knows, and
sends the records of an extension only to peers that have announced it.

The announcement is a ``LinkHello`` in a one-way envelope with the level in the place of the
fingerprint: peers of earlier versions decode it and have no handler for it.
"""

from rainsail.wire.hello import LinkHello
from rainsail.wire.messenger import Envelope, EnvelopeKind, ProcessName

NO_EXTENSIONS = 0
STREAM_ORIGINS = 1
"""The software versions of runners, and the origins of streams."""
PART_NAMES = 2
"""The names of suspected prompt parts."""
HOLD_TRIALS = 3
"""The ages of runs at a crash, and permits for trial runs of held requests."""
RUNNER_DOUBTS = 4
"""Runners that other nodes have found crashed."""
SERVICE_VERSIONS = 5
"""The software versions of services, as a quorum of controllers knows them."""
RESET_RUNS = 6
"""The runs at a crashed runner that had ended before its crash."""
TRIAL_PERMITS = 7
"""Numbered permits for trial runs, of which the sender tells how they ended."""
FAILED_TRIALS = 8
"""Trials that failed before a controller started."""
SNAPSHOT_PARTS = 9
"""Snapshots in parts that are smaller than their chunks."""
EXTENSION_LEVEL = SNAPSHOT_PARTS
"""The highest extension that this process knows; it knows all lower ones too."""


def announcement(process: ProcessName, fleet: str) -> Envelope:
    """Return the announcement of this process's extensions."""
    return Envelope(EnvelopeKind.ONE_WAY, 0, LinkHello(process, fleet, EXTENSION_LEVEL))


def announced_level(envelope: Envelope) -> int | None:
    """Return the level that an envelope announces; None if it is another message."""
    message = envelope.message
    return message.protocol_fingerprint if isinstance(message, LinkHello) else None
