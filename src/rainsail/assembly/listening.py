"""Serving HTTP applications on TCP ports."""

from typing import Any

from expression import Error, Ok, Result
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from rainsail.assembly.client_connections import count_clients
from rainsail.budget.client_budget import ClientBudget
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.client_requests import ClientRequest
from rainsail.wire.address import PeerAddress

HTTP_IDLE_TIMEOUT_S = 120


def listen_http(
    reactor: Any, resource: Any, address: PeerAddress, budget: ClientBudget | None = None
) -> Result[Any, Fault]:
    """Serve a web resource; a fault names the address if it can't be bound."""
    site: Any = Site(resource, timeout=HTTP_IDLE_TIMEOUT_S)
    site.requestFactory = ClientRequest
    return listen_site(reactor, site, address, budget)


def listen_site(
    reactor: Any, site: Site, address: PeerAddress, budget: ClientBudget | None = None
) -> Result[Any, Fault]:
    """Serve a web site; a fault names the address if it can't be bound.

    Its connections count against ``budget``.
    """
    if budget is not None:
        count_clients(site, budget)
    site.displayTracebacks = False
    try:
        return Ok(reactor.listenTCP(address.port, site, interface=address.host))
    except CannotListenError as error:
        detail = f"{address}: {error.socketError}"
        return Error(Fault(FaultCode.UNAVAILABLE, "listen.http", detail))
