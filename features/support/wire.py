"""Helpers of the wire features: real loopback sockets on a reactor that steps drive by hand."""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from rainsail.wire.address import PeerAddress
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import Messenger
from rainsail.wire.settings import TlsSettings, WireSettings
from rainsail.wire.tcp import TcpTransport

LIMIT_S = 20.0
"""A wait that takes this long has failed; nothing is asserted about shorter times."""


@wire_record
@dataclass(frozen=True, slots=True)
class Probe:
    """A message of the wire features."""

    text: str
    payload: bytes = b""


def start_reactor() -> None:
    """Make the reactor ready for ``turn``; does nothing when it is."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)


def wait_until(condition: Callable[[], Any], what: str = "condition") -> Any:
    """Run the reactor until ``condition`` returns something true."""
    start_reactor()
    limit = time.monotonic() + LIMIT_S
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > limit:
            raise AssertionError(f"not reached: {what}")
        reactor.iterate(0.005)


def wait_for(deferred: Deferred) -> Any:
    """Run the reactor until ``deferred`` has fired; return its result."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    wait_until(lambda: results, "a deferred result")
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


class Node:
    """A transport with a messenger that keeps every probe and echoes calls."""

    def __init__(
        self,
        name: str,
        peers: dict[str, PeerAddress] | None = None,
        tls: TlsSettings | None = None,
        settings: WireSettings = WireSettings(),
        fleet: str = "harbour",
    ) -> None:
        self.name = name
        self.transport = TcpTransport(name, peers or {}, reactor, tls, settings, fleet)
        self.messenger = Messenger(self.transport, reactor)
        self.received: list[tuple[str, Probe]] = []
        self.messenger.serve(Probe, self._take)
        self.port = 0

    def _take(self, source: str, probe: Probe) -> Probe:
        self.received.append((source, probe))
        return Probe(f"echo {probe.text}")

    def listen(self) -> PeerAddress:
        """Listen on a free loopback port; return the address."""
        result = wait_for(self.transport.listen_on("127.0.0.1", 0))
        self.port = result.ok
        return PeerAddress("127.0.0.1", self.port)

    def listen_again(self, port: int) -> bool:
        """Try to listen on a port that another node has left; tell whether it worked."""
        result = wait_for(self.transport.listen_on("127.0.0.1", port))
        self.port = port
        return result.is_ok()

    def stop(self) -> None:
        """Stop the transport."""
        wait_for(Deferred.fromCoroutine(self.transport.stop()))


def temporary_folder(context: Any) -> Path:
    """Return a folder that goes when the scenario ends."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)
