"""A small control plane in virtual time: in-memory replicas, a network, and gateways."""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Ok
from features.support.virtual_time import result_of, wait_until
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import StringTransportWithDisconnection

from rainsail.consensus.group_status import GroupHealth, GroupStatusReply
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.operator_api import OperatorApi
from rainsail.control.operator_auth import AuthenticatedCaller
from rainsail.control.operator_site import make_operator_site
from rainsail.control.service import ControlService
from rainsail.control.settings import ControlSettings
from rainsail.control.watcher import WatchHub
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.resources.specs import GatewaySpec, Kind, ResourceKey, ServiceSpec
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.state.commands import ANY_REVISION, ROOT_GROUP, PutResource
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.extensions import EXTENSION_LEVEL
from rainsail.wire.messenger import Messenger

READ_LEASE_S = 1.0
WATCH_BUFFER_EVENTS = 20
COMMIT_DELAY_S = 0.004
ONE_WAY_DELAY_S = 0.001


class MemoryNetwork:
    """Carries encoded envelopes with a fixed delay; drops those of partitioned processes."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.cut: dict[str, bool] = {}
        self.bytes_received: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}
        self.lose_replies_of: dict[str, bool] = {}
        self._receivers: dict[str, Callable] = {}

    def send(self, source: str, destination: str, envelope) -> Fault | None:
        """Carry one envelope; envelopes from and to a partitioned process are lost."""
        if destination not in self._receivers:
            return Fault(FaultCode.UNAVAILABLE, "network.send", "no such process", destination)
        data = encode_envelope(envelope)
        self.bytes_sent[source] = self.bytes_sent.get(source, 0) + len(data)
        if self.lose_replies_of.get(source):
            return None
        self.clock.callLater(ONE_WAY_DELAY_S, self._arrive, source, destination, data)
        return None

    def _arrive(self, source: str, destination: str, data: bytes) -> None:
        if self.cut.get(source) or self.cut.get(destination):
            return
        self.bytes_received[destination] = self.bytes_received.get(destination, 0) + len(data)
        self._receivers[destination](source, decode_envelope(data))

    def attach(self, name: str, receive: Callable) -> None:
        """Add or replace a process."""
        self._receivers[name] = receive


class MemoryTransport:
    """One process's end of a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self.name = name
        self._network = network

    def send(self, destination, envelope):
        """Send one envelope."""
        return self._network.send(self.name, destination, envelope)

    def listen(self, deliver):
        """Register the receiver of this process's envelopes."""
        self._network.attach(self.name, deliver)

    def extension_level(self, peer):
        """Return the own level: all processes run the same version."""
        return EXTENSION_LEVEL


class MemoryGroup:
    """One replica's member of a group whose committed log is shared in memory."""

    group = ROOT_GROUP

    def __init__(self, fleet: "ControlFleet", name: str, state: ReplicatedState) -> None:
        self.name = name
        self.state = state
        self.lagging = False
        self.read_lease_until_s = -1.0
        self._fleet = fleet
        self._applied = 0
        self._open: list[Deferred] = []
        self._applied_listeners: list[Callable[[int], None]] = []
        self._leadership_listeners: list[Callable[[bool], None]] = []

    def is_leader(self):
        """Tell whether this replica leads; a partitioned leader does so until its lease expires."""
        if self._fleet.leader_name != self.name and self.read_lease_until_s < 0:
            return False
        if self._fleet.network.cut.get(self.name):
            return self._fleet.clock.seconds() < self.read_lease_until_s
        return self._fleet.leader_name == self.name

    def leader(self):
        """Return the leader's name; empty on a partitioned replica."""
        return "" if self._fleet.network.cut.get(self.name) else self._fleet.leader_name

    def propose(self, command):
        """Commit after the delay; on a partitioned replica nothing commits."""
        if not self.is_leader():
            return succeed(
                Error(Fault(FaultCode.NOT_LEADER, "group.propose", "not leader", self.leader()))
            )
        done: Deferred = Deferred()
        self._open.append(done)
        self._fleet.clock.callLater(COMMIT_DELAY_S, self._commit, command, done)
        return done

    def _commit(self, command, done):
        if self._fleet.network.cut.get(self.name) or self._fleet.leader_name != self.name:
            return
        self._open.remove(done)
        self._fleet.log.append(command)
        index = len(self._fleet.log)
        outcomes = self.catch_up()
        for other in self._fleet.groups.values():
            if other is not self and not other.lagging:
                self._fleet.clock.callLater(ONE_WAY_DELAY_S, other.follow)
        done.callback(Ok((index, outcomes[-1])))

    def follow(self):
        """Apply the committed commands unless partitioned or lagging."""
        if not self.lagging and not self._fleet.network.cut.get(self.name):
            self.catch_up()

    def catch_up(self):
        """Apply all committed commands; return the outcomes."""
        outcomes = []
        while self._applied < len(self._fleet.log):
            self._applied += 1
            outcomes.append(self.state.apply(self._applied, self._fleet.log[self._applied - 1]))
        for listener in self._applied_listeners:
            listener(self._applied)
        return outcomes

    def read_barrier(self):
        """Fire at once, because this test double's leader has applied all committed commands."""
        return succeed(Ok(self._applied))

    def on_applied(self, listener):
        """Note a listener."""
        self._applied_listeners.append(listener)

    def on_leadership(self, listener):
        """Note a listener."""
        self._leadership_listeners.append(listener)

    def set_leading(self, leading):
        """Start or end a leadership term; at its end, open proposals fail with outcome UNKNOWN."""
        if not leading:
            ended, self._open = self._open, []
            for done in ended:
                fault = Fault(
                    FaultCode.UNAVAILABLE, "group.propose", "deposed", outcome=Outcome.UNKNOWN
                )
                done.callback(Error(fault))
        for listener in self._leadership_listeners:
            listener(leading)

    def status(self):
        """Return a healthy group's status."""
        return GroupStatusReply(
            self.name,
            self.leader(),
            1,
            len(self._fleet.log),
            self._applied,
            self.state.revision,
            GroupHealth.HEALTHY,
            1,
            (),
        )


