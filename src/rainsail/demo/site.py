"""The Guayaquil fleet of the demonstration: settings of every role, and what operators declare."""

import socket
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from rainsail.batch.settings import THROUGHPUT_BATCH_WEIGHT
from rainsail.control.operator_auth import key_hash
from rainsail.resources.specs import Kind, RequestClass
from rainsail.settings.model import ProcessSettings

SITE = "guayaquil"
REGION = "gye"
ZONES = ("gye-a", "gye-b", "gye-c")
REPLICA_ZONES = ("gye-a", "gye-a", "gye-b", "gye-b", "gye-c")
REPORTS = "reports"
POSITIONS = "positions"
REPORTS_RUNNERS = 6
POSITIONS_RUNNERS = 3
TENANTS = ("exporter", "broker", "port-agent")
BATCH_TENANT = "exporter"

_HOST = "127.0.0.1"
_FIRST_PORT = 20_000
_PORT_LIMIT = 32_000
"""Below the range from which Linux takes the ports of outgoing connections."""
_WEIGHT_BYTES = 2_000_000_000
_WEIGHT_STORE_BYTES_PER_S = 4e10
"""Twenty times the default, and all loads at once: runners are ready within seconds."""
_TOKENS_PER_CHUNK = 8
_TENANT_TOKENS_PER_S = 50_000.0
_TENANT_BURST_TOKENS = 400_000.0


class NoFreePorts(OSError):
    """Loopback has too few free ports for the fleet."""


@dataclass(frozen=True, slots=True)
class DemoResource:
    """One resource as an operator declares it."""

    kind: Kind
    name: str
    spec: dict[str, Any]


@dataclass(frozen=True, slots=True)
class DemoSite:
    """The fleet: its process settings and the keys of its users."""

    settings: ProcessSettings
    operator_key: str
    tenant_keys: dict[str, str]

    @property
    def operator_apis(self) -> tuple[str, ...]:
        """Base URLs of the replicas' operator APIs."""
        return tuple(f"http://{entry.operator_api}" for entry in self.settings.replicas)

    @property
    def caller_apis(self) -> dict[str, str]:
        """Base URL of each gateway's caller API, by gateway."""
        return {entry.name: f"http://{entry.caller_api}" for entry in self.settings.gateways}


def free_ports(count: int, draw: Random) -> list[int]:
    """Return ``count`` ports of loopback on which nothing listens; raises ``NoFreePorts``."""
    first = draw.randrange(_FIRST_PORT, _PORT_LIMIT)
    found: list[int] = []
    for port in [*range(first, _PORT_LIMIT), *range(_FIRST_PORT, first)]:
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise NoFreePorts(f"only {len(found)} of {count} free ports on {_HOST}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True


def make_site(data_folder: Path, draw: Random) -> DemoSite:
    """Return the fleet on free ports, with fresh keys; raises ``NoFreePorts``."""
    engines = REPORTS_RUNNERS + POSITIONS_RUNNERS
    addresses = iter(
        f"{_HOST}:{port}"
        for port in free_ports(2 * len(REPLICA_ZONES) + len(ZONES) + engines, draw)
    )
    operator_key = f"{draw.getrandbits(128):032x}"
    settings = ProcessSettings(
        process={
            "name": "demo",
            "fleet": f"{SITE}-demo",
            "region": REGION,
            "zone": ZONES[0],
            "data_folder": data_folder,
        },
        control={"operator_key_hashes": (key_hash(operator_key),)},
        batch={"batch_weight": THROUGHPUT_BATCH_WEIGHT},
        controllers={"max_concurrent_loads": REPORTS_RUNNERS + POSITIONS_RUNNERS},
        engine={"tokens_per_chunk": _TOKENS_PER_CHUNK},
        weight_store={"bytes_per_second": _WEIGHT_STORE_BYTES_PER_S},
        logs={"print_level": "ERROR"},
        replicas=[
            {
                "name": f"replica-{number}",
                "region": REGION,
                "zone": zone,
                "address": next(addresses),
                "operator_api": next(addresses),
            }
            for number, zone in enumerate(REPLICA_ZONES, start=1)
        ],
        gateways=[
            {
                "name": f"gateway-{zone.removeprefix('gye-')}1",
                "region": REGION,
                "zone": zone,
                "caller_api": next(addresses),
            }
            for zone in ZONES
        ],
        engines=[
            *_engines(REPORTS, REPORTS_RUNNERS, "language_model", addresses),
            *_engines(POSITIONS, POSITIONS_RUNNERS, "position", addresses),
        ],
    )
    keys = {tenant: f"{draw.getrandbits(128):032x}" for tenant in TENANTS}
    return DemoSite(settings, operator_key, keys)


def _engines(service: str, count: int, preset: str, addresses: Any) -> list[dict[str, Any]]:
    return [
        {
            "runner": f"{service}-{number + 1}",
            "region": REGION,
            "zone": ZONES[number % len(ZONES)],
            "service": service,
            "address": next(addresses),
            "preset": preset,
        }
        for number in range(count)
    ]


def declared_resources(site: DemoSite) -> list[DemoResource]:
    """Return what the operators declare before there is traffic, in order.

    The tenants come last: a gateway that knows this start's keys knows all the rest too.
    """
    declared = _service(REPORTS, REPORTS_RUNNERS, RequestClass.ONLINE)
    declared += _service(POSITIONS, POSITIONS_RUNNERS, RequestClass.NON_REPEATABLE)
    for entry in site.settings.engines:
        spec = {
            "address": f"http://{entry.address}",
            "region": entry.region,
            "zone": entry.zone,
            "service": entry.service,
            "drain": False,
        }
        if entry.service == POSITIONS:
            spec["batch_slots"] = 0
        declared.append(DemoResource(Kind.RUNNER, entry.runner, spec))
    declared += [_tenant(tenant, key) for tenant, key in site.tenant_keys.items()]
    return declared


def session_resource(name: str, tenant: str) -> DemoResource:
    """Return the declaration of a tenant's session with the reports service."""
    return DemoResource(Kind.SESSION, name, {"tenant": tenant, "service": REPORTS})


def _tenant(name: str, key: str) -> DemoResource:
    spec = {
        "tokens_per_second": _TENANT_TOKENS_PER_S,
        "burst_tokens": _TENANT_BURST_TOKENS,
        "key_hashes": [key_hash(key)],
    }
    return DemoResource(Kind.TENANT, name, spec)


def _service(name: str, runners: int, default_class: RequestClass) -> list[DemoResource]:
    version = f"{name}-v1"
    weights = {"service": name, "weights": f"weights/{name}/v1", "weight_bytes": _WEIGHT_BYTES}
    spec = {
        "active_version": version,
        "runners": runners,
        "default_class": default_class.value,
        "batch_weight": THROUGHPUT_BATCH_WEIGHT,
    }
    return [
        DemoResource(Kind.MODEL_VERSION, version, weights),
        DemoResource(Kind.SERVICE, name, spec),
    ]
