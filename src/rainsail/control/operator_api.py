"""The operator API: JSON over HTTP (klein), served by every replica."""

import random as random_module
import time
from collections.abc import Callable
from typing import Any

from klein import Klein
from werkzeug.exceptions import HTTPException

from rainsail.batch.intake import JobIntake
from rainsail.batch.settings import BatchSettings
from rainsail.consensus.interface import Group
from rainsail.control.http_bodies import (
    answer_failed,
    answer_fault,
    answer_json,
    answer_no_route,
)
from rainsail.control.interface import ControlClient
from rainsail.control.job_endpoints import JobEndpoints
from rainsail.control.job_routes import JobRoutes
from rainsail.control.operator_auth import Authenticator, KeyAuthenticator
from rainsail.control.operator_gate import OperatorGate
from rainsail.control.resource_endpoints import ResourceEndpoints
from rainsail.control.resource_json import json_value
from rainsail.control.resource_routes import ResourceRoutes
from rainsail.control.settings import ControlSettings
from rainsail.control.watch_routes import WatchRoutes
from rainsail.control.watcher import WatchHub
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class OperatorApi:
    """Routes of the operator API; ``app`` is the klein application.

    ``authenticate`` checks a bearer token (by default against the keys of the settings and of the
    tenants), ``metrics`` returns the text of ``/metrics``. ``random`` adds jitter to the retries
    of job submissions, ``wall_clock`` (Unix seconds) converts callers' relative deadlines to
    absolute ones.
    """

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        client: ControlClient,
        clock: Clock,
        settings: ControlSettings,
        authenticate: Authenticator | None = None,
        metrics: Callable[[], bytes] | None = None,
        random: random_module.Random | None = None,
        wall_clock: Callable[[], float] = time.time,
        batch: BatchSettings | None = None,
        ledger_groups: tuple[Group, ...] = (),
    ) -> None:
        self.app = Klein()
        self.watches = WatchHub(state, clock, settings)
        self.resources = ResourceEndpoints(client, settings.request_timeout_s)
        self._group = group
        self._ledger_groups = ledger_groups
        self._metrics = metrics
        batch = batch or BatchSettings()
        draw = random or random_module.Random()
        intake = JobIntake(client, clock, draw, batch, wall_clock, state.get)
        self.jobs = JobEndpoints(client, intake, batch, wall_clock, settings.request_timeout_s)
        known_keys = KeyAuthenticator(state, settings.operator_key_hashes)
        self._gate = OperatorGate(authenticate or known_keys)
        ResourceRoutes(self.app, self._gate, self.resources, settings.max_body_bytes)
        WatchRoutes(self.app, self._gate, state, self.watches, clock, settings)
        JobRoutes(self.app, self._gate, self.jobs, settings)
        self.app.route("/v1/status", methods=["GET"])(self._status)
        self.app.route("/healthz", methods=["GET"])(self._healthz)
        self.app.route("/readyz", methods=["GET"])(self._readyz)
        self.app.route("/metrics", methods=["GET"])(self._metrics_text)
        self.app.handle_errors(HTTPException)(answer_no_route)
        self.app.handle_errors(Exception)(answer_failed)
        group.on_applied(lambda index: self.watches.state_applied())

    def _status(self, request: Any) -> bytes:
        caller = self._gate.operator(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        status = json_value(self._group.status())
        status["ledger_groups"] = [json_value(group.status()) for group in self._ledger_groups]
        return answer_json(request, status)

    def _healthz(self, request: Any) -> bytes:
        return answer_json(request, {"status": "ok"})

    def _readyz(self, request: Any) -> bytes:
        leader = self._group.leader()
        body = {"ready": leader != "", "leader": leader}
        return answer_json(request, body, 200 if leader else 503)

    def _metrics_text(self, request: Any) -> bytes:
        request.setHeader(b"content-type", METRICS_CONTENT_TYPE)
        return self._metrics() if self._metrics is not None else b""
