"""A relay gateway with tenants in its routing table, and doubles for clients and runners."""

import json
import random
from typing import Any

from features.support.relaying import (
    HOST,
    SERVICE,
    StandInCall,
    StandInExchange,
    StandInPool,
    runner_record,
)

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import NodeRecord, NodeRole, TableDocument
from rainsail.cluster.registry import RunnerRegistry
from rainsail.fleet_api.tables import read_table
from rainsail.http.exchange import HttpRequest
from rainsail.http.server import HttpLimits
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.context import make_context
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.header_protocol import HeaderNames, HeaderProtocol
from rainsail.relay.settings import RelaySettings
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.network import SimulatedNetwork
from rainsail.wire.messenger import Messenger

KEY = "key-of-a-1"
OTHER_KEY = "key-of-b-1"
TENANTS = [
    {"name": "a", "keys": [KEY, "key-of-a-2"]},
    {"name": "b", "keys": [OTHER_KEY], "rate_per_s": 1.0, "burst": 1.0},
]


def table_content(version: int, tenants: Any = None) -> bytes:
    """Return a routing table with one route that needs a key and one public route."""
    route = {
        "host": HOST,
        "kind": "safe",
        "services": {SERVICE: 1.0},
        "timeout_s": 4.0,
        "target_s": 0.3,
        "max_attempts": 2,
    }
    document: dict[str, Any] = {
        "version": version,
        "routes": [
            {"name": "keyed", "prefix": "/a/", **route},
            {"name": "open", "prefix": "/open/", "public": True, **route},
        ],
        "services": [{"name": SERVICE}],
    }
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


class KeyedGateway:
    """One gateway on the virtual clock; no controller is reachable."""

    def __init__(self, keys_trusted_s: float | None = None) -> None:
        self.clock = VirtualClock()
        self.pool = StandInPool()
        registry = RunnerRegistry()
        registry.take((runner_record(1), runner_record(2)))
        network = SimulatedNetwork(self.clock, random.Random(1))
        messenger = Messenger(network.transport("gateway"), self.clock)
        node = NodeRecord("gateway", "gateway-1", NodeRole.GATEWAY, "zone-1", 1)
        self.follower = FleetFollower(node, (), messenger, self.clock, registry)
        context = make_context(
            "zone-1",
            self.clock,
            registry,
            self.pool,  # type: ignore[arg-type]
            HeaderProtocol(HeaderNames()),
            random.Random(1),
            RelaySettings(keys_trusted_s=keys_trusted_s),
        )
        self.metrics = NodeMetrics()
        limits = HttpLimits()
        self.gateway = RelayGateway(
            context, self.follower, messenger, read_table, limits, self.metrics
        )

    def put_table(self, version: int, tenants: Any = None) -> None:
        """Apply a routing table."""
        content = table_content(version, tenants)
        assert read_table(content).is_ok(), read_table(content)
        self.follower.on_table(TableDocument(version, content))

    def request(
        self,
        *fields: tuple[bytes, bytes],
        path: bytes = b"/a/1",
        request: bytes = b"r-1",
        body: bytes = b"body",
    ) -> StandInExchange:
        """Send a request with some header fields from a client."""
        own = ((b"Host", HOST.encode()), (b"Rainsail-Request", request))
        head = HttpRequest(b"POST", path, (*own, *fields), body, self.clock.seconds())
        exchange = StandInExchange(head, self.clock)
        self.gateway.handle(exchange)
        self.clock.advance(0.001)
        return exchange

    @property
    def calls(self) -> list[StandInCall]:
        """All calls that were sent to runners."""
        return self.pool.calls


def bearer(key: str) -> tuple[bytes, bytes]:
    """Return the header field with a key."""
    return (b"Authorization", b"Bearer " + key.encode())
