"""The fingerprint of the records that logs and snapshots hold, kept with every data folder.

Records are read without the schema that they were written with, so a folder of other schemas could
be misread without an error. A program refuses a folder whose fingerprint is not its own.
"""

import importlib
import pkgutil
from functools import cache

from rainsail.wire.codec import protocol_fingerprint

_PACKAGE = "rainsail.state"
_MEMBERSHIP_MODULE = "rainsail.consensus.membership"


def all_durable_modules() -> tuple[str, ...]:
    """Return every module of the package of states, and the one of memberships."""
    package = importlib.import_module(_PACKAGE)
    names = [f"{_PACKAGE}.{module.name}" for module in pkgutil.iter_modules(package.__path__)]
    return (*names, _MEMBERSHIP_MODULE)


@cache
def durable_fingerprint(modules: tuple[str, ...] | None = None) -> str:
    """Import the modules that define durable records and return their schemas' CRC-32C in hex.

    None stands for all of them; a node that keeps only some kinds of records names their modules.
    """
    modules = all_durable_modules() if modules is None else modules
    for name in modules:
        importlib.import_module(name)
    return f"{protocol_fingerprint(modules):08x}"
