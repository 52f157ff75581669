"""A relaying gateway in virtual time that gets SIGTERM; tests answer in the runners' place."""

import json
from typing import Any

from features.support.keyed_gateway import KeyedGateway
from features.support.relaying import HOST, SERVICE, StandInExchange

from rainsail.cluster.messages import TableDocument
from rainsail.http.exchange import HttpRequest

KINDS = {
    "unsafe": "unsafe",
    "safe": "safe",
    "stream": "stream",
    "resumable": "stream",
    "batch": "batch",
}
TIMEOUT_S = 25.0
TARGET_S = 0.4
CLIENTS_S = 2.3
ANSWERS_S = 7.2
"""With a grace time of 8 s requests are ended so many seconds after SIGTERM."""


def table_content(version: int) -> bytes:
    """Return a routing table with a route of each kind, at ``/KIND/``."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "services": {SERVICE: 1.0},
            "timeout_s": TIMEOUT_S,
            "target_s": TARGET_S,
            "max_attempts": 2,
            "resumable": name == "resumable",
        }
        for name, kind in KINDS.items()
    ]
    return json.dumps(
        {"version": version, "routes": routes, "services": [{"name": SERVICE}]}
    ).encode()


class StoppingGateway(KeyedGateway):
    """Requests at ``/KIND/``; ``answers`` are what their clients have, by request."""

    def __init__(self) -> None:
        super().__init__()
        self.follower.on_table(_document(1))
        self.answers: dict[str, StandInExchange] = {}
        self._last = 0

    def ask(self, kind: str, deadline_s: float | None = None, path: str = "") -> StandInExchange:
        """Have a client send a request that is complete now."""
        self._last += 1
        name = f"request-{self._last}"
        fields: list[tuple[bytes, bytes]] = []
        if deadline_s is not None:
            fields.append((b"Rainsail-Deadline-S", f"{deadline_s:g}".encode()))
        target = (path or f"/{kind}/1").encode()
        exchange = self.request(*fields, path=target, request=name.encode())
        self.answers[name] = exchange
        return exchange

    def arriving(self, kind: str) -> HttpRequest:
        """Return a request of a kind whose head has come a moment ago."""
        fields = ((b"Host", HOST.encode()), (b"Rainsail-Request", b"arriving"))
        target = f"/{kind}/1".encode()
        return HttpRequest(b"POST", target, fields, b"", self.clock.seconds())

    def retry_after(self, exchange: StandInExchange) -> str | None:
        """Return the ``Retry-After`` field of an answer; None without one."""
        fields = {name.lower(): value.decode() for name, value in exchange.headers}
        return fields.get(b"retry-after")

    def stop(self) -> None:
        """Begin the planned stop."""
        self.stopped_s = self.clock.seconds()
        self.gateway.begin_stop(CLIENTS_S, ANSWERS_S)

    def pass_until(self, since_stop_s: float) -> None:
        """Run the time until so many seconds after SIGTERM."""
        self.clock.run_until(self.stopped_s + since_stop_s)

    def serve_one(self, kind: str, took_s: float) -> None:
        """Have a request of a kind be answered by a runner after so many seconds."""
        exchange = self.ask(kind)
        self.clock.advance(took_s)
        self.calls[-1].answer(200, b"done", *own_id(self.calls[-1]))
        assert exchange.ended and exchange.status == 200, exchange


def own_id(call: Any) -> list[tuple[bytes, bytes]]:
    """Return the field by which an answer belongs to a request."""
    return [each for each in call.request.headers if each[0].lower() == b"rainsail-request"]


def _document(version: int) -> TableDocument:
    return TableDocument(version, table_content(version))
