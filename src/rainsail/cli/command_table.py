"""The command groups; each module is imported only when its group is invoked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommandGroup:
    """Where a group's commands are (``module:object``) and one line about them.

    With ``text_arguments`` every value reaches the command as the text that was typed; without
    it ``fire`` reads numbers, lists and the like.
    """

    target: str
    summary: str
    text_arguments: bool = False


COMMAND_GROUPS: dict[str, CommandGroup] = {
    "run": CommandGroup(
        "rainsail.cli.run:run",
        "run one process in the roles its settings name",
        text_arguments=True,
    ),
    "up": CommandGroup(
        "rainsail.cli.run:up", "run a whole fleet in one process", text_arguments=True
    ),
    "node": CommandGroup(
        "rainsail.cli.node:node", "run nodes of a fleet that relays", text_arguments=True
    ),
    "demo": CommandGroup("rainsail.cli.demo:demo", "run the demonstration and check its outcome"),
    "settings": CommandGroup(
        "rainsail.cli.settings:SettingsCommands", "check settings files", text_arguments=True
    ),
    "keys": CommandGroup(
        "rainsail.cli.keys:KeyCommands", "make certificates and API keys", text_arguments=True
    ),
    "resource": CommandGroup(
        "rainsail.cli.resource:ResourceCommands",
        "declare, read and watch resources",
        text_arguments=True,
    ),
    "job": CommandGroup(
        "rainsail.cli.job:JobCommands", "submit, follow and cancel batch jobs", text_arguments=True
    ),
    "drain": CommandGroup(
        "rainsail.cli.drain:drain", "ask a runner, gateway or replica to leave", text_arguments=True
    ),
    "status": CommandGroup(
        "rainsail.cli.status:status", "show the health of the fleet", text_arguments=True
    ),
    "explain": CommandGroup(
        "rainsail.cli.explain:explain", "show why a request was routed so", text_arguments=True
    ),
    "story": CommandGroup(
        "rainsail.cli.story:story",
        "tell what happened to a request or job, from nodes' logs",
        text_arguments=True,
    ),
    "account": CommandGroup(
        "rainsail.cli.account:account",
        "tell where items and requests lost their time, from nodes' logs",
        text_arguments=True,
    ),
    "storage": CommandGroup("rainsail.cli.storage:StorageCommands", "read a data folder offline"),
    "check": CommandGroup("rainsail.cli.check:CheckCommands", "run checkers over histories"),
    "simulate": CommandGroup("rainsail.cli.simulate:simulate", "run a simulated fleet with faults"),
    "defects": CommandGroup("rainsail.cli.simulate:defects", "list the known-bad variants"),
    "trace": CommandGroup("rainsail.cli.trace:TraceCommands", "record, show and generate traces"),
    "replay": CommandGroup("rainsail.cli.trace:replay", "replay a trace against stated outcomes"),
    "experiment": CommandGroup(
        "rainsail.cli.experiment:experiment", "compare batch policies on one trace"
    ),
    "bench": CommandGroup("rainsail.cli.bench:BenchCommands", "run the benches"),
}
