"""What one node costs at the design size: control, the engines' feeds, callers' data."""

from rainsail.scale.capacity import Measurements, Row, resource_changes_per_s, verdict
from rainsail.scale.design_size import DESIGN_SIZE, MIB, DesignSize

EVENTS_PER_SESSION = 3
TOKENS_PER_CHUNK = 1.0
"""Engines may send a chunk per token: the dearest case."""


def node_control_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return what control costs one node."""
    changes = resource_changes_per_s(size)
    restarts = size.restarts_per_s / size.nodes
    traffic = (
        data.at_target("node_bytes_per_s")
        + changes * data.at_target("node_bytes_per_change")
        + restarts * data.at_target("restart_list_bytes")
    )
    messages = data.at_target("node_messages_per_s")
    messages += changes * data.at_target("node_messages_per_change")
    processor = (
        data.at_target("node_processor_share")
        + changes * data.dearest("node_processor_s_per_change")
        + restarts * data.dearest("node_processor_s_per_list")
    )
    table = (
        size.runners * data.memory("bytes_per_runner")
        + size.tenants * data.memory("bytes_per_tenant")
        + size.nodes * data.memory("bytes_per_node")
    )
    followed = data.at_target("gateway_followed_runners")
    view = followed * data.memory("bytes_per_followed_runner")
    own = float(data.scale["resident_memory"]["node_bytes"])
    total = table + view + own
    limit_bytes = float(size.control_memory_bytes)
    sessions = (limit_bytes - total) / data.memory("bytes_per_session")
    session_rate = (size.control_bytes_per_s - traffic) / data.at_target("node_bytes_per_change")
    session_rate /= EVENTS_PER_SESSION
    groups = 1 + (size.control_bytes_per_s - traffic) / data.at_target("node_lease_bytes_per_s")
    return [
        Row(
            "messages",
            f"{messages:.1f} /s",
            "",
            "",
            "polls, demand reports, item leases; `node_messages_per_s` and `_per_change`",
        ),
        Row(
            "bytes, all sent and received",
            f"{traffic:,.0f} B/s",
            f"{size.control_bytes_per_s:,.0f} B/s",
            verdict(traffic, size.control_bytes_per_s),
            "`node_bytes_per_s` + changes x `node_bytes_per_change`"
            " + restarts x `restart_list_bytes`",
        ),
        Row(
            "processor time",
            f"{processor:.2%} of a core",
            f"{size.control_processor_share:.1%}",
            verdict(processor, size.control_processor_share),
            "`node_processor_share` + changes x `node_processor_s_per_change`"
            " + restarts x `node_processor_s_per_list`",
        ),
        Row(
            "memory: copy of the configuration",
            f"{table / MIB:.1f} MiB",
            "",
            "",
            "`bytes_per_runner`, `_tenant`, `_node`",
        ),
        Row(
            "memory: view of followed runners",
            f"{view / MIB:.1f} MiB",
            "",
            "",
            "`gateway_followed_runners` x `bytes_per_followed_runner`",
        ),
        Row(
            "memory of control in all",
            f"{total / MIB:.1f} MiB",
            f"{limit_bytes / MIB:.0f} MiB",
            verdict(total, limit_bytes),
            "the two above + `node_bytes`",
        ),
        Row(
            "sessions that still fit",
            f"{sessions:,.0f} at a time, {session_rate:.1f} new /s",
            "",
            "",
            "what is left of memory by `bytes_per_session`, of bytes by three events a session"
            " (declared, placed, deleted), each to every node",
        ),
        Row(
            "ledger groups that still fit",
            f"{groups:.0f}",
            "",
            "",
            "what is left of bytes by `node_lease_bytes_per_s`, one renewal a second per group",
        ),
        Row(
            "memory of the process before any of it",
            f"{data.feed['bare_gateway_resident_bytes'] / MIB:.0f} MiB",
            "not control",
            "",
            "`bare_gateway_resident_bytes`: the interpreter and libraries",
        ),
    ]


def feed_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return what following the engines costs one node."""
    followed = data.at_target("gateway_followed_runners")
    feed = data.feed
    reports = followed * float(feed["reports_per_s_per_runner"])
    processor = reports * float(feed["processor_s_per_report"])
    traffic = reports * float(feed["bytes_per_report"])
    sockets = followed * float(feed["resident_bytes_per_subscription"])
    return [
        Row(
            "runners followed",
            f"{followed:,.0f}",
            "",
            "",
            "those of the zone, about 64 others: `gateway_followed_runners`",
        ),
        Row("load reports", f"{reports:,.0f} /s", "", "", "two a second from each engine"),
        Row("bytes", f"{traffic / 1024:,.0f} KiB/s", "data, not control", "", "`bytes_per_report`"),
        Row(
            "processor time",
            f"{processor:.1%} of a core",
            "data, not control",
            "",
            "`processor_s_per_report`, over sockets",
        ),
        Row(
            "memory of the connections",
            f"{sockets / MIB:.1f} MiB",
            "data, not control",
            "",
            "`resident_bytes_per_subscription`",
        ),
        Row(
            "bytes, were it control",
            f"{traffic:,.0f} B/s",
            f"{size.control_bytes_per_s:,.0f} B/s",
            verdict(traffic, size.control_bytes_per_s),
            "the same figure against control's limit",
        ),
        Row(
            "processor time, were it control",
            f"{processor:.1%} of a core",
            f"{size.control_processor_share:.1%}",
            verdict(processor, size.control_processor_share),
            "the same figure against control's limit",
        ),
    ]


def data_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return what requests, chunks and items cost one node's core."""
    requests = size.requests_per_s / size.nodes
    tokens = size.tokens_per_s / size.nodes
    items = size.items_per_s / size.nodes
    length_s = size.tokens_per_s / size.requests_per_s * size.between_tokens_s
    streams = requests * length_s
    request = requests * data.dearest("gateway_processor_s_per_request")
    chunk = tokens / TOKENS_PER_CHUNK * data.dearest("gateway_processor_s_per_chunk")
    item = items * data.dearest("gateway_processor_s_per_item")
    memory = streams * data.memory("bytes_per_open_stream")
    total = request + chunk + item
    return [
        Row(
            "requests",
            f"{requests:.1f} /s, {request:.2%} of a core",
            "",
            "",
            "`gateway_processor_s_per_request` at 333 runners",
        ),
        Row(
            "tokens, a chunk each",
            f"{tokens:,.0f} /s, {chunk:.2%} of a core",
            "",
            "",
            "`gateway_processor_s_per_chunk`",
        ),
        Row(
            "batch items",
            f"{items:.2f} /s, {item:.3%} of a core",
            "",
            "",
            "`gateway_processor_s_per_item`",
        ),
        Row(
            "all three, without HTTP",
            f"{total:.1%} of a core",
            "one core",
            verdict(total, 1.0),
            "sum; HTTP is measured by the gateway bench",
        ),
        Row(
            "open streams",
            f"{streams:.0f}, {memory / MIB:.1f} MiB",
            "",
            "",
            "requests x tokens a request x 55 ms; `bytes_per_open_stream`, without sockets",
        ),
    ]
