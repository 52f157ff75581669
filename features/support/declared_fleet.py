"""The resources that declare a fleet of some size: nodes, tenants, ready runners and services."""

from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    ModelVersionSpec,
    ResourceKey,
    RunnerSpec,
    RunnerStatus,
    ServiceSpec,
    Spec,
    TenantSpec,
)
from rainsail.state.commands import ANY_REVISION, Command, PutResource, PutStatus

KEY_HASH = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
"""A hex SHA-256, as long as each tenant's."""
BATCH_SLOTS = 16
WEIGHT_BYTES = 140_000_000_000
TENANT_RATE = 1e6
"""Tokens a second: more than any of the features uses."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many of each kind there are; nodes and runners go to the zones in turn."""

    nodes: int
    runners: int
    zones: int
    tenants: int
    models: int

    def zone(self, number: int) -> str:
        """Return the zone of the node or runner ``number``."""
        return f"zone-{number % self.zones}"


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"node-{number:04d}"


def runner_name(number: int) -> str:
    """Return the name of a runner."""
    return f"runner-{number:05d}"


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number:04d}"


def gateway_spec(size: FleetSize, number: int) -> GatewaySpec:
    """Return what a node registers."""
    return GatewaySpec("region-0", size.zone(number), f"{number:08x}")


def runner_spec(size: FleetSize, number: int, batch_slots: int = BATCH_SLOTS) -> RunnerSpec:
    """Return a runner's spec; each runner has an address of its own."""
    address = f"http://10.{number // 65536}.{number // 256 % 256}.{number % 256}:9000"
    service = f"model-{number % size.models}"
    return RunnerSpec(address, "region-0", size.zone(number), service, batch_slots=batch_slots)


def runner_version(size: FleetSize, number: int) -> str:
    """Return the version that the runner ``number`` serves."""
    return f"model-{number % size.models}-v1"


def tenant_spec(rate: float = TENANT_RATE) -> TenantSpec:
    """Return a tenant's spec; ``rate`` is in tokens a second."""
    return TenantSpec(rate, 10.0 * rate, key_hashes=(KEY_HASH,))


def declarations(size: FleetSize) -> Iterator[Command]:
    """Yield the commands that declare the fleet: nodes, tenants, ready runners, services."""
    for number in range(size.nodes):
        yield _put(Kind.GATEWAY, node_name(number), gateway_spec(size, number))
    for number in range(size.tenants):
        yield _put(Kind.TENANT, tenant_name(number), tenant_spec())
    for number in range(size.runners):
        yield _put(Kind.RUNNER, runner_name(number), runner_spec(size, number))
    for number in range(size.runners):
        key = ResourceKey(Kind.RUNNER, runner_name(number))
        status = RunnerStatus(loaded_version=runner_version(size, number), fence=1, ready=True)
        yield PutStatus(key, status, (), ANY_REVISION)
    for number in range(size.models):
        service, version = f"model-{number}", runner_version(size, number)
        weights = ModelVersionSpec(service, f"store/{version}", WEIGHT_BYTES)
        yield _put(Kind.MODEL_VERSION, version, weights)
        runners = max(1, size.runners // size.models)
        yield _put(Kind.SERVICE, service, ServiceSpec(version, runners))


def _put(kind: Kind, name: str, spec: Spec) -> PutResource:
    return PutResource(f"declare/{kind}/{name}", ResourceKey(kind, name), spec)
