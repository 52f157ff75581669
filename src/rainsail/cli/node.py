"""``rainsail node``: run nodes of a fleet that relays, one or several in this process."""

from pathlib import Path

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input


def node(*files: str) -> None:
    """Run the node of each settings file until SIGTERM or Ctrl-C.

    Several files make a fleet in one process, for a try on one machine. The nodes speak the
    product's own interface; a platform's adapter starts them with its own.

    Args:
        files: Settings files, see docs/SETTINGS.md, second part.
    """
    if not files:
        raise bad_input("name at least one settings file")
    from rainsail.fleet.process import EXIT_DONE, run_nodes
    from rainsail.fleet_api.port import make_native_port

    code = run_nodes([Path(file) for file in files], make_native_port())
    if code != EXIT_DONE:
        raise CommandEnd(ExitCode.FAILED, "a node has failed, see the lines above")
