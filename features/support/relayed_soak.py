"""A relayed fleet under seeded random faults in virtual time, checked by what its users observe.

Faults stay within what the fleet has to tolerate: the loss of one machine with its disk at a time,
with time to recover after each, and power losses of a whole group that keep all disks.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from features.support.monotonic_checks import ResultsMonitor, RunLog, TableMonitor
from features.support.relayed_fleet import ZONES, RelayedFleet
from features.support.relaying import SERVICE

from rainsail.cluster.messages import RunnerRecord, RunnerState, TableDocument
from rainsail.jobs.messages import ReadResults

EVENTS = 8
STEP_S = 0.1
RECOVERY_S = 5.0
DRAIN_S = 2.0
ZONE_DRAIN_S = 5.0
"""This long after the acknowledgement of a zone's drain its runners get no more items."""
ZONE_DRAINED_FOR_S = (4.0, 9.0)
ORDER_TIMEOUT_S = 1.0
"""An operator without an answer closes its connection and tries another node after this time."""
LATE_HEARTBEAT_S = (0.2, 3.0)
CANCEL_S = 3.0
SETTLE_LIMIT_S = 40.0
BREAK_CHANCE = 0.01
REPEAT_CHANCE = 0.5
RESEND_CHANCE = 0.3
OTHER_CONTENT_CHANCE = 0.3
TOLERATED_KINDS = ("crash", "wipe", "freeze", "isolate", "group", "group_wipe")
"""Faults of machines with a disk, one at a time with recovery after each."""
KEPT_DISK_KINDS = ("crash", "freeze", "isolate", "cut_from_group", "group", "hand_over")
"""Faults of machines with a disk that may come at any rate, since no disk is lost."""
GATEWAY_KINDS = ("crash", "freeze", "isolate")


@dataclass(frozen=True)
class SoakPlan:
    """The parameters of a soak.

    ``recovery_s`` is the minimum time after a fault without another one, to recover lost disks.
    """

    seconds: float = 60
    events: int = EVENTS
    recovery_s: float = RECOVERY_S
    kinds: tuple[str, ...] = TOLERATED_KINDS


@dataclass
class SoakJob:
    """One job as known to its client."""

    job: str
    count: int
    results: ResultsMonitor
    accepted_s: float | None = None
    ended_s: float | None = None
    end_asked: bool = False


@dataclass
class ZoneOrder:
    """A zone's drain as known to the operator: when it was acknowledged, and its end first sent."""

    zone: str
    ends_at_s: float
    acknowledged_s: float | None = None
    end_sent_s: float | None = None
    ended: bool = False


@dataclass(frozen=True)
class Sending:
    """An item sent to a runner."""

    at_s: float
    job: str
    runner: str


