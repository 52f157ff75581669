"""``rainsail node``: runs one or several nodes of a relaying fleet in this process."""

from pathlib import Path

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input


def node(*files: str) -> None:
    """Run the node of each settings file until SIGTERM or Ctrl-C.

    Several files run a whole fleet in one process, for trials on one machine. The nodes use the
    native interface; the adapter of a platform starts them with the platform's interface instead.

    Args:
        files: Settings files of the nodes; see docs/SETTINGS.md, second part.
    """
    if not files:
        raise bad_input("expected at least one settings file")
    from rainsail.fleet.process import EXIT_DONE, run_nodes
    from rainsail.fleet_api.port import make_native_port

    code = run_nodes([Path(file) for file in files], make_native_port())
    if code != EXIT_DONE:
        raise CommandEnd(ExitCode.FAILED, "a node failed; see the log lines above")
