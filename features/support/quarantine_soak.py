"""A relaying fleet under random faults while clients send bodies that crash runners."""

import random
from collections import Counter
from dataclasses import dataclass

from features.support.crashing_runners import CrashingRunner
from features.support.fatal_request_fleet import PATH, FatalRequestFleet
from features.support.relaying import HOST

from rainsail.cluster.messages import RunnerState
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_of

FAULTS_FOR_S = 40.0
RECOVERY_S = 12.0
CONNECTED_AFTER_S = 3.0
"""A node counts as connected once neither it nor the groups had a fault for this long."""
LATE_RUNS_ALLOWED = 3
CRASHES_COUNTED = 3
GATEWAYS = 4
OTHERS_PER_S = 10


@dataclass(frozen=True)
class Disturbance:
    """A fault of a node (empty: of the groups), with its start and end."""

    node: str
    from_s: float
    to_s: float


class QuarantineSoak:
    """One random run; ``violations`` lists broken guarantees, ``counts`` what was checked."""

    def __init__(self, seed: int) -> None:
        self.fleet = FatalRequestFleet(seed, GATEWAYS)
        self._draw = random.Random(seed)
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._disturbances: list[Disturbance] = []
        self._down: set[str] = set()
        self._fatal = [b"fatal %d" % number for number in range(self._draw.randint(1, 2))]
        self._common = [b"common %d" % number for number in range(self._draw.randint(1, 3))]
        runners = self.fleet.runners
        assert runners is not None
        self._runners = runners
        runners.fatal_bodies = set(self._fatal)
        self._faults = (
            self._crash_runner,
            self._cut_zone_power,
            self._abort_responses,
            self._leave_as_planned,
            self._lose_controller,
            self._lose_storage_node,
            self._lose_gateway,
            self._partition_gateway,
            self._freeze_node,
            self._lose_all_controllers,
        )

    def run(self) -> None:
        """Run the faults and check the outcome."""
        fleet = self.fleet
        begun_s = fleet.clock.seconds()
        ends_s = begun_s + FAULTS_FOR_S + RECOVERY_S
        self._send_traffic(ends_s)
        while fleet.clock.seconds() < begun_s + FAULTS_FOR_S:
            fleet.run_for(self._draw.uniform(0.5, 3.0))
            self._draw.choice(self._faults)()
        self._runners.abort_share = 0.0
        fleet.run_for(RECOVERY_S)
        self._judge()

    def _send_traffic(self, until_s: float) -> None:
        """Send fatal, frequent and other bodies."""
        fleet = self.fleet
        fleet.send_others(1 / OTHERS_PER_S, until_s)
        for body in self._common:
            fleet.send_same(body, self._draw.uniform(0.1, 0.6), until_s)
        for body in self._fatal:
            fleet.send_same(body, self._draw.uniform(0.3, 2.0), until_s)

    # --- faults --------------------------------------------------------------------------

    def _disturb(self, node: str, for_s: float) -> None:
        now = self.fleet.clock.seconds()
        self._disturbances.append(Disturbance(node, now, now + for_s))
        self._down.add(node)
        self.fleet.clock.callLater(for_s, self._down.discard, node)

    def _random_node(self, kind: str) -> str | None:
        """Return a random node without a fault; of a group only while no other has one."""
        if kind != "gateway" and any(name.startswith(kind) for name in self._down):
            return None
        names = [name for name in sorted(self.fleet.names(kind)) if name not in self._down]
        return self._draw.choice(names) if len(names) > 1 else None

    def _runner(self) -> CrashingRunner | None:
        up = [each for each in self._runners.runners if each.is_up and not each.has_left]
        return self._draw.choice(up) if len(up) > 2 else None

    def _crash_runner(self) -> None:
        runner = self._runner()
        if runner is not None:
            self.counts["runners ended by themselves"] += 1
            self._runners.crash(runner, runner.incarnation, self._draw.uniform(0.8, 4.0))

    def _cut_zone_power(self) -> None:
        third = self._draw.randrange(3)
        self.counts["zones dark"] += 1
        for runner in self._runners.runners:
            if runner.is_up and runner.number % 3 == third:
                self._runners.lose_power(runner, 2.0)

    def _abort_responses(self) -> None:
        self.counts["times of broken answers"] += 1
        self._runners.abort_share = self._draw.choice((0.0, 0.1, 0.3))

    def _leave_as_planned(self) -> None:
        runner = self._runner()
        if runner is not None:
            self.counts["planned stops"] += 1
            self._runners.send_heartbeat(runner, RunnerState.DRAINING)
            self.fleet.clock.callLater(1.0, self._runners.crash, runner, runner.incarnation)

    def _lose(self, name: str | None) -> None:
        if name is None:
            return
        down_s = self._draw.uniform(0.3, 2.0)
        self.counts["nodes lost"] += 1
        self._disturb(name, down_s)
        self.fleet.crash(name)
        self.fleet.clock.callLater(down_s, self.fleet.start, name)

    def _lose_controller(self) -> None:
        self._lose(self._random_node("controller"))

    def _lose_storage_node(self) -> None:
        self._lose(self._random_node("storage"))

    def _lose_gateway(self) -> None:
        self._lose(self._random_node("gateway"))

    def _lose_all_controllers(self) -> None:
        if any(name.startswith("controller") for name in self._down):
            return
        self.counts["all controllers lost"] += 1
        for name in sorted(self.fleet.names("controller")):
            self._disturb(name, 0.8)
            self.fleet.crash(name)
            self.fleet.clock.callLater(0.8, self.fleet.start, name)

    def _partition_gateway(self) -> None:
        name = self._random_node("gateway")
        if name is not None:
            self.counts["gateways cut off"] += 1
            for_s = self._draw.uniform(1.0, 5.0)
            self._disturb(name, for_s)
            self.fleet.isolate(name)
            self.fleet.clock.callLater(for_s, self.fleet.rejoin, name)

    def _freeze_node(self) -> None:
        name = self._random_node(self._draw.choice(("gateway", "controller")))
        if name is not None:
            self.counts["nodes frozen"] += 1
            for_s = self._draw.uniform(0.5, 4.0)
            self._disturb(name, for_s)
            self.fleet.freeze(name)
            self.fleet.clock.callLater(for_s, self.fleet.thaw, name)

    # --- checks --------------------------------------------------------------------------

    def _is_connected(self, node: str, at_s: float) -> bool:
        for each in self._disturbances:
            concerns = each.node == node or not each.node.startswith("gateway")
            if concerns and each.from_s <= at_s <= each.to_s + CONNECTED_AFTER_S:
                return False
        return True

    def _judge(self) -> None:
        for body in self._fatal:
            self._judge_fatal(body)
        held = {each.fingerprint for each in self.fleet.decided().requests if each.held}
        fatal = {_fingerprint(body) for body in self._fatal}
        for body in self._common:
            if _fingerprint(body) in held:
                self.violations.append(f"{body!r} is held, but crashed no runner")
        others = held - fatal - {_fingerprint(body) for body in self._common}
        if others:
            self.violations.append(f"{len(others)} requests of others are held")
        self.counts["requests"] += len(self.fleet.exchanges)

    def _judge_fatal(self, body: bytes) -> None:
        ends = sorted(self._runners.fatal_crashes.get(body, []))
        self.counts["ends under fatal bodies"] += len(ends)
        if len(ends) < CRASHES_COUNTED:
            return
        self.counts["fatal bodies judged"] += 1
        allowed_until_s = ends[CRASHES_COUNTED - 1] + CONNECTED_AFTER_S
        runs = [run for run in self._runners.fatal_runs if run.body == body]
        late = [run for run in runs if run.at_s > allowed_until_s]
        counted = [run for run in late if self._is_connected(run.sender, run.at_s)]
        self.counts["late runs out of touch"] += len(late) - len(counted)
        self.counts["late runs"] += len(counted)
        if len(counted) > LATE_RUNS_ALLOWED:
            first = [(round(run.at_s, 2), run.sender) for run in counted[:4]]
            self.violations.append(f"{body!r} ran {len(counted)} times late: {first}")


def _fingerprint(body: bytes) -> Fingerprint:
    return fingerprint_of("", HOST, b"POST", PATH.encode(), body)
