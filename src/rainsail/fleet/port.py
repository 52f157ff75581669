"""What a platform's adapter gives to a node: translation, and nothing else."""

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
    """The adapter's parts.

    ``client_handler`` serves clients, ``readiness_handler`` whoever asks whether a gateway is
    ready, ``control_handler`` runners and operators.
    """

    protocol: RelayProtocol
    read_table: TableReader
    client_handler: Callable[[RelayGateway, JobClient], Handler]
    readiness_handler: Callable[[RelayGateway], Handler]
    control_handler: Callable[[FleetController], Handler]
