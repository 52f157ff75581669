"""What the root group and the batch ledger cost at the design size, and times in force."""

from rainsail.scale.capacity import YES, Measurements, Row, resource_changes_per_s, verdict
from rainsail.scale.design_size import DESIGN_SIZE, MIB, DesignSize

LEASE_MARGIN = 1.01
"""A configuration lease as its granter counts it: the clock-rate margin on top."""
CONFIG_LEASE_S = 8.0
VOTERS = 5
WATCHES = 100


def leader_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return what the root group's members cost."""
    changes = resource_changes_per_s(size)
    leader = (
        data.at_target("leader_processor_share")
        + changes * data.dearest("leader_processor_s_per_change")
        + size.restarts_per_s * data.at_target("leader_processor_s_first_list")
    )
    traffic = data.at_target("leader_bytes_per_s")
    traffic += changes * data.at_target("leader_bytes_per_change")
    traffic += size.restarts_per_s * data.at_target("restart_list_bytes")
    messages = data.at_target("leader_messages_per_s")
    messages += changes * data.at_target("leader_messages_per_change")
    follower = data.at_target("follower_processor_share")
    follower += changes * data.dearest("follower_processor_s_per_change")
    follower_bytes = data.at_target("follower_bytes_per_s")
    follower_bytes += changes * data.at_target("follower_bytes_per_change")
    snapshot = data.scale["replica"]
    watches = changes * WATCHES * snapshot["watch_processor_s_per_event"]
    watch_bytes = changes * WATCHES * snapshot["watch_bytes_per_event"]
    machines = data.scale["machine_list"]
    list_share = machines["processor_s_per_fetch"] / machines["period_s"]
    list_bytes = machines["list_bytes"] / machines["period_s"]
    lists = size.nodes * data.at_target("leader_processor_s_shared_list")
    lists += data.at_target("leader_processor_s_first_list")
    return [
        Row("leader: messages", f"{messages:,.0f} /s", "", "", "`leader_messages_per_s`"),
        Row("leader: bytes", f"{traffic / 1024:,.0f} KiB/s", "", "", "`leader_bytes_per_s`, ..."),
        Row(
            "leader: processor time",
            f"{leader:.0%} of a core",
            "one core",
            verdict(leader, 1.0),
            "`leader_processor_share` + changes x `leader_processor_s_per_change`"
            " + restarts x `leader_processor_s_first_list`",
        ),
        Row(
            "leader: all nodes start at once",
            f"{lists:,.0f} s of processor time",
            "",
            "",
            f"one `leader_processor_s_first_list`, {size.nodes} x `leader_processor_s_shared_list`",
        ),
        Row(
            "follower: processor time",
            f"{follower:.2%} of a core",
            "one core",
            verdict(follower, 1.0),
            "`follower_processor_share`, `follower_processor_s_per_change`",
        ),
        Row("follower: bytes", f"{follower_bytes:,.0f} B/s", "", "", "`follower_bytes_per_s`, ..."),
        Row(
            "each: the machine list",
            f"{list_share:.1%} of a core, {list_bytes / 1024:,.0f} KiB/s",
            "",
            "",
            "`machine_list`: the whole list every 2 s",
        ),
        Row(
            "each: a snapshot of the resources",
            f"{snapshot['snapshot_bytes'] / MIB:.1f} MiB,"
            f" {snapshot['snapshot_processor_s'] + snapshot['restore_processor_s']:.1f} s",
            "",
            "",
            "`replica`: what a replica that returns must fetch; time to write and to restore it",
        ),
        Row(
            "each: 100 operators' watches",
            f"{watches:.2%} of a core, {watch_bytes / 1024:,.0f} KiB/s",
            "",
            "",
            "`replica`: changes x 100 x `watch_processor_s_per_event`, `watch_bytes_per_event`",
        ),
        Row(
            "each: memory of the resources",
            f"{data.memory('replica_state_bytes') / MIB:.0f} MiB",
            "",
            "",
            "`replica_state_bytes`, with the windows of events and changes",
        ),
    ]


