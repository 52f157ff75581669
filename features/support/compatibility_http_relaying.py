"""Every call of a relaying fleet's own interfaces, made at a running fleet."""

import base64
import json
from pathlib import Path
from typing import Any

from features.support.compatibility_http import Answer, call, shape_of
from features.support.own_fleet import EXAMPLES, OwnFleet, wait_until
from features.support.reactor_thread import in_reactor, reactor

from rainsail.http.exchange import Exchange
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

PINNED = Path("features/compatibility/data/http_relaying.json")
SENT_TO_RUNNERS = "what a runner gets"
HOST = "fleet.example"
CONTROL, CLIENTS, READY, METRICS, RUNNER = 7650, 7660, 7670, 7690, 7700
BORN_MS = 1_750_000_000_000
FINGERPRINT = "0" * 32
FULL_TABLE: dict[str, Any] = {
    "version": 2,
    "routes": [
        {
            "name": "pings",
            "host": HOST,
            "prefix": "/pings/",
            "kind": "stream",
            "services": {"tracker": 1.0},
            "timeout_s": 4.0,
            "target_s": 0.4,
            "max_attempts": 2,
            "priority": 1,
            "resumable": True,
            "gap_target_s": 0.5,
            "completion_s": 3.0,
            "kept_s": 10.0,
            "max_queued_tokens": 1000,
            "public": True,
            "allowed_regions": [],
        },
        *(
            {
                "name": kind,
                "host": HOST,
                "prefix": f"/{kind}/",
                "kind": kind,
                "services": {"tracker": 1.0},
                "timeout_s": 4.0,
                "target_s": 0.4,
            }
            for kind in ("safe", "unsafe", "batch")
        ),
    ],
    "services": [
        {
            "name": "tracker",
            "max_connections": 50,
            "generates": True,
            "warm_up_per_s": 1.0,
            "warm_up_s": 2.0,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_s": 3.0,
        "idle_timeout_s": 15.0,
    },
    "tenants": [
        {
            "name": "shop",
            "keys": ["key-of-the-shop"],
            "rate_per_s": 100.0,
            "burst": 100.0,
            "priority": 1,
            "allowed_regions": [],
        }
    ],
}
"""A table with every field; a controller refuses fields that it doesn't know."""


class RecordingRunner:
    """A runner that notes the names of the headers it gets, by path."""

    def __init__(self) -> None:
        self.got: dict[str, list[str]] = {}

    def answer(self, exchange: Exchange) -> None:
        """Answer as a runner does: pings at once, reports as a stream."""
        request = exchange.request
        path = request.target.decode()
        fields = {name.decode().lower(): value for name, value in request.headers}
        self.got[f"{request.method.decode()} {path}"] = sorted(fields)
        answer = [(b"Rainsail-Request", fields["rainsail-request"]), (b"Rainsail-Load", b"1,0,4")]
        if path.startswith("/reports/"):
            answer.append((b"Content-Type", b"text/event-stream"))
            exchange.begin(200, tuple(answer))
            exchange.write(b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
            exchange.end()
        else:
            exchange.answer(200, tuple(answer), b"pong")


class RelayingCalls:
    """Makes the calls in order; ``shapes`` has each answer's shape by what was called."""

    def __init__(self, fleet: OwnFleet) -> None:
        self.shapes: dict[str, Any] = {}
        self._fleet = fleet
        self._runner = RecordingRunner()
        self._port: Any = None

    def make_all(self) -> dict[str, Any]:
        """Make every call and return the shapes."""
        self._before_a_table()
        self._tables()
        self._runners()
        self._zones_and_nodes()
        self._held_requests()
        self._requests()
        self._jobs()
        self._pages()
        self._zone_drain()
        self._full_table()
        self._emptying()
        self._runner_leaves()
        self.shapes[SENT_TO_RUNNERS] = self._runner.got
        return self.shapes

    def close(self) -> None:
        """Stop the runner."""
        if self._port is not None:
            in_reactor(self._port.stopListening)

    def _note(self, what: str, answer: Answer) -> Answer:
        assert what not in self.shapes, what
        self.shapes[what] = shape_of(answer)
        return answer

    def _control(self, method: str, path: str, body: Any = None) -> Answer:
        return call(f"{self._fleet.address(1, 1)}:{CONTROL}", method, path, body)

    def _client(self, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        named = {"Host": HOST, "Rainsail-Deadline-S": "3.5"}
        named |= {name.replace("_", "-"): value for name, value in headers.items()}
        return call(f"{self._fleet.address(3, 1)}:{CLIENTS}", method, path, body, named)

    def _operate(self, what: str, method: str, path: str, body: Any = None) -> Answer:
        """Make a controller's call; 503 and no answer say that it may be made again."""
        answers: list[Answer] = []

        def answered() -> bool:
            answers.append(self._control(method, path, body))
            return answers[-1].status not in (0, 503)

        wait_until(answered, what)
        return self._note(f"control: {what}", answers[-1])

    def _ask(self, what: str, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        return self._note(f"clients: {what}", self._client(method, path, body, **headers))

    # --- operators and runners -----------------------------------------------------------

    def _before_a_table(self) -> None:
        self._operate("GET the table before there is one", "GET", "/v1/routing-table")

    def _tables(self) -> None:
        table = json.loads((EXAMPLES / "routing-table.json").read_bytes())
        table["services"][0]["generates"] = True
        self._operate("PUT a table", "PUT", "/v1/routing-table", table)
        self._operate("GET the table", "GET", "/v1/routing-table")
        bad = {**table, "services": []}
        self._operate("PUT a table that is wrong", "PUT", "/v1/routing-table", bad)
        self._operate("PUT no JSON", "PUT", "/v1/routing-table", b"{")

    def _runners(self) -> None:
        ip = self._fleet.address(4, 1)
        server = HttpServer(self._runner.answer, MonotonicClock(reactor), HttpLimits())
        self._port = in_reactor(reactor.listenTCP, RUNNER, server, 50, ip)
        report = {
            "service": "tracker",
            "address": f"{ip}:{RUNNER}",
            "zone": "zone-1",
            "slots": 4,
            "state": "ready",
            "warm_up_left_s": 0.0,
            "sequence": 1,
            "born": BORN_MS,
        }
        self._operate("PUT a runner", "PUT", "/v1/runners/r-1", report)
        self._operate("PUT a runner without a service", "PUT", "/v1/runners/r-2", {"sequence": 1})
        self._operate("DELETE a runner badly", "DELETE", "/v1/runners/r-1", {"born": "long ago"})
        self._operate("GET the status", "GET", "/v1/status")
        self._operate("no such path", "GET", "/v1/nothing")

    def _zones_and_nodes(self) -> None:
        self._operate("drain a zone that nobody has", "PUT", "/v1/zones/nowhere/drain")
        self._operate("ask for an emptying", "GET", "/v1/storage-nodes/nobody/emptying")
        self._operate("empty no such node", "PUT", "/v1/storage-nodes/nobody/emptying")

    def _held_requests(self) -> None:
        path = "/v1/held-requests"
        self._operate("GET held requests", "GET", path)
        self._operate("release what is not held", "DELETE", f"{path}/{FINGERPRINT}")
        self._operate("release what is no fingerprint", "DELETE", f"{path}/abc")

    def _zone_drain(self) -> None:
        path = "/v1/zones/zone-1/drain"
        self._operate("drain a zone", "PUT", path)
        self._operate("GET the status in a drain", "GET", "/v1/status")
        self._operate("end a drain", "DELETE", path)

    def _full_table(self) -> None:
        self._operate("PUT a table with every field", "PUT", "/v1/routing-table", FULL_TABLE)
        answers: list[Answer] = []

        def refused() -> bool:
            answers.append(self._client("POST", "/safe/1", b"", Rainsail_Request="p-4"))
            return answers[-1].status == 401

        wait_until(refused, "a refusal without a key")
        self._note("clients: a request without a key", answers[-1])

    def _emptying(self) -> None:
        path = "/v1/storage-nodes/storage-3/emptying"
        self._operate("empty a node", "PUT", path)
        self._operate("ask for a node's emptying", "GET", path)

    def _runner_leaves(self) -> None:
        self._operate("DELETE a runner", "DELETE", "/v1/runners/r-1", {"born": BORN_MS})
        answers: list[Answer] = []

        def refused() -> bool:
            headers = {"Rainsail_Request": "p-3", "Authorization": "Bearer key-of-the-shop"}
            answers.append(self._client("POST", "/safe/3", b"", **headers))
            return answers[-1].status == 503

        wait_until(refused, "a refusal")
        self._note("clients: a request when no runner is there", answers[-1])

    # --- clients -------------------------------------------------------------------------

    def _requests(self) -> None:
        def served() -> bool:
            headers = {"Rainsail_Request": "p-1"}
            return self._client("POST", "/pings/1", b"ping", **headers).status == 200

        wait_until(served, "a relayed request")
        every = {
            "Rainsail_Request": "p-2",
            "Rainsail_Prompt": "a:10,b:20",
            "Rainsail_Tokens": "30,5",
            "Last_Event_ID": "1",
            "Authorization": "Bearer key",
            "X_Own": "kept",
        }
        self._ask("a relayed request", "POST", "/pings/2", b"ping", **every)
        self._ask("a request of no route", "POST", "/nowhere", b"")

    def _jobs(self) -> None:
        items = [
            {
                "id": f"item-{number}",
                "path": f"/reports/{number}",
                "headers": {"X-Own": "kept"},
                "body": base64.b64encode(b"body").decode(),
                "tokens": 5,
            }
            for number in range(2)
        ]
        body = {"items": items}

        def accepted() -> bool:
            return self._client("POST", "/reports/j", body, Rainsail_Request="j-1").status == 202

        wait_until(accepted, "the job")
        self._ask("POST a job", "POST", "/reports/j", body, Rainsail_Request="j-1")
        self._ask("POST no job", "POST", "/reports/k", {"items": []}, Rainsail_Request="j-2")
        path = "/v1/relayed-jobs/j-1"

        def complete() -> bool:
            answer = self._client("GET", f"{path}/results?after=0&wait_s=1")
            return answer.status == 200 and len(answer.json()["results"]) == len(items)

        wait_until(complete, "the results")
        self._ask("GET results", "GET", f"{path}/results?after=1&wait_s=0")
        self._ask("GET the body of a listed item", "GET", f"{path}/bodies/item-0")
        self._ask("GET results of no job", "GET", "/v1/relayed-jobs/nobody/results")
        self._ask("DELETE a job", "DELETE", path)
        self._ask("DELETE no such job", "DELETE", "/v1/relayed-jobs/nobody")

    def _pages(self) -> None:
        address = self._fleet.address(3, 1)
        self._note("readiness: ready", call(f"{address}:{READY}", "GET", "/readyz"))
        self._note("readiness: no such path", call(f"{address}:{READY}", "GET", "/nothing"))
        self._note("metrics: GET", call(f"{address}:{METRICS}", "GET", "/metrics"))
        self._note("metrics: no such path", call(f"{address}:{METRICS}", "GET", "/nothing"))
