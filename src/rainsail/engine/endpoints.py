"""Endpoints of engines for Twisted's ``Agent``.

Engines are addressed by IP number. Twisted's own factory would look each number up in a thread
and report a refused connection only after the delay between attempts of its "happy eyeballs"
(0.3 s), which is too late for a retry on another runner.
"""

from typing import Any

from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.web.client import URI
from twisted.web.error import SchemeNotSupported
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class EngineEndpointFactory:
    """Connects to an IP number directly, to a name through the resolver; plain HTTP only."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s: Any = connect_timeout_s

    def endpointForURI(self, uri: URI) -> Any:
        """Return the endpoint to connect to."""
        if uri.scheme != b"http":
            raise SchemeNotSupported(f"{uri.scheme!r}: engines are reached by http")
        host = uri.host.decode("ascii")
        if isIPAddress(host):
            return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)
        if isIPv6Address(host):
            return TCP6ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)
        return HostnameEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)
