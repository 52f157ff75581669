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


@cache
def durable_fingerprint() -> str:
    """Import the modules that define durable records and return their schemas' CRC-32C in hex."""
    package = importlib.import_module(_PACKAGE)
    names = [f"{_PACKAGE}.{module.name}" for module in pkgutil.iter_modules(package.__path__)]
    modules = (*names, _MEMBERSHIP_MODULE)
    for name in modules:
        importlib.import_module(name)
    return f"{protocol_fingerprint(modules):08x}"
