"""Named figures of a run, exact or measured, and their slopes over the sizes."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from rainsail.scale.control_run import ControlRunResult, PhaseCost
from rainsail.scale.fits import Line, fit_line
from rainsail.scale.gateway_run import GatewayCosts
from rainsail.scale.hollow_engines import LOAD_MESSAGE
from rainsail.scale.meter import Totals, Traffic

NODE_COUNT = "nodes"
CONFIGURATION = "Config"
"""Prefix of the messages that carry configuration to nodes."""
RUNNER_COUNT = "followed runners"


@dataclass(frozen=True, slots=True)
class Quantity:
    """One figure at one size.

    ``x`` is the count that ``x_name`` names. An exact figure follows from the seed alone; the
    others are this machine's.
    """

    name: str
    unit: str
    exact: bool
    x_name: str
    x: float
    value: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity's line over its sizes, and the values that it goes through."""

    name: str
    unit: str
    exact: bool
    x_name: str
    xs: tuple[float, ...]
    values: tuple[float, ...]
    line: Line


def control_quantities(run: ControlRunResult) -> list[Quantity]:
    """Return what a control run says, by the number of nodes."""
    nodes = float(run.size.nodes)
    hollow = run.size.nodes - run.settings.gateways
    changes = run.settings.changes
    idle, changing = run.idle, run.changing

    def exact(name: str, unit: str, value: float) -> Quantity:
        return Quantity(name, unit, True, NODE_COUNT, nodes, value)

    def measured(name: str, unit: str, value: float) -> Quantity:
        return Quantity(name, unit, False, NODE_COUNT, nodes, value)

    added = {role: added_by(idle, changing, role) for role in ("leader", "followers")}
    added["node"] = added_by(idle, changing, "node", CONFIGURATION)
    return [
        exact("node_bytes_per_s", "B/s", idle.node.bytes / idle.seconds / hollow),
        exact("node_messages_per_s", "1/s", idle.node.messages / idle.seconds / hollow),
        exact(
            "node_poll_bytes_per_s", "B/s", named_bytes(idle.node, "Config") / idle.seconds / hollow
        ),
        exact(
            "node_quota_bytes_per_s", "B/s", named_bytes(idle.node, "Quota") / idle.seconds / hollow
        ),
        exact(
            "node_lease_bytes_per_s",
            "B/s",
            named_bytes(idle.node, "RenewItem") / idle.seconds / hollow,
        ),
        exact("node_bytes_per_change", "B", added["node"].bytes / changes / hollow),
        exact("node_messages_per_change", "", added["node"].messages / changes / hollow),
        exact("leader_bytes_per_s", "B/s", idle.leader.bytes / idle.seconds),
        exact("leader_messages_per_s", "1/s", idle.leader.messages / idle.seconds),
        exact("leader_bytes_per_change", "B", added["leader"].bytes / changes),
        exact("leader_messages_per_change", "", added["leader"].messages / changes),
        exact("follower_bytes_per_s", "B/s", idle.followers.bytes / idle.seconds),
        exact("follower_bytes_per_change", "B", added["followers"].bytes / changes),
        exact("applied_everywhere_p50_s", "s", median(run.applied_s)),
        exact("applied_everywhere_max_s", "s", max(run.applied_s)),
        exact("in_force_p50_s", "s", median(run.in_force_s)),
        exact("in_force_max_s", "s", max(run.in_force_s)),
        exact("lost_leader_in_force_s", "s", run.lost_leader_in_force_s),
        exact("restart_list_bytes", "B", run.list_bytes),
        exact("restart_ready_max_s", "s", max(run.ready_after_s, default=0.0)),
        exact("missed_changes", "", float(run.missed_changes)),
        measured("node_processor_share", "core", idle.node.processor_s / idle.seconds / hollow),
        measured("node_processor_s_per_change", "s", added["node"].processor_s / changes / hollow),
        measured("leader_processor_share", "core", idle.leader.processor_s / idle.seconds),
        measured("leader_processor_s_per_change", "s", added["leader"].processor_s / changes),
        measured("follower_processor_share", "core", idle.followers.processor_s / idle.seconds),
        measured("follower_processor_s_per_change", "s", added["followers"].processor_s / changes),
        measured("leader_processor_s_first_list", "s", run.leader_list.first_processor_s),
        measured("leader_processor_s_shared_list", "s", run.leader_list.shared_processor_s),
        measured("node_processor_s_per_list", "s", run.list_processor_s),
        measured("wall_s", "s", run.wall_s),
        *_gateway_quantities(run),
    ]


