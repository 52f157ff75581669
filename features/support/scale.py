"""Helpers of the scale features: small runs, and gateways of large fleets."""

from features.support.hollow.control_run import ControlRun, RunSettings
from features.support.hollow.gateway_run import LoneGateway
from features.support.hollow.workload import FleetSize, node_name, runner_spec

from rainsail.resources.specs import Kind, ResourceKey
from rainsail.state.commands import ANY_REVISION, DeleteResource, PutResource

SEED = 11


def control_run(nodes: int, runners: int, tenants: int, **settings) -> ControlRun:
    """Return a run of a small fleet in 2 regions and zones."""
    size = FleetSize(nodes, runners, 2, 2, tenants, 2)
    chosen = {"idle_s": 6.0, "changes": 6, "churn_s": 0.5, "gateways": 0, **settings}
    return ControlRun(size, SEED, RunSettings(**chosen))


def exact_figures(result) -> tuple:
    """Return everything of a result that depends on the seed alone."""
    phases = (result.idle, result.changing, result.churn)
    traffic = [
        sorted((name, each.messages, each.bytes) for name, each in totals.traffic.items())
        for phase in phases
        for totals in (phase.node, phase.leader, phase.followers)
    ]
    return traffic, result.applied_s, result.in_force_s, result.ready_after_s, result.list_bytes


class LargeFleetGateway(LoneGateway):
    """A gateway of a fleet of some zones; its own zone is that of node 0."""

    def __init__(self, zones: int, nodes: int, runners: int) -> None:
        super().__init__(FleetSize(nodes, runners, 1, zones, 4, 1), SEED)
        self.start()

    def followed(self) -> list[str]:
        """Return the names of the followed runners."""
        return [state.name for state in self.fleet.runners()]

    def sample(self) -> list[str]:
        """Return the followed runners of other zones."""
        zone = self.size.zone(0)
        return [state.name for state in self.fleet.runners() if state.spec.zone != zone]

    def reports(self) -> int:
        """Return the load reports received so far."""
        return sum(each.messages for each in self.meter.traffic.values())

    def put_runner(self, name: str, zone: str) -> None:
        """Move a runner to a zone."""
        number = int(name.rpartition("-")[2])
        spec = runner_spec(self.size, number)
        moved = type(spec)(spec.address, spec.region, zone, spec.service)
        command = PutResource(f"move/{name}/{zone}", ResourceKey(Kind.RUNNER, name), moved)
        self.control.apply(command)
        self.config.publish()

    def delete_other_nodes(self) -> None:
        """Delete every Gateway resource but the own one."""
        for number in range(1, self.size.nodes):
            key = ResourceKey(Kind.GATEWAY, node_name(number))
            self.control.apply(DeleteResource(f"delete/{number}", key, ANY_REVISION))
        self.config.publish()
