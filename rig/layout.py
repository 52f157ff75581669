"""Layout of a site's processes: one loopback IP address and one settings file each.

Names, zones and resources are those of ``examples/SITE``; each process gets its own IP
address under 127.0.0.0/8, as on separate machines, so no two rigs share a port.
"""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from rainsail.cli.resource_files import DeclaredResource, read_resources
from rainsail.resources.specs import Kind
from rig.toml import Tree, write_toml

SITE_NAMES = ("guayaquil", "taoyuan")
EXAMPLES = Path(__file__).parent.parent / "examples"
INTERNAL_PORT = 7300
OPERATOR_PORT = 7301
CALLER_PORT = 7302
STATUS_PORT = 7309
MACHINE_LIST_PORT = 7310
ENGINE_PORT = 7400
FIRST_REPLICA, FIRST_GATEWAY, FIRST_PLATFORM, FIRST_ENGINE = 1, 21, 41, 101
BATCH_SLOTS = 6
ENGINE = {"max_running": BATCH_SLOTS, "tokens_per_chunk": 4}
"""A small batch, so that a burst of jobs fills every engine."""
MACHINE_LIST_PROCESS = "machines"


class ProcessKind(StrEnum):
    """The role of a process of the rig."""

    REPLICA = "replica"
    GATEWAY = "gateway"
    PLATFORM = "emulator"


@dataclass(frozen=True, slots=True)
class ProcessPlan:
    """One process: its name, IP address and files."""

    name: str
    kind: ProcessKind
    zone: str
    host: str
    settings_file: Path
    data_folder: Path

    def url(self, port: int) -> str:
        """Return the base URL of one of its ports."""
        return f"http://{self.host}:{port}"


@dataclass(frozen=True, slots=True)
class RigOptions:
    """How a rig differs from the example: folder, engine processes and settings overrides."""

    site: str
    folder: Path
    engine_processes: bool
    overrides: Mapping[str, Mapping[str, Any]]


