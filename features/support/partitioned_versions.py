"""A relaying fleet with partitions, across which runners of another software version join.

Each runner reports to the controllers that a test names. Clients reach all gateways, and all
gateways reach all runners.
"""

from typing import Any

from features.support.crashing_runners import CrashingRunner
from features.support.fatal_request_fleet import PATH, RESUMABLE_SPLIT
from features.support.relaying import StandInExchange
from features.support.version_soak import EVENT, VersionFleet

from rainsail.http.exchange import HttpRequest


class PartitionedFleet(VersionFleet):
    """A fleet whose runners report to certain controllers, by the runners' numbers."""

    def __init__(self, seed: int, gateways: int, runners: int, reports_to: list[str]) -> None:
        """``reports_to``: the controllers that hear of the first runners; empty means all."""
        self.reports_to: dict[int, list[str]] = {}
        self._first_reports_to = reports_to
        super().__init__(seed, gateways, runners)

    def report_version(self, number: int, version: str) -> None:
        """Set the version of a runner."""
        assert self.runners is not None
        self.runners.versions[number] = version

    def _heartbeat(self, record: Any) -> None:
        """Pass a runner's heartbeat with its version to each running controller that hears it."""
        number = int(record.address.rpartition(".")[2].partition(":")[0])
        version = self.runners.versions.get(number, "v1") if self.runners else "v1"
        heard_by = self.reports_to.get(number, self._first_reports_to)
        for name in sorted(heard_by or self.names("controller")):
            if name in self.nodes and self.controller(name) is not None:
                self.controller(name).reports.take(record, version)

    def join(self, version: str, reports_to: list[str]) -> None:
        """Start one more runner."""
        assert self.runners is not None
        runner = CrashingRunner(len(self.runners.runners) + 1)
        self.runners.runners.append(runner)
        self.reports_to[runner.number] = reports_to
        self.report_version(runner.number, version)
        self.runners._send_heartbeats(runner, runner.incarnation)

    def move_half(self, service: str) -> None:
        """Split the route of the streams with another service, which has no runners."""
        controller = self.controller(self.names("controller")[0])
        done = controller.tables.replace(2, f"2{RESUMABLE_SPLIT}{service}".encode())
        assert self.result_of(done, "a table").is_ok()

    def cut_one_way(self, sources: list[str], targets: list[str]) -> None:
        """Drop in silence what some nodes send to others."""
        for source in sources:
            for target in targets:
                self.network.cut(self.address(source), self.address(target))

    def cut_both_ways(self, some: list[str], others: list[str]) -> None:
        """Drop in silence what two groups of nodes send to each other."""
        self.cut_one_way(some, others)
        self.cut_one_way(others, some)


class ReadingClient:
    """A client that takes its stream up at the gateways that a test names."""

    def __init__(self, fleet: PartitionedFleet, name: str) -> None:
        self.events: list[tuple[int, str]] = []
        self.answers: list[StandInExchange] = []
        self.first = ""
        """The id of the attempt that brought the first event."""
        self.has_resumed = False
        """Whether an attempt after the first has brought events."""
        self._fleet = fleet
        self._name = name

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the events of the stream."""
        return {version for _, version in self.events}

    def ask(self, gateway: str) -> None:
        """Send an attempt, which resumes the stream if the client has events of it."""
        request = f"{self._name}-{len(self.answers)}"
        fields = [(b"request", request.encode())]
        if self.events:
            fields.append((b"after", str(self.events[-1][0]).encode()))
            fields.append((b"resumes", self.first.encode()))
        seconds = self._fleet.nodes[gateway].clock.seconds()
        body = self._name.encode()
        head = HttpRequest(b"POST", PATH.encode(), tuple(fields), body, seconds)
        self.answers.append(StandInExchange(head, self._fleet.clock))
        self._fleet.relays[gateway].handle(self.answers[-1])

    def read(self) -> list[tuple[int, str]]:
        """Take the events that the last attempt has brought, and return them."""
        found = [(int(n), name.decode()) for n, name in EVENT.findall(self.answers[-1].body)]
        if found and not self.events:
            self.first = f"{self._name}-{len(self.answers) - 1}"
        elif found:
            self.has_resumed = True
        self.events += found
        return found

    def read_on(self) -> None:
        """Take the further events of the attempt of which some have been taken."""
        found = [(int(n), name.decode()) for n, name in EVENT.findall(self.answers[-1].body)]
        known = {number for number, _ in self.events}
        self.events += [(number, name) for number, name in found if number not in known]