@dataclass(eq=False)
class GatewayProcess:
    """A gateway's configuration view with its own clock, and the revisions it applied."""

    name: str
    clock: SkewedClock
    view: ConfigView
    revisions: list[int] = field(default_factory=list)


class ControlFleet:
    """Replicas r1, r2, ... with control services, gateways and operators' clients."""

    def __init__(
        self, replicas: int = 3, settings: ControlSettings | None = None, event_window: int = 10_000
    ) -> None:
        self.clock = VirtualClock()
        self.network = MemoryNetwork(self.clock)
        self.settings = settings or ControlSettings()
        self.log: list = []
        self.leader_name = ""
        self.groups: dict[str, MemoryGroup] = {}
        self.gateways: dict[str, GatewayProcess] = {}
        self._event_window = event_window
        for number in range(1, replicas + 1):
            self._add_replica(f"r{number}")
        self.elect("r1")

    def _add_replica(self, name: str) -> None:
        state = ReplicatedState(StateSettings(event_window_count=self._event_window))
        group = MemoryGroup(self, name, state)
        messenger = Messenger(MemoryTransport(self.network, name), self.clock)
        self.groups[name] = group
        ControlService(
            {ROOT_GROUP: group}, {ROOT_GROUP: state}, messenger, self.clock, self.settings
        ).start()

    @property
    def leader(self) -> MemoryGroup:
        """Return the leader's group."""
        return self.groups[self.leader_name]

    def elect(self, name: str) -> None:
        """Make a replica the leader; the old leader steps down at once, unless partitioned."""
        old = self.leader_name
        self.leader_name = name
        if old and not self.network.cut.get(old):
            self.groups[old].set_leading(False)
        self.groups[name].lagging = False
        self.groups[name].catch_up()
        self.groups[name].set_leading(True)

    def cut_off(self, name: str) -> None:
        """Partition a process from all others; its messages are dropped without an error."""
        if name == self.leader_name:
            self.groups[name].read_lease_until_s = self.clock.seconds() + READ_LEASE_S
        self.network.cut[name] = True

    def heal(self, name: str) -> None:
        """End a process's partition."""
        self.network.cut[name] = False
        if name in self.groups:
            self.groups[name].read_lease_until_s = -1.0
            if name != self.leader_name:
                self.groups[name].set_leading(False)
            self.groups[name].follow()

    def client(self, name: str) -> LeaderClient:
        """Return a leader client of a new process."""
        messenger = Messenger(MemoryTransport(self.network, name), self.clock)
        return self._client(name, messenger, self.clock)

    def _client(self, name: str, messenger: Messenger, clock) -> LeaderClient:
        return LeaderClient(
            messenger, tuple(self.groups), clock, random.Random(name), self.settings
        )

    def start_gateway(self, name: str, incarnation: str = "a", rate: float = 1.0) -> GatewayProcess:
        """Start a gateway's configuration view."""
        clock = SkewedClock(self.clock, rate)
        messenger = Messenger(MemoryTransport(self.network, name), clock)
        view = ConfigView(
            name,
            incarnation,
            GatewaySpec("south", "z1", incarnation),
            messenger,
            self._client(name, messenger, clock),
            clock,
            random.Random(f"{name}/{incarnation}"),
            self.settings,
        )
        gateway = GatewayProcess(name, clock, view)
        view.on_event(lambda event: gateway.revisions.append(event.revision))
        self.gateways[name] = gateway
        view.start()
        return gateway

    def finish(self, deferred, limit_s: float = 30.0):
        """Run virtual time until a Deferred has fired; return its result."""
        return result_of(self.clock, deferred, limit_s)

    def wait_until(self, condition: Callable[[], bool], limit_s: float = 30.0) -> float:
        """Run virtual time until a condition holds; return the seconds that took."""
        return wait_until(self.clock, condition, limit_s)

    def change(self, name: str = "assistant", runners: int = 1, expected: int = ANY_REVISION):
        """Return a change of a service with a unique change id."""
        change_id = f"{name}/{runners}/{expected}/{len(self.log)}"
        return service_change(change_id, name, runners, expected)


