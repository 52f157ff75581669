"""The operators' HTTP API: JSON over klein, served by every replica."""

from collections.abc import Awaitable, Callable
from typing import Any

from expression import Error, Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred

from rainsail.consensus.interface import Group
from rainsail.control.http_bodies import (
    answer_fault,
    answer_json,
    bearer_token,
    read_json_object,
)
from rainsail.control.interface import ControlClient
from rainsail.control.operator_auth import Authenticator, Caller, KeyAuthenticator
from rainsail.control.resource_endpoints import ResourceEndpoints
from rainsail.control.resource_json import (
    JsonObject,
    kind_from_text,
    plain,
    resource_to_json,
)
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, ResourceKey
from rainsail.runtime.clock import Clock
from rainsail.state.commands import ResourceChanged
from rainsail.state.interface import ReplicatedReader

STEP = "operator_api.request"


class OperatorApi:
    """Routes of the operator API; ``app`` is the klein application."""

    def __init__(
        self,
        group: Group,
        state: ReplicatedReader,
        client: ControlClient,
        clock: Clock,
        settings: ControlSettings,
        authenticate: Authenticator | None = None,
        metrics: Callable[[], bytes] | None = None,
    ) -> None:
        self.app = Klein()
        self._group = group
        self._state = state
        self._clock = clock
        self._settings = settings
        self._authenticate = authenticate or KeyAuthenticator(state, settings.operator_key_hashes)
        self._metrics = metrics
        self._resources = ResourceEndpoints(client, settings.request_timeout_s)
        self._add_routes()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/v1/resources", methods=["GET"])(self._list_all)
        route("/v1/resources/<kind>", methods=["GET"])(self._list_kind)
        route("/v1/resources/<kind>/<name>", methods=["GET"])(self._read_one)
        for method, change in (
            ("PUT", self._resources.put),
            ("PATCH", self._resources.patch),
            ("DELETE", self._resources.delete),
        ):
            endpoint = f"change_{method}"
            handler = self._changer(change)
            route("/v1/resources/<kind>/<name>", methods=[method], endpoint=endpoint)(handler)
        route("/v1/status", methods=["GET"])(self._status)
        route("/healthz", methods=["GET"])(self._healthz)
        route("/readyz", methods=["GET"])(self._readyz)
        route("/metrics", methods=["GET"])(self._metrics_text)

    def _operator(self, request: Any) -> Result[Caller, Fault]:
        caller = self._authenticate(bearer_token(request))
        if caller is None:
            return Error(Fault(FaultCode.UNAUTHENTICATED, STEP, "the bearer token is not known"))
        if not caller.operator:
            return Error(Fault(FaultCode.FORBIDDEN, STEP, "only operators may do this"))
        return Ok(caller)

    async def _list_all(self, request: Any) -> bytes:
        return await self._list(request, None)

    async def _list_kind(self, request: Any, kind: str) -> bytes:
        return await self._list(request, kind)

    async def _list(self, request: Any, kind_text: str | None) -> bytes:
        caller = self._operator(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        kinds: tuple[Kind, ...] = ()
        if kind_text is not None:
            kind = kind_from_text(kind_text)
            if kind.is_error():
                return answer_fault(request, kind.error)
            kinds = (kind.ok,)
        listed = await self._resources.read_all(kinds)
        if listed.is_error():
            return answer_fault(request, listed.error)
        reply = listed.ok
        body = {
            "revision": reply.revision,
            "in_force_revision": reply.in_force_revision,
            "resources": [
                resource_to_json(each, reply.in_force_revision) for each in reply.resources
            ],
        }
        return answer_json(request, body)

    async def _read_one(self, request: Any, kind: str, name: str) -> bytes:
        key = self._key(request, kind, name)
        if key.is_error():
            return answer_fault(request, key.error)
        found = await self._resources.read_one(key.ok)
        if found.is_error():
            return answer_fault(request, found.error)
        resource, in_force_revision = found.ok
        return answer_json(request, resource_to_json(resource, in_force_revision))

    def _changer(
        self,
        change: Callable[[ResourceKey, JsonObject], Awaitable[Result[ResourceChanged, Fault]]],
    ) -> Callable[..., Any]:
        async def handle(request: Any, kind: str, name: str) -> bytes:
            key = self._key(request, kind, name)
            if key.is_error():
                return answer_fault(request, key.error)
            body = read_json_object(request, self._settings.max_body_bytes)
            if body.is_error():
                return answer_fault(request, body.error)
            changed = await change(key.ok, body.ok)
            if changed.is_error():
                return answer_fault(request, changed.error)
            answer = {
                "revision": changed.ok.revision,
                "resource": resource_to_json(changed.ok.resource),
            }
            return answer_json(request, answer)

        def handler(request: Any, kind: str, name: str) -> "Deferred[bytes]":
            return Deferred.fromCoroutine(handle(request, kind, name))

        return handler

    def _key(self, request: Any, kind_text: str, name: str) -> Result[ResourceKey, Fault]:
        caller = self._operator(request)
        if caller.is_error():
            return Error(caller.error)
        kind = kind_from_text(kind_text)
        if kind.is_error():
            return Error(kind.error)
        return Ok(ResourceKey(kind.ok, name))

    def _status(self, request: Any) -> bytes:
        caller = self._operator(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        return answer_json(request, plain(self._group.status()))

    def _healthz(self, request: Any) -> bytes:
        return answer_json(request, {"status": "ok"})

    def _readyz(self, request: Any) -> bytes:
        leader = self._group.leader()
        body = {"ready": leader != "", "leader": leader}
        return answer_json(request, body, 200 if leader else 503)

    def _metrics_text(self, request: Any) -> bytes:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        return self._metrics() if self._metrics is not None else b""
