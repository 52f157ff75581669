"""HTTP routes that list, read, put, patch and delete resources."""

from collections.abc import Awaitable, Callable
from typing import Any

from expression import Error, Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred

from rainsail.control.http_bodies import answer_fault, answer_json, read_json_object
from rainsail.control.operator_gate import OperatorGate
from rainsail.control.resource_endpoints import ResourceEndpoints
from rainsail.control.resource_json import JsonObject, kind_from_text, resource_to_json
from rainsail.errors import Fault
from rainsail.resources.specs import Kind, ResourceKey
from rainsail.state.commands import ResourceChanged

Change = Callable[[ResourceKey, JsonObject], Awaitable[Result[ResourceChanged, Fault]]]


class ResourceRoutes:
    """Adds the resource routes to a klein application."""

    def __init__(
        self, app: Klein, gate: OperatorGate, resources: ResourceEndpoints, max_body_bytes: int
    ) -> None:
        self._gate = gate
        self._resources = resources
        self._max_body_bytes = max_body_bytes
        app.route("/v1/resources", methods=["GET"])(self._list_all)
        app.route("/v1/resources/<kind>", methods=["GET"])(self._list_kind)
        one = "/v1/resources/<kind>/<name>"
        app.route(one, methods=["GET"])(self._read_one)
        app.route(one, methods=["PUT"], endpoint="put")(self._changer(resources.put))
        app.route(one, methods=["PATCH"], endpoint="patch")(self._changer(resources.patch))
        app.route(one, methods=["DELETE"], endpoint="delete")(self._changer(resources.delete))

    async def _list_all(self, request: Any) -> bytes:
        caller = self._gate.operator(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        return await self._list(request, ())

    async def _list_kind(self, request: Any, kind: str) -> bytes:
        caller = self._gate.operator(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        wanted = kind_from_text(kind)
        if wanted.is_error():
            return answer_fault(request, wanted.error)
        return await self._list(request, (wanted.ok,))

    async def _list(self, request: Any, kinds: tuple[Kind, ...]) -> bytes:
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

    def _changer(self, change: Change) -> Callable[..., Any]:
        async def handle(request: Any, kind: str, name: str) -> bytes:
            key = self._key(request, kind, name)
            if key.is_error():
                return answer_fault(request, key.error)
            body = read_json_object(request, self._max_body_bytes)
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
        caller = self._gate.operator(request)
        if caller.is_error():
            return Error(caller.error)
        kind = kind_from_text(kind_text)
        if kind.is_error():
            return Error(kind.error)
        return Ok(ResourceKey(kind.ok, name))
