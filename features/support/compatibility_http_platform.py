"""Every call of the platform's interfaces, made at a running fleet of the adapter's program."""

import base64
from collections.abc import Callable
from pathlib import Path
from typing import Any

from features.support.compatibility_http import Answer, call, shape_of
from features.support.platform_stand_in import (
    CLIENT_PORT,
    CONTROL_PORT,
    HOST,
    KEY,
    METRICS_PORT,
    READY_PORT,
    RUNNER_PORT,
    StandInPlatform,
    wait_until,
)
from features.support.reactor_thread import in_reactor, reactor

from rainsail.http.exchange import Exchange
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

PINNED = Path("features/compatibility/data/http_platform.json")
SENT_TO_RUNNERS = "what a runner gets"
BORN_MS = 1_750_000_000_000
FINGERPRINT = "0" * 32
NOT_NOW = (0, 503)
"""No answer, or one that says that the call may be made again."""


class RecordingRunner:
    """A runner that notes the names of the headers it gets, by path."""

    def __init__(self) -> None:
        self.got: dict[str, list[str]] = {}

    def answer(self, exchange: Exchange) -> None:
        """Answer as the platform's runners do: streams and items by events, others at once."""
        request = exchange.request
        path = request.target.decode()
        fields = {name.decode().lower(): value for name, value in request.headers}
        self.got[f"{request.method.decode()} {path}"] = sorted(fields)
        answer = [
            (b"Request-Id", fields["request-id"]),
            (b"Server-Load", b"1,0,4"),
            (b"Response-Stamp", b"stamp-1"),
        ]
        if path.startswith(("/stream/", "/jobs/")):
            answer.append((b"Content-Type", b"text/event-stream"))
            exchange.begin(200, tuple(answer))
            exchange.write(b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
            exchange.end()
        else:
            exchange.answer(200, tuple(answer), b"echo")


class PlatformCalls:
    """Makes the calls in order; ``shapes`` has each answer's shape by what was called."""

    def __init__(self, platform: StandInPlatform) -> None:
        self.shapes: dict[str, Any] = {}
        self._platform = platform
        self._runner = RecordingRunner()
        self._runner_ip = f"127.{platform.octet}.4.9"
        self._port: Any = None

    def make_all(self) -> dict[str, Any]:
        """Make every call and return the shapes."""
        self._configurations()
        self._runners()
        self._zones_and_nodes()
        self._held_requests()
        self._requests()
        self._jobs()
        self._pages()
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

    def _note_once(self, what: str, ask: Callable[[], Answer], done: Callable[[int], bool]) -> None:
        """Ask until the status is the awaited one, and keep that answer's shape."""
        answers: list[Answer] = []

        def answered() -> bool:
            answers.append(ask())
            return done(answers[-1].status)

        wait_until(answered, what)
        self._note(what, answers[-1])

    def _operate(self, what: str, method: str, path: str, body: Any = None) -> None:
        address = f"{self._platform.nodes['controller-1'].ip}:{CONTROL_PORT}"
        self._note_once(
            f"control: {what}",
            lambda: call(address, method, path, body),
            lambda status: status not in NOT_NOW,
        )

    def _client(self, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        named = {"Host": HOST, "Deadline-Ms": "6000", "Authorization": f"Token {KEY}"}
        named |= {name.replace("_", "-"): value for name, value in headers.items()}
        ip = self._platform.nodes["gateway-1"].ip
        return call(f"{ip}:{CLIENT_PORT}", method, path, body, named)

    def _ask(self, what: str, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        return self._note(f"clients: {what}", self._client(method, path, body, **headers))

    # --- operators and runners -----------------------------------------------------------

    def _configurations(self) -> None:
        replace = "/api/Config.Replace"
        ip = self._platform.nodes["controller-1"].ip
        before = call(f"{ip}:{CONTROL_PORT}", "GET", "/api/Config.Read")
        self._note("control: read before the first configuration", before)
        configuration = self._platform.configuration(1)
        self._operate("replace the configuration", "POST", replace, configuration)
        wrong = {**configuration, "services": []}
        self._operate("replace it by a wrong one", "POST", replace, wrong)
        self._operate("replace it by no JSON", "POST", replace, b"{")
        self._operate("read the configuration", "GET", "/api/Config.Read")
        self._operate("no such path", "GET", "/api/Nothing")
        self._operate("no such method", "GET", replace)

    def _runners(self) -> None:
        server = HttpServer(self._runner.answer, MonotonicClock(reactor), HttpLimits())
        self._port = in_reactor(reactor.listenTCP, RUNNER_PORT, server, 50, self._runner_ip)
        beat = "/api/Instances.Heartbeat"
        report = self._report("ready")
        self._operate("a heartbeat", "POST", f"{beat}/i-1", report)
        self._operate("a heartbeat without a state", "POST", f"{beat}/i-2", {"sequence": 1})
        gone = {**report, "state": "gone"}
        self._operate("a heartbeat of no such state", "POST", f"{beat}/i-1", gone)
        leave = "/api/Instances.Deregister/i-1"
        self._operate("a bad deregistration", "POST", leave, {"born": "long ago"})

    def _report(self, state: str) -> dict[str, Any]:
        return {
            "service": "model",
            "address": f"{self._runner_ip}:{RUNNER_PORT}",
            "zone": "zone-1",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": BORN_MS,
        }

    def _zones_and_nodes(self) -> None:
        self._operate("drain no such zone", "POST", "/api/Evacuate.Start/nowhere")
        self._operate("drain a zone", "POST", "/api/Evacuate.Start/zone-1")
        self._operate("end the drain", "POST", "/api/Evacuate.Finish/zone-1")
        self._operate("retire no such node", "POST", "/api/Retire.Start/nobody")
        self._operate("ask for no retirement", "GET", "/api/Retire.Read/nobody")

    def _held_requests(self) -> None:
        path = "/v1/held-requests"
        self._operate("read held requests", "GET", path)
        self._operate("release what is not held", "DELETE", f"{path}/{FINGERPRINT}")
        self._operate("release what is no fingerprint", "DELETE", f"{path}/abc")

    def _runner_leaves(self) -> None:
        leave = "/api/Instances.Deregister/i-1"
        self._operate("a deregistration", "POST", leave, {"born": BORN_MS})
        self._note_once(
            "clients: a request when no runner is there",
            lambda: self._client("POST", "/safe/9", b"", Request_Id="s-9"),
            lambda status: status == 503,
        )

    # --- clients -------------------------------------------------------------------------

    def _requests(self) -> None:
        wait_until(
            lambda: self._client("POST", "/safe/1", b"", Request_Id="s-1").status == 200,
            "a relayed request",
        )
        every = {
            "Prompt_Prefix": "a:10,b:20",
            "Token_Usage": "30,5",
            "Tenant": "somebody-else",
            "X_Own": "kept",
        }
        self._ask("a safe request", "POST", "/safe/2", b"hello", Request_Id="s-2", **every)
        self._ask("an unsafe request", "POST", "/once/3", b"hello", Request_Id="s-3")
        self._ask("a stream", "POST", "/stream/4", b"hello", Request_Id="s-4", Last_Event_Id="0")
        self._ask("a request of no route", "POST", "/nowhere", b"", Request_Id="s-5")
        unknown = {"Request_Id": "s-6", "Authorization": "Token nobody"}
        self._ask("a request with an unknown key", "POST", "/safe/6", b"", **unknown)

    def _jobs(self) -> None:
        items = [
            {
                "id": f"item-{number}",
                "path": f"/jobs/j/{number}",
                "headers": {"X-Own": "kept"},
                "body": base64.b64encode(b"body").decode(),
                "tokens": 5,
            }
            for number in range(2)
        ]
        body = {"items": items}
        self._note_once(
            "clients: a job",
            lambda: self._client("POST", "/jobs/j", body, Request_Id="j-1"),
            lambda status: status == 202,
        )
        self._ask("a job without items", "POST", "/jobs/k", {"items": []}, Request_Id="j-2")
        path = "/api/lots/j-1"

        def complete() -> bool:
            answer = self._client("GET", f"{path}?after=0", Wait_Ms="1000")
            return answer.status == 200 and len(answer.json()["results"]) == len(items)

        wait_until(complete, "the results")
        self._ask("results", "GET", f"{path}?after=1")
        self._ask("the body of a listed item", "GET", "/api/items/j-1?id=item-0")
        self._ask("results of no job", "GET", "/api/lots/nobody")
        self._ask("end a job", "DELETE", path)
        self._ask("end no such job", "DELETE", "/api/lots/nobody")

    def _pages(self) -> None:
        ip = self._platform.nodes["gateway-1"].ip
        self._note("readiness: ready", call(f"{ip}:{READY_PORT}", "GET", "/api/readyz"))
        self._note("readiness: no such path", call(f"{ip}:{READY_PORT}", "GET", "/nothing"))
        self._note("metrics: GET", call(f"{ip}:{METRICS_PORT}", "GET", "/metrics"))