def service_change(change_id: str, name: str, runners: int, expected: int = ANY_REVISION):
    """Return a put of a Service."""
    key = ResourceKey(Kind.SERVICE, name)
    return PutResource(change_id, key, ServiceSpec(runners=runners), expected)


class WatchClient:
    """A watch client that reads lines as they arrive."""

    def __init__(self, fleet: ControlFleet, replica: str, revision: int, kinds) -> None:
        group = fleet.groups[replica]
        settings = fleet.settings.model_copy(update={"watch_buffer_events": WATCH_BUFFER_EVENTS})
        self.hub = WatchHub(group.state, fleet.clock, settings)
        self.lines: list[dict] = []
        self.ended = False
        self._revision = revision
        self.watcher = self.hub.watch(self, revision, kinds)
        group.on_applied(lambda index: self.hub.state_applied())
        self.watcher.start()

    def write_line(self, line: bytes) -> None:
        """Read one line."""
        self.lines.append(json.loads(line))

    def end(self, disconnect: bool) -> None:
        """Record the end of the watch."""
        self.ended = True

    def close(self) -> None:
        """Disconnect."""
        self.watcher.stop()

    def last_revision(self) -> int:
        """Return the revision of the last change or bookmark read."""
        read = [line["revision"] for line in self.lines if "error" not in line]
        return read[-1] if read else self._revision


class HttpConnection:
    """One HTTP connection to a replica's operator API, in memory."""

    def __init__(self, fleet: ControlFleet, replica: str, token: str) -> None:
        group = fleet.groups[replica]
        self._fleet = fleet
        self._token = token
        self.api = OperatorApi(
            group,
            group.state,
            fleet.client(f"api-{replica}"),
            fleet.clock,
            fleet.settings,
            authenticate={
                "key": AuthenticatedCaller("", True),
                "north-key": AuthenticatedCaller("north", False),
            }.get,
            metrics=lambda: b"rainsail_up 1\n",
            random=random.Random(replica),
            wall_clock=fleet.clock.seconds,
        )
        site = make_operator_site(self.api.app.resource())
        self.transport = StringTransportWithDisconnection()
        self.channel = site.buildProtocol(None)
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)

    def send(self, method: str, path: str, body=None) -> None:
        """Send a request."""
        data = (
            b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        self.transport.clear()
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: replica",
            f"Authorization: Bearer {self._token}",
            f"Content-Length: {len(data)}",
        ]
        self.channel.dataReceived("\r\n".join([*lines, "", ""]).encode() + data)

    def request(self, method: str, path: str, body=None):
        """Send a request; return status and body once the response is complete."""
        self.send(method, path, body)
        self._fleet.wait_until(self._answered)
        head, _, rest = self.transport.value().partition(b"\r\n\r\n")
        text = b"".join(chunks(rest)) if b"chunked" in head.lower() else rest
        return int(head.split()[1]), text

    def _answered(self) -> bool:
        head, separator, rest = self.transport.value().partition(b"\r\n\r\n")
        if b"chunked" in head.lower():
            return rest.endswith(b"0\r\n\r\n")
        length = [
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length")
        ]
        return bool(separator) and bool(length) and len(rest) >= length[0]

    def watch_lines(self) -> list[dict]:
        """Return the lines that a watch has sent so far."""
        rest = self.transport.value().partition(b"\r\n\r\n")[2]
        return [json.loads(line) for line in b"".join(chunks(rest)).splitlines()]


def chunks(data: bytes):
    """Yield the chunks of a chunked body received so far."""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return
        yield data[:length]
        data = data[length + 2 :]