class SiteLayout:
    """The processes of a site and what its operators declare."""

    def __init__(self, options: RigOptions) -> None:
        self.site = options.site
        self.folder = options.folder
        self.keys_folder = options.folder / "keys"
        self._options = options
        self._prefix = _own_network()
        source = EXAMPLES / options.site
        self._tree: Tree = tomllib.loads((source / "fleet.toml").read_text())
        self._declared = read_resources(source / "resources.toml")
        self.replicas = self._plans("replicas", "name", ProcessKind.REPLICA, FIRST_REPLICA)
        self.gateways = self._plans("gateways", "name", ProcessKind.GATEWAY, FIRST_GATEWAY)
        self.platform = self._platform_plans()
        self.operator_key = f"{options.site}-operator-example-key"
        self.tenants = tuple(each.name for each in self._declared if each.kind == Kind.TENANT)

    @property
    def processes(self) -> tuple[ProcessPlan, ...]:
        """Every process."""
        return (*self.replicas, *self.gateways, *self.platform)

    @property
    def machine_list_url(self) -> str:
        """The base URL of the platform's machine list."""
        return self.platform[-1].url(MACHINE_LIST_PORT)

    def tenant_key(self, tenant: str) -> str:
        """Return a tenant's API key as the examples give it."""
        return f"{tenant}-example-key"

    def runners(self) -> tuple[str, ...]:
        """Return the names of all runners."""
        return tuple(entry["runner"] for entry in self._tree["engines"])

    def resources(self) -> list[DeclaredResource]:
        """Return what the operators declare, with the addresses of this rig."""
        hosts = {entry["runner"]: entry["address"] for entry in self._engines()}
        found = []
        for each in self._declared:
            spec = dict(each.spec)
            if each.kind == Kind.RUNNER:
                spec["address"] = f"http://{hosts[each.name]}"
                spec["batch_slots"] = min(BATCH_SLOTS, spec.get("batch_slots", BATCH_SLOTS))
            found.append(DeclaredResource(each.kind, each.name, spec))
        return found

    def write_settings(self) -> None:
        """Write the settings file of every process."""
        for plan in self.processes:
            plan.settings_file.parent.mkdir(parents=True, exist_ok=True)
            write_toml(plan.settings_file, self._settings(plan))

    # --- processes ------------------------------------------------------------------------

    def _plans(
        self, section: str, key: str, kind: ProcessKind, first: int
    ) -> tuple[ProcessPlan, ...]:
        entries = self._tree[section]
        return tuple(
            self._plan(entry[key], kind, entry["zone"], first + number)
            for number, entry in enumerate(entries)
        )

    def _plan(self, name: str, kind: ProcessKind, zone: str, number: int) -> ProcessPlan:
        folder = self.folder
        settings_file = folder / "settings" / f"{name}.toml"
        host = f"{self._prefix}.{number}"
        return ProcessPlan(name, kind, zone, host, settings_file, folder / "data" / name)

    def _platform_plans(self) -> tuple[ProcessPlan, ...]:
        """One process per engine or per zone, and one with the machine list."""
        names = {self._engine_process(entry): entry["zone"] for entry in self._tree["engines"]}
        names[MACHINE_LIST_PROCESS] = self._tree["process"]["zone"]
        return tuple(
            self._plan(name, ProcessKind.PLATFORM, zone, FIRST_PLATFORM + number)
            for number, (name, zone) in enumerate(names.items())
        )

    def _engine_process(self, entry: Tree) -> str:
        if self._options.engine_processes:
            return f"engine-{entry['runner']}"
        return f"engines-{entry['zone']}"

    def _engines(self) -> list[Tree]:
        return [
            {
                **entry,
                "address": f"{self._prefix}.{FIRST_ENGINE + number}:{ENGINE_PORT}",
                "process": self._engine_process(entry),
            }
            for number, entry in enumerate(self._tree["engines"])
        ]

    # --- settings -------------------------------------------------------------------------

    def _settings(self, plan: ProcessPlan) -> Tree:
        tree: dict[str, Any] = {
            "process": self._process_section(plan),
            "addresses": self._address_section(plan),
            "platform": {"machine_list": f"{self.platform[-1].host}:{MACHINE_LIST_PORT}"},
            "emulator": {"record_executions": True},
            "engine": ENGINE,
        }
        for name in ("control", "batch"):
            tree[name] = dict(self._tree.get(name, {}))
        for name, section in self._options.overrides.items():
            tree[name] = {**tree.get(name, {}), **section}
        if plan.kind != ProcessKind.PLATFORM:
            tree["tls"] = self._tls_section(plan)
        tree["replicas"] = [self._replica_entry(entry) for entry in self._tree["replicas"]]
        tree["engines"] = self._engines() if plan.kind == ProcessKind.PLATFORM else []
        return tree

    def _process_section(self, plan: ProcessPlan) -> Tree:
        own = self._tree["process"]
        return {
            "name": plan.name,
            "fleet": own["fleet"],
            "region": own["region"],
            "zone": plan.zone,
            "roles": [plan.kind.value],
            "data_folder": str(plan.data_folder),
        }

    def _address_section(self, plan: ProcessPlan) -> Tree:
        section = {
            "internal": f"{plan.host}:{INTERNAL_PORT}",
            "operator_api": f"{plan.host}:{OPERATOR_PORT}",
            "caller_api": f"{plan.host}:{CALLER_PORT}",
            "status": f"{plan.host}:{STATUS_PORT}",
        }
        if plan.name == MACHINE_LIST_PROCESS:
            section["machine_list"] = f"{plan.host}:{MACHINE_LIST_PORT}"
        return section

    def _replica_entry(self, entry: Tree) -> Tree:
        host = next(plan.host for plan in self.replicas if plan.name == entry["name"])
        kept = {key: entry[key] for key in ("name", "region", "zone")}
        return {**kept, "address": f"{host}:{INTERNAL_PORT}"}

    def _tls_section(self, plan: ProcessPlan) -> Tree:
        return {
            "authority_file": str(self.keys_folder / "authority.pem"),
            "certificate_file": str(self.keys_folder / f"{plan.name}.pem"),
            "private_key_file": str(self.keys_folder / f"{plan.name}.key"),
        }


def _own_network() -> str:
    """Return the first three octets of this process's own part of 127.0.0.0/8."""
    number = os.getpid() & 0xFFFF
    return f"127.{64 + number // 256 % 128}.{number % 256}"
