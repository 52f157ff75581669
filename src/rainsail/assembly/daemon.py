"""``rainsail run``: one process with the roles that its settings name."""

import sys

from rainsail.assembly.emulator import EmulatorRole
from rainsail.assembly.process import Process
from rainsail.assembly.roles import GatewayRole, ReplicaRole
from rainsail.settings.model import ProcessSettings
from rainsail.settings.process import EngineEntry, GatewayEntry, RoleName
from rainsail.wire.address import parse_address


def run(settings: ProcessSettings) -> None:
    """Run the process until it is stopped, then exit with its exit code."""
    from twisted.internet import reactor

    process = Process(settings, reactor)
    build_roles(settings, process, reactor)
    sys.exit(process.run())


def build_roles(settings: ProcessSettings, process: Process, reactor: object) -> None:
    """Add to a process the roles that the settings name."""
    roles = settings.process.roles
    if RoleName.EMULATOR in roles and settings.engines:
        process.roles.append(EmulatorRole(settings, _own_engines(settings), reactor))
    if RoleName.REPLICA in roles:
        process.roles.append(_replica_role(settings, process, reactor))
    if RoleName.GATEWAY in roles:
        process.roles.append(GatewayRole(settings, _gateway_entry(settings), reactor))


def _replica_role(settings: ProcessSettings, process: Process, reactor: object) -> ReplicaRole:
    entry = next(each for each in settings.replicas if each.name == settings.process.name)
    operator_address = parse_address(settings.addresses.operator_api)
    folder = settings.process.data_folder
    role = ReplicaRole(settings, entry, operator_address, folder, reactor)
    role.node.on_fatal(process.fail)
    return role


def _own_engines(settings: ProcessSettings) -> tuple[EngineEntry, ...]:
    names = (None, settings.process.name)
    return tuple(entry for entry in settings.engines if entry.process in names)


def _gateway_entry(settings: ProcessSettings) -> GatewayEntry:
    own = settings.process
    return GatewayEntry(
        name=own.name,
        region=own.region,
        zone=own.zone,
        caller_api=settings.addresses.caller_api,
        address=settings.addresses.internal,
    )
