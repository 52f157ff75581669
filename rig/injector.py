"""Injects failures: each method starts one, holds it, ends it and awaits the recovery."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import (
    DrainDeclared,
    FaultEnded,
    FaultInjected,
    History,
    PlannedStop,
)
from rainsail.resources.specs import Kind
from rainsail.runtime.clock import sleep
from rainsail.state.commands import ANY_REVISION
from rig.daemon import Daemon
from rig.fleet import STOP_LIMIT_S, GroupState, RigFleet
from rig.operators import RigOperator

HEALTHY = "Healthy"
DEGRADED = "Degraded"
CONDITION_DRAINING = "Draining"
LONG_PAUSE_S = 60.0


@dataclass(frozen=True, slots=True)
class HoldTimes:
    """Durations of failures, in seconds."""

    down_s: float
    paused_s: float
    drained_s: float


class Injector:
    """Injects failures into a fleet and records the start and end of each."""

    def __init__(
        self,
        fleet: RigFleet,
        operator: RigOperator,
        history: History,
        draw: random.Random,
        hold: HoldTimes,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.violations: list[Violation] = []
        self._fleet = fleet
        self._operator = operator
        self._history = history
        self._draw = draw
        self._hold = hold
        self._voters = len(fleet.replicas())

    def _begin(self, kind: str, target: str) -> None:
        self.counts[kind] += 1
        self._history.record(FaultInjected(self._fleet.clock.seconds(), kind, target))

    def _end(self, kind: str, target: str) -> None:
        self._history.record(FaultEnded(self._fleet.clock.seconds(), kind, target))

    async def _wait(self, seconds: float) -> None:
        await sleep(self._fleet.clock, seconds)

    async def _start(self, daemons: list[Daemon]) -> None:
        for daemon in daemons:
            daemon.start()
        await self._fleet.until_ready(daemons)

    async def until_fully_redundant(self) -> GroupState:
        """Wait until the group is healthy and tolerates its full number of losses."""
        return await self._fleet.until_group(HEALTHY, (self._voters - 1) // 2)

    # --- replicas -------------------------------------------------------------------------

    async def kill_leader(self) -> None:
        """Kill the leader; the group must report how many further losses it tolerates."""
        await self._kill_replicas("kill_leader", 1)

    async def kill_two_replicas(self) -> None:
        """Kill the leader and another replica."""
        await self._kill_replicas("kill_two_replicas", 2)

    async def _kill_replicas(self, kind: str, count: int) -> None:
        state = await self.until_fully_redundant()
        others = [each for each in self._fleet.replicas() if each.name != state.leader]
        targets = [self._fleet.daemons[state.leader], *self._draw.sample(others, count - 1)]
        await self._kill_and_restart(kind, targets)

    async def kill_all_replicas(self) -> None:
        """Kill all replicas at once, as in a power failure."""
        await self.until_fully_redundant()
        await self._kill_and_restart("kill_all_replicas", self._fleet.replicas())

    async def _kill_and_restart(self, kind: str, targets: list[Daemon]) -> None:
        names = ",".join(target.name for target in targets)
        self._begin(kind, names)
        for target in targets:
            target.kill()
        borne = (self._voters - 1) // 2 - len(targets)
        if borne >= 0:
            await self._fleet.until_group(DEGRADED, borne)
        await self._wait(self._hold.down_s)
        await self._start(self._draw.sample(targets, len(targets)))
        await self.until_fully_redundant()
        self._end(kind, names)

    async def lose_disk(self) -> None:
        """Kill a replica and wipe its disk; it must rejoin under a new identity on its own."""
        before = await self.until_fully_redundant()
        target = self._draw.choice(self._fleet.replicas())
        self._begin("lose_disk", target.name)
        target.kill()
        target.wipe()
        await self._start([target])
        await self._fleet.until(f"{target.name} is repaired", lambda: self._has_replacement(before))
        self._end("lose_disk", target.name)

    async def _has_replacement(self, before: GroupState) -> bool:
        """Return whether the group is fully redundant again, with one identity replaced."""
        now = await self._fleet.group_state()
        if now is None or (now.health, now.losses_borne) != (HEALTHY, (self._voters - 1) // 2):
            return False
        kept = set(now.identities) & set(before.identities)
        return len(now.identities) == self._voters and len(kept) == self._voters - 1

    async def lose_disk_then_two(self) -> None:
        """Lose a disk, then two further replicas as soon as the repair is reported complete."""
        await self.lose_disk()
        await self.kill_two_replicas()

    async def pause_leader(self) -> None:
        """Pause the leader with its connections open, then resume it."""
        await self._pause_leader("pause_leader", self._hold.paused_s)

    async def pause_leader_for_a_minute(self) -> None:
        """Pause the leader far longer than any lease."""
        await self._pause_leader("pause_leader_for_a_minute", LONG_PAUSE_S)

    async def _pause_leader(self, kind: str, paused_s: float) -> None:
        state = await self.until_fully_redundant()
        target = self._fleet.daemons[state.leader]
        self._begin(kind, target.name)
        target.pause()
        await self._fleet.until_group(DEGRADED, (self._voters - 1) // 2 - 1)
        await self._wait(paused_s)
        target.resume()
        await self.until_fully_redundant()
        self._end(kind, target.name)

    async def stop_replica(self) -> None:
        """Stop a replica as planned and start it again."""
        await self.until_fully_redundant()
        await self._stop_and_start("stop_replica", self._draw.choice(self._fleet.replicas()))
        await self.until_fully_redundant()

    # --- gateways -------------------------------------------------------------------------

    async def kill_gateway(self) -> None:
        """Kill a gateway with streams and batch items in progress."""
        target = self._draw.choice(self._fleet.gateways())
        await self._kill_process("kill_gateway", target)

    async def pause_gateway(self) -> None:
        """Pause a gateway until its leases have expired, then resume it."""
        target = self._draw.choice(self._fleet.gateways())
        self._begin("pause_gateway", target.name)
        target.pause()
        await self._wait(self._hold.paused_s)
        target.resume()
        await self._fleet.until_ready([target])
        self._end("pause_gateway", target.name)

    async def pause_gateway_through_drain(self) -> None:
        """Pause a gateway while a runner's drain is declared and takes effect."""
        runner = self._draw.choice(self._fleet.layout.runners())
        target = self._draw.choice(self._fleet.gateways())
        self._begin("pause_gateway_through_drain", target.name)
        target.pause()
        await self._set_drain(runner, True)
        await self._wait(self._hold.paused_s)
        target.resume()
        await self._fleet.until_ready([target])
        await self._wait(self._hold.drained_s)
        await self._set_drain(runner, False)
        self._end("pause_gateway_through_drain", target.name)

    async def stop_gateway(self) -> None:
        """Stop a gateway as planned, so that it finishes its streams, and start it again."""
        await self._stop_and_start("stop_gateway", self._draw.choice(self._fleet.gateways()))

    async def _stop_and_start(self, kind: str, target: Daemon) -> None:
        clock = self._fleet.clock
        self._begin(kind, target.name)
        self._history.record(PlannedStop(clock.seconds(), target.name, False))
        target.terminate()
        ended: Any = await target.ended(STOP_LIMIT_S)
        self._history.record(PlannedStop(clock.seconds(), target.name, True))
        if not ended or target.exit_code != 0:
            detail = f"{target.name}: planned stop ended with {target.exit_code}"
            self.violations.append(Violation("rig.planned_stop", detail))
            target.kill()
        await self._start([target])
        self._end(kind, target.name)

    # --- platform -------------------------------------------------------------------------

    async def kill_engines(self) -> None:
        """Kill an engine process with requests and batch items in progress."""
        await self._kill_process("kill_engines", self._draw.choice(self._fleet.engines()))

    async def _kill_process(self, kind: str, target: Daemon) -> None:
        self._begin(kind, target.name)
        target.kill()
        await self._wait(self._hold.down_s)
        await self._start([target])
        self._end(kind, target.name)

    async def drain_runner(self) -> None:
        """Declare a runner's drain and revoke it later."""
        runner = self._draw.choice(self._fleet.layout.runners())
        self.counts["drain_runner"] += 1
        await self._set_drain(runner, True)
        await self._wait(self._hold.drained_s)
        await self._set_drain(runner, False)

    async def _set_drain(self, runner: str, drain: bool) -> None:
        resource = await self._operator.read(f"/v1/resources/Runner/{runner}")
        spec = {**resource["spec"], "drain": drain}
        clock = self._fleet.clock
        if not drain:
            self._history.record(DrainDeclared(clock.seconds(), runner, False))
        await self._operator.put(Kind.RUNNER, runner, spec, ANY_REVISION)
        if drain:
            self._history.record(DrainDeclared(clock.seconds(), runner, True))

    async def machine_leaves(self) -> None:
        """List a runner's machine as leaving, and later as live again."""
        runner = self._draw.choice(self._fleet.layout.runners())
        self.counts["machine_leaves"] += 1
        await self._fleet.put_machine(runner, "leaving")
        await self._fleet.until(f"{runner} is draining", lambda: self._is_draining(runner, True))
        self._history.record(DrainDeclared(self._fleet.clock.seconds(), runner, True))
        await self._wait(self._hold.drained_s)
        self._history.record(DrainDeclared(self._fleet.clock.seconds(), runner, False))
        await self._fleet.put_machine(runner, "live")
        await self._fleet.until(f"{runner} is back", lambda: self._is_draining(runner, False))

    async def _is_draining(self, runner: str, wanted: bool) -> bool:
        resource = await self._operator.read(f"/v1/resources/Runner/{runner}")
        draining = any(
            each["type"] == CONDITION_DRAINING and each["value"] for each in resource["conditions"]
        )
        return draining == wanted