def _gateway_quantities(run: ControlRunResult) -> list[Quantity]:
    if not run.settings.gateways:
        return []
    nodes = float(run.size.nodes)
    idle = run.idle
    feed = named_bytes(idle.gateway, LOAD_MESSAGE)
    control = idle.gateway.bytes - feed
    share = idle.gateway.processor_s / idle.seconds
    return [
        Quantity(
            "gateway_followed_runners", "", True, NODE_COUNT, nodes, run.gateway_subscriptions
        ),
        Quantity("gateway_feed_bytes_per_s", "B/s", True, NODE_COUNT, nodes, feed / idle.seconds),
        Quantity(
            "gateway_control_bytes_per_s", "B/s", True, NODE_COUNT, nodes, control / idle.seconds
        ),
        Quantity("gateway_processor_share", "core", False, NODE_COUNT, nodes, share),
    ]


def gateway_quantities(costs: GatewayCosts) -> list[Quantity]:
    """Return what a lone gateway's run says, by the number of runners that it follows."""
    x = float(costs.followed_runners)
    named = {
        "gateway_idle_processor_share": ("core", costs.idle_processor_s),
        "gateway_processor_s_per_change": ("s", costs.processor_s_per_change),
        "gateway_processor_s_per_request": ("s", costs.processor_s_per_request),
        "gateway_processor_s_per_chunk": ("s", costs.processor_s_per_chunk),
        "gateway_processor_s_per_item": ("s", costs.processor_s_per_item),
    }
    return [
        Quantity(name, unit, False, RUNNER_COUNT, x, value) for name, (unit, value) in named.items()
    ]


def added_by(idle: PhaseCost, busy: PhaseCost, role: str, prefix: str = "") -> Totals:
    """Return what a phase cost a role beyond the idle rate.

    Messages and bytes are in one entry, of the message types whose name starts with ``prefix``.
    """
    before: Totals = getattr(idle, role)
    during: Totals = getattr(busy, role)
    share = busy.seconds / idle.seconds
    messages = named_messages(during, prefix) - named_messages(before, prefix) * share
    size = named_bytes(during, prefix) - named_bytes(before, prefix) * share
    traffic = Traffic(round(messages), round(size))
    return Totals(during.processor_s - before.processor_s * share, {"added": traffic})


def named_bytes(totals: Totals, prefix: str) -> int:
    """Return the bytes of the message types whose name starts so."""
    return sum(each.bytes for name, each in totals.traffic.items() if name.startswith(prefix))


def named_messages(totals: Totals, prefix: str) -> int:
    """Return the messages of the message types whose name starts so."""
    return sum(each.messages for name, each in totals.traffic.items() if name.startswith(prefix))


def slopes(quantities: Sequence[Quantity]) -> list[Slope]:
    """Fit a line through each quantity's sizes; those with one size are left out."""
    named: dict[str, list[Quantity]] = {}
    for quantity in quantities:
        named.setdefault(quantity.name, []).append(quantity)
    fitted = []
    for name, found in named.items():
        points = sorted(found, key=lambda point: point.x)
        xs = tuple(point.x for point in points)
        if len(set(xs)) < 2:
            continue
        values = tuple(point.value for point in points)
        first = points[0]
        line = fit_line(xs, values)
        fitted.append(Slope(name, first.unit, first.exact, first.x_name, xs, values, line))
    return fitted
