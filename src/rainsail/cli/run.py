"""``rainsail run`` and ``rainsail up``: start server processes from a settings file."""

import importlib

from rainsail.cli.settings import checked_settings


def run(settings: str, set: str = "") -> None:
    """Run one process in the roles listed in its settings, until SIGTERM.

    Args:
        settings: The TOML settings file of this process.
        set: Overrides a setting, as key.path=value; may be repeated.
    """
    importlib.import_module("rainsail.assembly.daemon").run(checked_settings(settings, set))


def up(settings: str, set: str = "") -> None:
    """Run all roles of a fleet in one process, until SIGTERM.

    Args:
        settings: The TOML settings file of the fleet.
        set: Overrides a setting, as key.path=value; may be repeated.
    """
    importlib.import_module("rainsail.assembly.embedded").run(checked_settings(settings, set))