class RelayedSoak:
    """Runs the users and the faults; ``violations`` lists what went wrong."""

    def __init__(self, seed: int, plan: SoakPlan) -> None:
        self.plan = plan
        self.runs = RunLog(plan.events)
        self.tables = TableMonitor()
        self.random = random.Random(seed)
        self.fleet = RelayedFleet(seed)
        self.fleet.leader("controller")
        self.fleet.leader("storage")
        self.until_s = self.fleet.clock.seconds() + plan.seconds
        self.version = 0
        self.jobs: dict[str, SoakJob] = {}
        self.runners: dict[str, RunnerRecord] = {}
        self.zones: dict[str, str] = {}
        """The zone of every runner, including those that have gone."""
        self.drained_s: dict[str, float] = {}
        self.sendings: list[Sending] = []
        self.zone_orders: list[ZoneOrder] = []
        self.violations: list[str] = []
        self.faults: list[str] = []
        self._down: list[tuple[float, str, str]] = []
        self._next_fault_s = self.now + 2.0
        self._next_runner = 0
        self._recovered_at_s = 0.0
        """Until then the last failed machine counts as down."""
        self._unread_orders: list[tuple[str, Callable[[], None]]] = []
        """Drain orders that wait at frozen controllers."""
        self._armed: tuple[str, str] | None = None
        for name in self.fleet.names("gateway"):
            self._listen_at_gateway(name)

    @property
    def now(self) -> float:
        """Virtual time."""
        return self.fleet.clock.seconds()

    def run(self) -> None:
        """Run the soak, then end all faults and check the result."""
        for _ in range(3):
            self._add_runner()
        while self.now < self.until_s:
            self._step(faults=True)
        self._heal()
        end_s = self.now + SETTLE_LIMIT_S
        while self.now < end_s and not self._is_settled():
            self._step(faults=False)
            self._read_from_the_start()
        self._judge()

    def _step(self, faults: bool) -> None:
        self.fleet.run_for(STEP_S)
        if not faults:
            self._retry_zone_orders()
        self._play_runners()
        self._watch_nodes()
        self._send_heartbeats()
        if faults:
            self._play_operator()
            self._play_clients()
            self._play_faults()
        self._read_jobs()

    # --- runners -------------------------------------------------------------------------

    def _add_runner(self) -> None:
        self._next_runner += 1
        number = self._next_runner
        record = RunnerRecord(
            f"r-{number}",
            SERVICE,
            f"10.9.0.{number}:80",
            f"zone-{number % len(ZONES)}",
            8,
            RunnerState.READY,
            0.0,
            0,
        )
        self.runners[record.runner] = record
        self.zones[record.runner] = record.zone

    def _controller(self) -> Any:
        name = self._controller_name()
        return self.fleet.controller(name) if name else None

    def _controller_name(self) -> str:
        """Return the name of a controller that is open, empty when none is."""
        names = [
            name
            for name in self.fleet.names("controller")
            if self.fleet.nodes[name].role.controller is not None
        ]
        return self.random.choice(names) if names else ""

    def _send_heartbeats(self) -> None:
        for name, record in list(self.runners.items()):
            if self.random.random() < STEP_S:
                self._send_heartbeat(name, record.state)

    def _send_heartbeat(self, name: str, state: RunnerState) -> None:
        controller = self._controller()
        if controller is None:
            return
        known = self.runners[name]
        record = replace(known, state=state, sequence=known.sequence + 1)
        self.runners[name] = record
        controller.reports.take(record).addCallback(self._heartbeat_accepted, name, state)

    def _heartbeat_accepted(self, result: Any, name: str, state: RunnerState) -> None:
        if result.is_ok() and state == RunnerState.DRAINING:
            self.drained_s.setdefault(name, self.now)

    def _play_runners(self) -> None:
        for pool in self.fleet.pools.values():
            for call in pool.calls:
                if not hasattr(call, "next_event"):
                    runner = call.field(b"runner")
                    job = call.request.target.decode().split("/")[2]
                    self.sendings.append(Sending(self.now, job, runner))
                    after = int(call.field(b"after-event") or 0)
                    call.run_number = self.runs.begin(call.field(b"item"), after)
                    call.next_event = self._first_event(after)
                    call.begin_stream()
                self._play_call(call)

    def _first_event(self, after: int) -> int:
        """Return the first event after the last one; some runners repeat that one."""
        return max(1, after if self.random.random() < REPEAT_CHANCE else after + 1)

    def _play_call(self, call: Any) -> None:
        if call.cancelled or getattr(call, "over", False):
            return
        if self.random.random() < BREAK_CHANCE:
            call.over = True
            call.listener.answer_failed("connection reset")
        elif call.next_event > self.plan.events:
            call.over = True
            call.listener.answer_ended()
        else:
            call.listener.answer_data(self.runs.event(call.run_number, call.next_event))
            call.next_event += 1

    # --- the operator and the clients ----------------------------------------------------

    def _play_operator(self) -> None:
        if self.random.random() < STEP_S / 1.5:
            self._send_table()
        if self.random.random() < STEP_S / 2:
            self._read_table()
        if self.random.random() < STEP_S / 8 and len(self.runners) < 9:
            name = self.random.choice([n for n in self.runners if n not in self.drained_s] or [""])
            if name:
                self._add_runner()
                self._send_heartbeat(name, RunnerState.DRAINING)

        if self.random.random() < STEP_S / 6:
            self._begin_zone_drain()
        if self.random.random() < STEP_S / 6:
            self._replace_runner()
        self._retry_zone_orders()

    def _begin_zone_drain(self) -> None:
        """Drain a zone, unless a drain is under way."""
        if all(order.ended for order in self.zone_orders):
            ends_at_s = self.now + self.random.uniform(*ZONE_DRAINED_FOR_S)
            self.zone_orders.append(ZoneOrder(self.random.choice(sorted(ZONES)), ends_at_s))

    def _retry_zone_orders(self) -> None:
        """Send the current drain order to a random controller until it is acknowledged."""
        controller = self._controller_name()
        if not self.zone_orders or not controller or self.random.random() > 2 * STEP_S:
            return
        order = self.zone_orders[-1]
        if order.acknowledged_s is None:
            self._send_zone_order(controller, order, True)
        elif not order.ended and self.now >= order.ends_at_s:
            order.end_sent_s = order.end_sent_s or self.now
            self._send_zone_order(controller, order, False)

    def _send_zone_order(self, name: str, order: ZoneOrder, draining: bool) -> None:
        """Send a drain order; a frozen controller reads it when it resumes.

        By then the operator has disconnected, if that takes longer than ``ORDER_TIMEOUT_S``.
        """
        until_s = self.now + ORDER_TIMEOUT_S

        def read() -> None:
            controller = self.fleet.nodes[name].role.controller
            done = controller.zone_drains.order(order.zone, draining, lambda: self.now < until_s)
            done.addCallback(self._zone_order_taken, order, draining)

        if any(down[1:] == (name, "freeze") for down in self._down):
            self._unread_orders.append((name, read))
        else:
            read()

    def _zone_order_taken(self, result: Any, order: ZoneOrder, draining: bool) -> None:
        if result.is_error():
            return
        if draining:
            order.acknowledged_s = order.acknowledged_s or self.now
            self._inject_if_armed("controller")
        else:
            order.ended = True

    def _replace_runner(self) -> None:
        """Crash a runner twice; a heartbeat of the middle incarnation arrives last."""
        names = [name for name in self.runners if name not in self.drained_s]
        if not names:
            return
        crashed = self.runners.pop(self.random.choice(names))
        self._next_runner += 1
        between = replace(crashed, runner=f"{crashed.runner}-between", sequence=1)
        newest = replace(crashed, runner=f"r-{self._next_runner}", sequence=0)
        self.runners[newest.runner] = newest
        self.zones[newest.runner] = newest.zone
        self._send_heartbeat(newest.runner, RunnerState.READY)
        late_s = self.random.uniform(*LATE_HEARTBEAT_S)
        self.fleet.clock.callLater(late_s, self._send_late_heartbeat, between)

    def _send_late_heartbeat(self, record: RunnerRecord) -> None:
        controller = self._controller()
        if controller is not None:
            controller.reports.take(record)

    def _send_table(self) -> None:
        controller = self._controller()
        if controller is None:
            return
        version = self.version
        if not version or self.random.random() > RESEND_CHANCE:
            self.version += self.random.randint(1, 3)
            version = self.version
        elif self.random.random() < 0.5:
            version = max(1, version - 1)
        done = controller.tables.replace(version, self._content(version))
        done.addCallback(self._table_taken, version)

    def _content(self, version: int) -> bytes:
        """Return a table's content; sometimes a different one for the same version."""
        other = self.random.random() < OTHER_CONTENT_CHANCE
        return f"{version} {'east west' if other else 'west east'}".encode()

    def _table_taken(self, result: Any, version: int) -> None:
        if result.is_ok():
            self.tables.acknowledged(version)
            self._inject_if_armed("controller")

    def _read_table(self) -> None:
        controller = self._controller()
        if controller is not None:
            controller.tables.read().addCallback(self._table_read, self.tables.newest)

    def _table_read(self, result: Any, least: int) -> None:
        if result.is_ok():
            document: TableDocument = result.ok
            self.violations += self.tables.read(document.version, document.content, least)

    def _play_clients(self) -> None:
        if self.random.random() < STEP_S / 2:
            name, count = f"job-{len(self.jobs) + 1}", self.random.randint(1, 4)
            job = SoakJob(name, count, ResultsMonitor(name, count, self.runs))
            self.jobs[name] = job
            self._submit(job)
        for job in self.jobs.values():
            if job.accepted_s is None and self.random.random() < STEP_S:
                self._submit(job)
            elif job.accepted_s is not None and self.random.random() < STEP_S / 60:
                self._end(job)

    def _gateway(self) -> Any:
        return self.fleet.nodes[self.random.choice(self.fleet.names("gateway"))].role

    def _submit(self, job: SoakJob) -> None:
        gateway = self.random.choice(self.fleet.names("gateway"))
        done = self.fleet.submit(gateway, job.job, job.count)
        done.addCallback(self._submitted, job)

    def _submitted(self, result: Any, job: SoakJob) -> None:
        if result.is_ok() and job.accepted_s is None:
            job.accepted_s = self.now
            self._inject_if_armed("storage")

    def _end(self, job: SoakJob) -> None:
        job.end_asked = True
        self._gateway().end("", job.job).addCallback(self._job_ended, job)

    def _job_ended(self, result: Any, job: SoakJob) -> None:
        if result.is_ok() and job.ended_s is None:
            job.ended_s = self.now

    def _read_jobs(self) -> None:
        for job in self.jobs.values():
            if job.accepted_s is not None and self.random.random() < STEP_S / 2:
                self._read_job(job)

    def _read_from_the_start(self) -> None:
        """After the faults, read incomplete jobs from the first result on, at a gateway.

        Reads at random positions and nodes alone might miss a result until the time limit.
        """
        for job in self.jobs.values():
            owed = job.accepted_s is not None and not job.results.is_whole()
            if owed and self.random.random() < STEP_S:
                done = self._gateway().read("", job.job, 0, 0.0)
                done.addCallback(self._page_read, job, 0, job.results.least(0))

    def _read_job(self, job: SoakJob) -> None:
        """Read from a random position, sometimes with a wait, or at a node that may not lead."""
        after = self.random.choice([0, 0, self.random.randint(0, job.count + 1)])
        wait_s = self.random.choice([0.0, 0.0, 1.0])
        least = job.results.least(after)
        names = self.fleet.names("storage")
        if names and self.random.random() < 0.3:
            gateway = self.fleet.nodes[self.random.choice(self.fleet.names("gateway"))]
            storage = self.fleet.address(self.random.choice(names))
            message = ReadResults(job.job, after, wait_s)
            done = gateway.base.messenger.call(storage, message, 2.0 + wait_s)
        else:
            done = self._gateway().read("", job.job, after, wait_s)
        done.addCallback(self._page_read, job, after, least)

    def _page_read(self, result: Any, job: SoakJob, after: int, least: int) -> None:
        if result.is_ok():
            self.violations += job.results.take(result.ok, after, least)
        elif result.error.code.value == "not_found":
            self.violations.append(f"{job.job} was accepted and is not found")

    def _listen_at_gateway(self, name: str) -> None:
        """Check the tables that a gateway receives, from its start on."""
        node = self.fleet.nodes[name]

        def table_received(document: TableDocument) -> None:
            self.violations += self.tables.table_sent(node, document.version, document.content)

        node.base.follower.on_table = table_received

    def _watch_nodes(self) -> None:
        """Check the table versions and drain orders of all nodes."""
        for name, node in self.fleet.nodes.items():
            version = node.base.follower.table_version
            if name.startswith("storage"):
                version = node.role.dispatcher.table_version
            self.violations += self.tables.at_node(node, version)
            for order in node.base.registry.zone_drains.orders():
                self.violations += self.tables.zone_order_at_node(node, order.zone, order.revision)

    # --- faults --------------------------------------------------------------------------

    def _play_faults(self) -> None:
        for due_s, name, kind in list(self._down):
            if self.now >= due_s:
                self._down.remove((due_s, name, kind))
                self._recover(name, kind)
        if self._down or self.now < max(self._next_fault_s, self._recovered_at_s):
            return
        self._next_fault_s = self.now + self.plan.recovery_s + self.random.uniform(0, 2)
        group = self.random.choice(["controller", "storage", "storage", "controller", "gateway"])
        kind = self.random.choice(GATEWAY_KINDS if group == "gateway" else self.plan.kinds)
        if self.random.random() < 0.4:
            self._armed = (group, kind)
            return
        self._inject(group, kind)

    def _inject_if_armed(self, group: str) -> None:
        """Inject the prepared fault right after a client has got an acknowledgement."""
        armed = self._armed
        if armed is None or armed[0] != group or self._down or self.now >= self.until_s:
            return
        if self.now < self._recovered_at_s:
            return
        self._armed = None
        self._next_fault_s = self.now + self.plan.recovery_s + self.random.uniform(0, 2)
        self.fleet.clock.callLater(0, self._inject, *armed)

    def _inject(self, group: str, kind: str) -> None:
        names = self.fleet.names(group)
        name = self._victim(group, names)
        for_s = self.random.uniform(0.3, 4.0)
        self.faults.append(f"{self.now:.1f} {kind} {name} {for_s:.1f}")
        if kind in ("group", "group_wipe"):
            for each in names:
                self._take_down(each, "wipe" if kind == "group_wipe" and each == name else "crash")
                self._down.append((self.now + for_s, each, "crash"))
            return
        if kind == "hand_over":
            if name in self.fleet.leading(group):
                self.fleet.nodes[name].role.driver.transfer_leadership()
            return
        self._take_down(name, kind)
        self._down.append((self.now + for_s, name, kind))

    def _victim(self, group: str, names: list[str]) -> str:
        leading = [] if group == "gateway" else self.fleet.leading(group)
        if leading and self.random.random() < 0.6:
            return leading[0]
        return self.random.choice(names)

    def _take_down(self, name: str, kind: str) -> None:
        match kind:
            case "crash":
                self.fleet.crash(name)
            case "wipe":
                self.fleet.lose_disk(name)
            case "freeze":
                self.fleet.freeze(name)
            case "isolate":
                self.fleet.isolate(name)
            case "cut_from_group":
                self.fleet.cut_from_group(name)
        if kind in ("crash", "wipe") and name in self.fleet.pools:
            self.fleet.pools[name].calls.clear()

    def _recover(self, name: str, kind: str) -> None:
        self._recovered_at_s = self.now + self.plan.recovery_s
        match kind:
            case "crash" | "wipe":
                self.fleet.start(name)
                if name.startswith("gateway"):
                    self._listen_at_gateway(name)
            case "freeze":
                self.fleet.thaw(name)
                self._read_orders_at(name)
            case "isolate" | "cut_from_group":
                self.fleet.rejoin(name)

    def _read_orders_at(self, name: str) -> None:
        """Deliver the orders that have arrived while a controller was frozen."""
        waiting = [read for at, read in self._unread_orders if at == name]
        self._unread_orders = [each for each in self._unread_orders if each[0] != name]
        for read in waiting:
            read()

    def _heal(self) -> None:
        for _, name, kind in self._down:
            self._recover(name, kind)
        self._down = []

    # --- judging -------------------------------------------------------------------------

    def _is_settled(self) -> bool:
        if self._outdated_gateways():
            return False
        if not all(order.ended for order in self.zone_orders) or self._unused_runners():
            return False
        owed = [j for j in self.jobs.values() if j.accepted_s is not None and not j.end_asked]
        return all(job.results.is_whole() for job in owed)

    def _outdated_gateways(self) -> dict[str, int]:
        """Return the gateways whose table is older than the newest one, with its version."""
        versions = {
            name: self.fleet.nodes[name].base.follower.table_version
            for name in self.fleet.names("gateway")
        }
        newest = self.tables.newest
        return {name: version for name, version in versions.items() if version < newest}

    def _judge(self) -> None:
        for name, version in self._outdated_gateways().items():
            wanted = self.tables.newest
            self.violations.append(f"{name} has table {version}, {wanted} was acknowledged")
        for job in self.jobs.values():
            if job.accepted_s is None or job.end_asked:
                continue
            if not job.results.is_whole():
                self.violations.append(f"{job.job} was accepted and is not finished")
        self._judge_sendings()
        self._judge_runners()

    def _judge_runners(self) -> None:
        """Check that after the faults every live runner with heartbeats gets work everywhere."""
        for name, runner in self._unused_runners():
            self.violations.append(f"{name} sends nothing to {runner}, which lives")

    def _unused_runners(self) -> list[tuple[str, str]]:
        """Return pairs of a gateway and a live runner that it does not use."""
        drained = {order.zone for order in self.zone_orders if not order.ended}
        living = [
            record.runner
            for record in self.runners.values()
            if record.state == RunnerState.READY and record.zone not in drained
        ]
        registries = {
            name: self.fleet.nodes[name].base.registry for name in self.fleet.names("gateway")
        }
        return [
            (name, runner)
            for name, registry in registries.items()
            for runner in living
            if not registry.is_ready(runner)
        ]

    def _judge_zone_drains(self, sending: Sending) -> None:
        zone = self.zones.get(sending.runner)
        for order in self.zone_orders:
            if order.zone != zone or order.acknowledged_s is None:
                continue
            since_s = order.acknowledged_s + ZONE_DRAIN_S + STEP_S
            until_s = order.end_sent_s or float("inf")
            if since_s < sending.at_s < until_s:
                late_s = sending.at_s - order.acknowledged_s
                self.violations.append(f"{sending.runner} got an item {late_s:.1f} s into a drain")

    def _judge_sendings(self) -> None:
        for sending in self.sendings:
            self._judge_zone_drains(sending)
            drained_s = self.drained_s.get(sending.runner)
            if drained_s is not None and sending.at_s > drained_s + DRAIN_S + STEP_S:
                late_s = sending.at_s - drained_s
                self.violations.append(f"{sending.runner} got an item {late_s:.1f} s after leaving")
            job = self.jobs.get(sending.job)
            if job is None or job.ended_s is None:
                continue
            if sending.at_s > job.ended_s + CANCEL_S + STEP_S:
                late_s = sending.at_s - job.ended_s
                self.violations.append(f"an item of {job.job} ran {late_s:.1f} s after its end")
