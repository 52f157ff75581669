"""The modules that define the messages between processes, and the fingerprint of their schemas.

Processes of different roles import different parts of the program. The fingerprint therefore
covers exactly the modules listed here, in every process.
"""

import importlib
from functools import cache

from rainsail.wire.codec import protocol_fingerprint

PROTOCOL_MODULES = (
    "rainsail.consensus.group_status",
    "rainsail.consensus.membership",
    "rainsail.consensus.messages",
    "rainsail.control.messages",
    "rainsail.resources.specs",
    "rainsail.state.command_basics",
    "rainsail.state.commands",
    "rainsail.state.session_commands",
    "rainsail.wire.hello",
)

FLEET_PROTOCOL_MODULES = (
    "rainsail.cluster.messages",
    "rainsail.jobs.messages",
    "rainsail.routing.messages",
    "rainsail.state.job_commands",
    "rainsail.tenancy.messages",
    "rainsail.wire.hello",
)
"""Messages of every node of a relaying fleet; group members check their own records separately."""


@cache
def transport_fingerprint(modules: tuple[str, ...] = PROTOCOL_MODULES) -> int:
    """Import the protocol's modules and return the CRC-32C over their schemas."""
    for name in modules:
        importlib.import_module(name)
    return protocol_fingerprint(modules)
