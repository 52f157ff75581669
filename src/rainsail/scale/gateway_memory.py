"""Traced memory of what a gateway keeps: resources, followed runners, open streams."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace

from rainsail.control.resource_table import ResourceTable
from rainsail.resources.specs import (
    EventType,
    Kind,
    Resource,
    ResourceKey,
    SessionSpec,
    WatchEvent,
)
from rainsail.scale.gateway_run import LoneGateway
from rainsail.scale.workload import FleetSize, declarations, tenant_name
from rainsail.state.commands import CommandRecord, PutResource
from rainsail.state.machine import ReplicatedState
from rainsail.wire.codec import decode, decode_body, encode, encode_body

OPEN_STREAMS = 1000
SESSIONS = 1000
SMALL = FleetSize(nodes=10, runners=100, regions=1, zones=1, tenants=100, models=1)
"""The fleet that the memory of larger ones is compared with."""


@dataclass(frozen=True, slots=True)
class KeptMemory:
    """Traced bytes of Python objects per thing kept.

    ``bytes_per_runner``, ``_tenant``, ``_node`` and ``_session`` are of the resource in the
    configuration view; a followed runner costs ``bytes_per_followed_runner`` more, without the
    socket of its feed. ``replica_state_bytes`` is the replicated state of the whole target with
    its windows of events and changes.
    """

    bytes_per_runner: float
    bytes_per_tenant: float
    bytes_per_node: float
    bytes_per_session: float
    bytes_per_followed_runner: float
    bytes_per_open_stream: float
    replica_state_bytes: float


def measure_memory(seed: int, target: FleetSize) -> KeptMemory:
    """Measure bytes per resource of each kind, followed runner, open stream; a replica's state."""
    tracemalloc.start()
    try:
        base = _traced_table(SMALL)
        runners = _traced_table(replace(SMALL, runners=SMALL.runners + 300)) - base
        tenants = _traced_table(replace(SMALL, tenants=SMALL.tenants + 1000)) - base
        nodes = _traced_table(replace(SMALL, nodes=SMALL.nodes + 100)) - base
        sessions = _traced_table(SMALL, SESSIONS) - base
        followed = _traced_gateway(replace(SMALL, runners=SMALL.runners + 300), seed)
        followed -= _traced_gateway(SMALL, seed)
        streams = _traced_streams(seed)
        replica = _traced_state(target)
    finally:
        tracemalloc.stop()
    return KeptMemory(
        runners / 300.0,
        tenants / 1000.0,
        nodes / 100.0,
        sessions / SESSIONS,
        followed / 300.0,
        streams / OPEN_STREAMS,
        replica,
    )


def _traced_table(size: FleetSize, sessions: int = 0) -> float:
    """Return the bytes of a gateway's copy of the resources, as decoded from the wire."""
    state = ReplicatedState()
    for index, command in enumerate(declarations(size)):
        state.apply(index + 1, command)
    for number in range(sessions):
        key = ResourceKey(Kind.SESSION, f"session-{number:06d}")
        command = PutResource(f"s{number}", key, SessionSpec(tenant_name(0), "model-0"))
        state.apply(size.resources * 2 + number, command)
    encoded = [encode(resource) for resource in state.list_resources()]
    table = ResourceTable()

    def fill() -> None:
        for data in encoded:
            resource: Resource = decode(data)
            table.apply(WatchEvent(EventType.PUT, resource.revision, resource))

    return _traced(fill)


def _traced_state(size: FleetSize) -> float:
    """Return the bytes of a replica's state of a whole fleet, as decoded from the log."""
    commands = [encode_body(CommandRecord(command)) for command in declarations(size)]
    state = ReplicatedState()

    def fill() -> None:
        for index, data in enumerate(commands):
            state.apply(index + 1, decode_body(CommandRecord, data).command)

    return _traced(fill)


def _traced_gateway(size: FleetSize, seed: int) -> float:
    """Return the bytes that a gateway beside its copy of the resources takes."""
    gateway = LoneGateway(size, seed)
    return _traced(gateway.start)


def _traced_streams(seed: int) -> float:
    gateway = LoneGateway(replace(SMALL, runners=333), seed, chunks=0)
    gateway.start()

    def open_streams() -> None:
        for _ in range(OPEN_STREAMS):
            gateway.submit()

    return _traced(open_streams)


def _traced(work: Callable[[], object]) -> float:
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    work()
    gc.collect()
    return float(tracemalloc.get_traced_memory()[0] - before)
