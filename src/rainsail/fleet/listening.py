"""Listening for HTTP on an address of the settings."""

from typing import Any

from expression import Error, Ok, Result
from twisted.internet.error import CannotListenError

from rainsail.errors import Fault, FaultCode
from rainsail.http.server import HttpServer
from rainsail.wire.address import parse_address

BACKLOG = 512


def listen(reactor: Any, server: HttpServer, address: str) -> Result[Any, Fault]:
    """Accept connections on ``IP:PORT``; a fault says why that can't be done.

    When the reactor ends, it closes all connections in order; what must not end so is cut before.
    """
    place = parse_address(address)
    try:
        port = reactor.listenTCP(place.port, server, BACKLOG, place.host)
    except CannotListenError as error:
        return Error(Fault(FaultCode.UNAVAILABLE, "fleet.listen", str(error), address))
    reactor.addSystemEventTrigger("before", "shutdown", server.abort_unframed)
    return Ok(port)
