"""Shares the addresses under 127.0.0.0/8 out among the processes that test on this machine."""

import os
import socket

RESERVED_PORT = 17599
FIRST_OCTET = 10
OCTETS = 200


class LoopbackNetwork:
    """A network ``127.octet.0.0/16`` that no other process of the tests uses until it is closed.

    A socket that listens in it is the reservation, so that it ends with its process. Two platforms
    on one network would take each other's nodes for their own.
    """

    def __init__(self) -> None:
        self._reservation = socket.socket()
        for number in range(OCTETS):
            self.octet = FIRST_OCTET + (os.getpid() + number) % OCTETS
            try:
                self._reservation.bind((f"127.{self.octet}.0.1", RESERVED_PORT))
                self._reservation.listen()
            except OSError:
                continue
            return
        raise AssertionError("every loopback network is in use")

    def close(self) -> None:
        """Let others have the network."""
        self._reservation.close()
