"""Server processes at addresses, over in-memory connections of a pool in virtual time.

A process that ends closes all its connections, one right after the other, in order unless it has
data that it has not read, and its address refuses until a new one listens there.
"""

from typing import Any

from features.support.relayed_connections import RunnerConnection
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from rainsail.simulation.clock import VirtualClock

CONNECT_S = 0.001
CLOSE_S = 0.0001
"""The time between two closes of a process that ends."""


class ProcessReactor:
    """Opens connections to the processes that listen; an address listens unless told otherwise."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self.connections: list[RunnerConnection] = []
        """Every connection that was established, with those of probes."""
        self.refusing: set[str] = set()
        self.silent: set[str] = set()
        self.resetting: list[RunnerConnection] = []
        """The connections with data that a process has not read: its end resets these."""
        self.is_full = False
        """New connections are reset right behind their opening."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        """Connect after a moment."""
        self._clock.callLater(CONNECT_S, self._connect, f"{host}:{port}", factory, timeout)

    def _connect(self, address: str, factory: Any, timeout_s: float) -> None:
        if address in self.silent:
            timed_out = Failure(TimeoutError())
            self._clock.callLater(timeout_s, factory.clientConnectionFailed, None, timed_out)
        elif address in self.refusing:
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        else:
            connection = RunnerConnection(factory, address)
            self.connections.append(connection)
            if self.is_full:
                self._clock.callLater(CONNECT_S, connection.close, True)

    def open_at(self, address: str) -> list[RunnerConnection]:
        """Return the open connections to an address, in the order of their opening."""
        return [
            each
            for each in self.connections
            if each.address == address and each.transport.connected
        ]

    def asked(self) -> list[RunnerConnection]:
        """Return the connections on which a process owes an answer."""
        return [each for each in self.connections if each.is_asked]

    def end_process(
        self, address: str, back_after_s: float | None, unnoticed: RunnerConnection | None = None
    ) -> None:
        """End the process at an address; another one listens there after ``back_after_s``, if ever.

        The caller closes the connection ``unnoticed`` itself, once the pool reads it again.
        """
        if back_after_s != 0:
            self.refusing.add(address)
        if back_after_s:
            self._clock.callLater(back_after_s, self.refusing.discard, address)
        ending = [each for each in self.open_at(address) if each is not unnoticed]
        for number, each in enumerate(ending):
            by_reset = each in self.resetting
            self._clock.callLater(number * CLOSE_S, each.close, by_reset)
