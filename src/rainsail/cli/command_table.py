"""Table of the command groups; a module is imported only when its group is invoked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CommandGroup:
    """Import path of a group's commands (``module:object``) and a one-line summary.

    With ``text_arguments``, every value is passed to the command as typed; without it, ``fire``
    parses values as Python literals such as numbers and lists.
    """

    target: str
    summary: str
    text_arguments: bool = False


COMMAND_GROUPS: dict[str, CommandGroup] = {
    "run": CommandGroup(
        "rainsail.cli.run:run",
        "run one process in the roles listed in its settings",
        text_arguments=True,
    ),
    "up": CommandGroup(
        "rainsail.cli.run:up", "run a whole fleet in one process", text_arguments=True
    ),
    "node": CommandGroup(
        "rainsail.cli.node:node", "run nodes of a relaying fleet", text_arguments=True
    ),
    "demo": CommandGroup("rainsail.cli.demo:demo", "run the demonstration and check its outcome"),
    "settings": CommandGroup(
        "rainsail.cli.settings:SettingsCommands", "check settings files", text_arguments=True
    ),
    "keys": CommandGroup(
        "rainsail.cli.keys:KeyCommands", "create certificates and API keys", text_arguments=True
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
        "rainsail.cli.drain:drain", "drain a runner, gateway or replica", text_arguments=True
    ),
    "status": CommandGroup(
        "rainsail.cli.status:status", "show the health of the fleet", text_arguments=True
    ),
    "explain": CommandGroup(
        "rainsail.cli.explain:explain",
        "show why a request was routed to its runner",
        text_arguments=True,
    ),
    "story": CommandGroup(
        "rainsail.cli.story:story",
        "show what happened to a request or job, from node logs",
        text_arguments=True,
    ),
    "account": CommandGroup(
        "rainsail.cli.account:account",
        "show where items and requests spent their time, from node logs",
        text_arguments=True,
    ),
    "storage": CommandGroup("rainsail.cli.storage:StorageCommands", "read a data folder offline"),
    "check": CommandGroup("rainsail.cli.check:CheckCommands", "run checkers over histories"),
    "simulate": CommandGroup("rainsail.cli.simulate:simulate", "run a simulated fleet with faults"),
    "defects": CommandGroup("rainsail.cli.simulate:defects", "list the known-bad variants"),
    "trace": CommandGroup("rainsail.cli.trace:TraceCommands", "record, show and generate traces"),
    "replay": CommandGroup(
        "rainsail.cli.trace:replay", "replay a trace and check the expected outcomes"
    ),
    "experiment": CommandGroup(
        "rainsail.cli.experiment:experiment", "compare batch policies on one trace"
    ),
    "bench": CommandGroup("rainsail.cli.bench:BenchCommands", "run benchmarks"),
}
