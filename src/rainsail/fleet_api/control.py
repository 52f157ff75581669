"""Calls of runners and operators to a controller, in the native API."""

import json
from typing import Any
from urllib.parse import unquote

from rainsail.cluster.controller import FleetController
from rainsail.cluster.messages import ZoneDrainNotice
from rainsail.errors import Fault, FaultCode
from rainsail.fleet_api.heartbeats import read_deregistration, read_heartbeat
from rainsail.fleet_api.json_fields import UNREADABLE, explain
from rainsail.fleet_api.quarantine import take_quarantine_call
from rainsail.fleet_api.replies import (
    EMPTY,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
    reply,
    reply_fault,
    reply_when_done,
)
from rainsail.fleet_api.tables import read_table
from rainsail.http.exchange import Exchange, Handler, watch_client

TABLE = "/v1/routing-table"
RUNNERS = "/v1/runners/"
STORAGE = "/v1/storage-nodes/"
ZONES = "/v1/zones"
DRAIN = "/drain"
STATUS = "/v1/status"
EMPTYING = "/emptying"
DRAIN_METHODS = ("PUT", "DELETE")


def control_handler(controller: FleetController) -> Handler:
    """Return the HTTP handler of a controller."""
    return ControlApi(controller).handle


class ControlApi:
    """Maps calls to the controller; an unknown outcome is 503, since all calls are idempotent."""

    def __init__(self, controller: FleetController) -> None:
        self._controller = controller

    def handle(self, exchange: Exchange) -> None:
        """Handle one call."""
        if take_quarantine_call(exchange, self._controller.quarantine):
            return
        method = exchange.request.method.decode("latin-1")
        path = exchange.request.target.decode("latin-1").partition("?")[0]
        name = path.rpartition("/")[2]
        if path.startswith(RUNNERS) and name and method == "PUT":
            self._take_heartbeat(exchange, name)
        elif path.startswith(RUNNERS) and name and method == "DELETE":
            self._take_deregistration(exchange, name)
        elif path == TABLE and method == "PUT":
            self._replace_table(exchange)
        elif path == TABLE and method == "GET":
            self._read_table(exchange)
        elif path.startswith(STORAGE) and path.endswith(EMPTYING):
            self._emptying(exchange, method, path[len(STORAGE) : -len(EMPTYING)])
        elif path.startswith(f"{ZONES}/") and path.endswith(DRAIN) and method in DRAIN_METHODS:
            zone = unquote(path[len(ZONES) + 1 : -len(DRAIN)])
            draining = method == "PUT"
            drains, is_awaited = self._controller.zone_drains, watch_client(exchange)
            self._answer(exchange, drains.order(zone, draining, is_awaited))
        elif path == STATUS and method == "GET":
            self._read_status(exchange)
        else:
            reply(exchange, STATUS_NOT_FOUND)

    def _answer(self, exchange: Exchange, done: object) -> None:
        reply_when_done(
            exchange,
            done,  # type: ignore[arg-type]
            lambda _: EMPTY,
            unknown_outcome_status=STATUS_UNAVAILABLE,
        )

    def _take_heartbeat(self, exchange: Exchange, runner: str) -> None:
        try:
            heartbeat = read_heartbeat(runner, json.loads(exchange.request.body))
        except UNREADABLE as error:
            reply_fault(exchange, Fault(FaultCode.INVALID, "fleet_api.runner", explain(error)))
            return
        self._answer(exchange, self._controller.reports.take(heartbeat.record, heartbeat.version))

    def _take_deregistration(self, exchange: Exchange, runner: str) -> None:
        try:
            born = read_deregistration(exchange.request.body)
        except UNREADABLE as error:
            reply_fault(exchange, Fault(FaultCode.INVALID, "fleet_api.runner", explain(error)))
            return
        self._answer(exchange, self._controller.reports.take_deregistration(runner, born))

    def _replace_table(self, exchange: Exchange) -> None:
        content = exchange.request.body
        table = read_table(content)
        if table.is_error():
            reply_fault(exchange, table.error)
            return
        self._answer(exchange, self._controller.tables.replace(table.ok.version, content))

    def _read_table(self, exchange: Exchange) -> None:
        done = self._controller.tables.read()

        def answer(result) -> None:  # type: ignore[no-untyped-def]
            if result.is_error():
                reply(exchange, STATUS_UNAVAILABLE)
            elif result.ok.version == 0:
                reply(exchange, STATUS_NOT_FOUND)
            else:
                reply(exchange, 200, result.ok.content)

        done.addCallback(answer)

    def _read_status(self, exchange: Exchange) -> None:
        """Reply with a summary of the fleet; the zone drains are confirmed by a quorum."""

        def body(notice: ZoneDrainNotice) -> dict[str, Any]:
            status = self._controller.status()
            draining = [drain.zone for drain in notice.zone_drains if drain.draining]
            return {
                "table_version": status.table_version,
                "runners_ready": status.runners_ready,
                "runners_warming": status.runners_warming,
                "draining_zones": ",".join(draining),
            }

        done = self._controller.zone_drains.read()
        reply_when_done(exchange, done, body, unknown_outcome_status=STATUS_UNAVAILABLE)

    def _emptying(self, exchange: Exchange, method: str, name: str) -> None:
        if method == "PUT":
            self._answer(exchange, self._controller.emptying.empty(name))
            return
        done = self._controller.emptying.status(name)
        reply_when_done(exchange, done, lambda status: {"done": status.done})
