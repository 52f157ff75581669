"""Addresses of processes: an IP address and a TCP port."""

import ipaddress
from dataclasses import dataclass

HIGHEST_PORT = 65535


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """An IP address (no host name) and a TCP port."""

    host: str
    port: int

    def is_loopback(self) -> bool:
        """Tell whether the address is reachable from this machine only."""
        return ipaddress.ip_address(self.host).is_loopback

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> PeerAddress:
    """Parse ``127.0.0.1:7300`` or ``[::1]:7300``; raises ``ValueError`` saying what is wrong."""
    host, colon, port_text = text.rpartition(":")
    if not colon:
        raise ValueError(f"expected IP:PORT, got {text!r}")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"expected an IP number before the port, got {host!r}") from None
    if not port_text.isascii() or not port_text.isdigit() or int(port_text) > HIGHEST_PORT:
        raise ValueError(f"expected a port from 0 to {HIGHEST_PORT}, got {port_text!r}")
    return PeerAddress(host, int(port_text))
