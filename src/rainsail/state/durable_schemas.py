"""Fingerprint of the schemas of all durable records, stored in each data folder.

Records are stored without their schema, so a folder written with other schemas could be misread
without an error. A process refuses a data folder whose fingerprint differs from its own.
"""

import importlib
import pkgutil
from functools import cache

from rainsail.wire.codec import protocol_fingerprint

_PACKAGE = "rainsail.state"
_MEMBERSHIP_MODULE = "rainsail.consensus.membership"


def all_durable_modules() -> tuple[str, ...]:
    """Return all modules of ``rainsail.state`` and the module of the membership record."""
    package = importlib.import_module(_PACKAGE)
    names = [f"{_PACKAGE}.{module.name}" for module in pkgutil.iter_modules(package.__path__)]
    return (*names, _MEMBERSHIP_MODULE)


@cache
def durable_fingerprint(modules: tuple[str, ...] | None = None) -> str:
    """Import the modules that define durable records and return their schemas' CRC-32C in hex.

    None stands for all such modules; a node that stores only some kinds of records names theirs.
    """
    modules = all_durable_modules() if modules is None else modules
    for name in modules:
        importlib.import_module(name)
    return f"{protocol_fingerprint(modules):08x}"