def in_force_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return how long a change takes to be in force."""
    usual = data.at_target("in_force_max_s")
    lost_node = CONFIG_LEASE_S * LEASE_MARGIN + usual
    limit = f"{size.in_force_s:.0f} s"

    def row(what: str, value: float, basis: str) -> Row:
        return Row(what, f"{value:.2f} s", limit, verdict(value, size.in_force_s), basis)

    return [
        row(
            "median, nothing failing",
            data.at_target("in_force_p50_s"),
            "`in_force_p50_s`, virtual time, 20 ms one way between any two processes",
        ),
        row("longest, nothing failing", usual, "`in_force_max_s`"),
        row(
            "a node is lost in silence just before",
            lost_node,
            "the lease of 8 s with its margin runs out first",
        ),
        row(
            "the leader is lost in silence just before",
            data.at_target("lost_leader_in_force_s"),
            "`lost_leader_in_force_s`: an election, then one lease that the new leader waits out",
        ),
        row(
            "a restarted node serves",
            data.at_target("restart_ready_max_s"),
            "`restart_ready_max_s`",
        ),
    ]


def ledger_rows(data: Measurements, size: DesignSize = DESIGN_SIZE) -> list[Row]:
    """Return what the batch ledger costs."""
    speed = data.largest_ledger("speed")
    memory = data.largest_ledger("memory")
    jobs = data.largest_ledger("jobs")
    applied = size.items_per_s / float(speed["lease_and_commit_items_per_s"])
    heap = size.items_per_s * 10.0 / float(speed["added_items_per_s"])
    largest = size.largest_job_items / float(speed["added_items_per_s"])
    pending_day = size.items_per_day * float(memory["bytes_per_pending_item"])
    kept_week = 7 * size.items_per_day * float(memory["bytes_per_completed_item"])
    per_machine = (pending_day + kept_week) * VOTERS / size.control_machines
    storage = next(each for each in data.storage["throughput"] if each["batch_entries"] == 32)
    records = size.items_per_s * 2
    return [
        Row(
            "items, on average",
            f"{size.items_per_s:.0f} /s",
            "",
            "",
            "20 million a day",
        ),
        Row(
            "processor time to apply them, one replica",
            f"{applied:.1%} of a core",
            "one core",
            verdict(applied, 1.0),
            "`lease_and_commit_items_per_s`",
        ),
        Row(
            "processor time to store them as lone records",
            f"{records * storage['cpu_us_per_entry'] / 1e6:.1%} of a core",
            "one core",
            YES,
            "two records an item x `cpu_us_per_entry` at 32 a batch",
        ),
        Row("a heap of 10 s taken in", f"{heap * 1e3:.0f} ms", "", "", "`added_items_per_s`"),
        Row(
            "the largest job taken in",
            f"{largest:.1f} s",
            "",
            "",
            f"{size.largest_job_items:,} items in ranges; no stall longer than one range of"
            f" {float(speed['seconds_per_add_command']) * 1e3:.0f} ms",
        ),
        Row(
            "memory: 14,000 jobs",
            f"{size.jobs_per_day * float(jobs['bytes_per_small_job']) / MIB:.0f} MiB",
            "",
            "",
            "`bytes_per_small_job`, of 10 items each",
        ),
        Row(
            "memory: a day's items pending, each replica of a lone group",
            f"{pending_day / MIB / 1024:.1f} GiB",
            "",
            "",
            "`bytes_per_pending_item`, prompts of 200 characters",
        ),
        Row(
            "memory: results of 7 days, each replica of a lone group",
            f"{kept_week / MIB / 1024:.1f} GiB",
            "",
            "",
            "`bytes_per_completed_item`, results of 200 characters",
        ),
        Row(
            f"memory a machine, {VOTERS} copies spread over {size.control_machines}",
            f"{per_machine / MIB / 1024:.1f} GiB",
            "a small machine (2 GiB taken)",
            verdict(per_machine, 2048 * MIB),
            "the two above x copies / machines",
        ),
    ]
