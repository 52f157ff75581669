"""The native API as a node's ``PlatformPort``; a role imports only the parts it uses."""

from typing import Any

from rainsail.fleet.port import PlatformPort
from rainsail.fleet_api.replies import STATUS_NOT_FOUND, STATUS_UNAVAILABLE, reply
from rainsail.fleet_api.tables import read_table
from rainsail.http.exchange import Exchange, Handler
from rainsail.relay.header_protocol import HeaderNames, HeaderProtocol

READY = b"/readyz"


def make_native_port() -> PlatformPort:
    """Return the port of a fleet that serves the native API."""
    return PlatformPort(
        HeaderProtocol(HeaderNames()),
        read_table,
        _client_handler,
        _readiness_handler,
        _control_handler,
    )


def _client_handler(gateway: Any, jobs: Any) -> Handler:
    from rainsail.fleet_api.jobs import client_handler

    return client_handler(gateway, jobs)


def _control_handler(controller: Any) -> Handler:
    from rainsail.fleet_api.control import control_handler

    return control_handler(controller)


def _readiness_handler(gateway: Any) -> Handler:
    def handle(exchange: Exchange) -> None:
        if exchange.request.target != READY:
            reply(exchange, STATUS_NOT_FOUND)
        else:
            reply(exchange, 200 if gateway.is_ready() else STATUS_UNAVAILABLE)

    return handle
