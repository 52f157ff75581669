"""A relaying fleet under random partitions while runners of new software versions join.

Each run begins with one version, as only then a stream without a record may go on; runners of the
first others join beside a partition of the controllers, and gateways are killed. Each runner
reports to one controller at a time. Nodes are cut off from others both ways or one way, frozen, or
killed; runners join at new versions and leave, and break off streams in between.
"""

from collections.abc import Callable

from features.support.partitioned_versions import PartitionedFleet
from features.support.version_soak import GATEWAYS, RUNNERS, VersionFleet, VersionSoak

from rainsail.cluster.messages import RunnerState

CUT_PROBABILITY = 0.9
ABORT_SHARE = 0.15
MAX_RUNNERS = 60


class VersionPartitionSoak(VersionSoak):
    """One random run with partitions."""

    client_period_s = 0.05
    faults_for_s = 15.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._runners.abort_share = ABORT_SHARE
        self._frozen: set[str] = set()

    def make_fleet(self, seed: int) -> VersionFleet:
        """Return a fleet whose runners report to certain controllers."""
        return PartitionedFleet(seed, GATEWAYS, RUNNERS, [])

    def faults(self) -> tuple[Callable[[], None], ...]:
        """Return the faults that strike at random; joins are among them most often."""
        return self._cut, self._cut, self._join, self._join, self._freeze, self._kill, self._report

    def begin_faults(self) -> None:
        """Have the first runners of another version join beside a partition."""
        fleet, draw = self.fleet, self._draw
        alone, *others = draw.sample(sorted(fleet.names("controller")), 3)
        sides = ([alone], others)
        for name in sorted(fleet.names("gateway")):
            sides[draw.randrange(2)].append(name)
        self._cut_apart(*sides)
        for _ in range(2):
            fleet.clock.callLater(draw.uniform(0.1, 4.0), self._join)
            fleet.clock.callLater(draw.uniform(1.0, 8.0), self._kill, "gateway")

    def _cut(self) -> None:
        """Cut some nodes off from others for a while."""
        fleet, draw = self.fleet, self._draw
        sides: tuple[list[str], list[str]] = ([], [])
        for name in sorted(fleet.names("controller") + fleet.names("gateway")):
            if draw.random() < CUT_PROBABILITY:
                sides[draw.randrange(2)].append(name)
        self._cut_apart(*sides)

    def _cut_apart(self, some: list[str], others: list[str]) -> None:
        """Cut two groups of nodes off from each other, both ways or one way."""
        fleet, draw = self.fleet, self._draw
        sides = [list(map(fleet.address, each)) for each in (some, others)]
        links = [(one, other) for one in sides[0] for other in sides[1]]
        if draw.random() < 0.6:
            links += [(other, one) for one, other in links]
        for link in links:
            fleet.network.cut(*link)
        self.counts["cuts"] += 1
        fleet.clock.callLater(draw.uniform(1.0, 8.0), self._mend, links)

    def _mend(self, links: list[tuple[str, str]]) -> None:
        for link in links:
            self.fleet.network.mend(*link)

    def _report(self) -> None:
        """Have each runner report to one controller from now on, or to all."""
        fleet = self.fleet
        assert isinstance(fleet, PartitionedFleet)
        for runner in self._runners.runners:
            fleet.reports_to[runner.number] = self._hears()

    def _hears(self) -> list[str]:
        return [f"controller-{self._draw.randint(1, 3)}"] if self._draw.random() < 0.7 else []

    def _join(self) -> None:
        """Start runners of one version, and have as many others leave or crash."""
        fleet, draw = self.fleet, self._draw
        assert isinstance(fleet, PartitionedFleet)
        version, heard_by = self._version(), self._hears()
        serving = [each for each in self._runners.runners if each.is_up and not each.has_left]
        count = draw.randint(1, 3)
        if len(self._runners.runners) + count > MAX_RUNNERS:
            return
        for _ in range(count):
            fleet.join(version, heard_by)
        self.counts["joined"] += count
        leaving = draw.sample(serving, min(count, max(0, len(serving) - 1)))
        for runner in leaving if draw.random() < 0.7 else []:
            if draw.random() < 0.5:
                self._runners.send_heartbeat(runner, RunnerState.GONE)
            else:
                self._runners.crash(runner, runner.incarnation, draw.uniform(0.3, 1.5))

    def _freeze(self) -> None:
        """Suspend a gateway or a controller for a while."""
        fleet, draw = self.fleet, self._draw
        names = sorted({*fleet.names("gateway"), *fleet.names("controller")} - self._frozen)
        name = draw.choice(names)
        self._frozen.add(name)
        fleet.freeze(name)
        self.counts["frozen"] += 1
        fleet.clock.callLater(draw.uniform(0.5, 4.0), self._thaw, name, fleet.nodes[name])

    def _thaw(self, name: str, node: object) -> None:
        self._frozen.discard(name)
        if self.fleet.nodes.get(name) is node:
            self.fleet.thaw(name)

    def _kill(self, kind: str = "") -> None:
        """Kill one gateway or controller and start it again."""
        fleet, draw = self.fleet, self._draw
        names = sorted(fleet.names("gateway") + fleet.names("controller"))
        name = draw.choice([each for each in names if each.startswith(kind)])
        if name in self._down or name in self._frozen:
            return
        self.counts["nodes again"] += 1
        self._down.add(name)
        fleet.crash(name)
        fleet.clock.callLater(draw.uniform(0.2, 1.0), self._start, name)
