"""The resources of a fleet of some size, and the changes that operators and runners make."""

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


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How large a fleet is."""

    nodes: int
    runners: int
    regions: int
    zones: int
    tenants: int
    models: int = 6

    def zone(self, number: int) -> str:
        """Return the zone of the node or runner ``number``."""
        return f"zone-{number % self.zones}"

    def region(self, number: int) -> str:
        """Return the region of the node or runner ``number``."""
        return f"region-{number % self.zones % self.regions}"

    @property
    def resources(self) -> int:
        """Resources of such a fleet."""
        return self.nodes + self.runners + self.tenants + self.models


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"node-{number:04d}"


def incarnation(number: int, start: int) -> str:
    """Return the incarnation of a node's start."""
    return f"{number:08x}{start:08x}"


def gateway_spec(size: FleetSize, number: int, start: int) -> GatewaySpec:
    """Return what a node registers."""
    return GatewaySpec(size.region(number), size.zone(number), incarnation(number, start))


def runner_spec(size: FleetSize, number: int, slots: int = BATCH_SLOTS) -> RunnerSpec:
    """Return a runner's spec."""
    address = f"http://10.{number // 65536}.{number // 256 % 256}.{number % 256}:9000"
    service = f"model-{number % size.models}"
    zone, region = size.zone(number), size.region(number)
    return RunnerSpec(address, region, zone, service, batch_slots=slots)


def runner_version(size: FleetSize, number: int) -> str:
    """Return the version that the runner ``number`` serves."""
    return f"model-{number % size.models}-v1"


def version_at(size: FleetSize, address: str) -> str:
    """Return the version that the runner at an address serves."""
    host = address.removeprefix("http://").partition(":")[0]
    _, high, middle, low = (int(part) for part in host.split("."))
    return runner_version(size, high * 65536 + middle * 256 + low)


def tenant_spec(rate: float = 1e6) -> TenantSpec:
    """Return a tenant's spec."""
    return TenantSpec(rate, 10.0 * rate, key_hashes=(KEY_HASH,))


def runner_name(number: int) -> str:
    """Return the name of a runner."""
    return f"runner-{number:05d}"


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number:04d}"


def declarations(size: FleetSize) -> Iterator[Command]:
    """Yield the commands that declare the fleet: nodes, tenants, ready runners, services."""
    for number in range(size.nodes):
        yield _put(Kind.GATEWAY, node_name(number), gateway_spec(size, number, 0))
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


def operator_change(size: FleetSize, number: int) -> PutResource:
    """Return an operator's change: a tenant's limits, or every other time a runner's slots."""
    change_id = f"change-{number}"
    if number % 2:
        target = number * 7919 % size.runners
        spec = runner_spec(size, target, BATCH_SLOTS + 1 + number % 8)
        return PutResource(change_id, ResourceKey(Kind.RUNNER, runner_name(target)), spec)
    target = number * 7919 % size.tenants
    key = ResourceKey(Kind.TENANT, tenant_name(target))
    return PutResource(change_id, key, tenant_spec(1e6 + number))


def _put(kind: Kind, name: str, spec: Spec) -> PutResource:
    return PutResource(f"declare/{kind}/{name}", ResourceKey(kind, name), spec)
