"""Opens an HTTP listener on an address from the settings."""

from typing import Any

from expression import Error, Ok, Result
from twisted.internet.error import CannotListenError

from rainsail.errors import Fault, FaultCode
from rainsail.http.server import HttpServer
from rainsail.wire.address import parse_address

BACKLOG = 512


def listen(reactor: Any, server: HttpServer, address: str) -> Result[Any, Fault]:
    """Accept connections on ``IP:PORT``; the result is a fault if the address cannot be bound.

    On shutdown the reactor closes all connections gracefully, which would make an incomplete answer
    look complete. Those connections are aborted beforehand.
    """
    place = parse_address(address)
    try:
        port = reactor.listenTCP(place.port, server, BACKLOG, place.host)
    except CannotListenError as error:
        return Error(Fault(FaultCode.UNAVAILABLE, "fleet.listen", str(error), address))
    reactor.addSystemEventTrigger("before", "shutdown", server.abort_unframed)
    return Ok(port)
