"""The interface (port) that a platform adapter implements: translation only, no decisions."""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.cluster.controller import FleetController
from rainsail.http.exchange import Handler
from rainsail.jobs.client import JobClient
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.table_reader import TableReader


@dataclass(frozen=True, slots=True)
class PlatformPort:
    """The parts of an adapter.

    ``client_handler`` serves clients, ``readiness_handler`` readiness checks of a gateway,
    ``control_handler`` runners and operators.
    """

    protocol: RelayProtocol
    read_table: TableReader
    client_handler: Callable[[RelayGateway, JobClient], Handler]
    readiness_handler: Callable[[RelayGateway], Handler]
    control_handler: Callable[[FleetController], Handler]
