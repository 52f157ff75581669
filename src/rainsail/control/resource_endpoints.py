"""Resource reads and changes of the operator API, independent of HTTP."""

from typing import Any

from expression import Error, Ok, Result

from rainsail.control.interface import ControlClient
from rainsail.control.messages import ListReply, ListRequest
from rainsail.control.resource_json import JsonObject, merged_spec_json, spec_from_json
from rainsail.control.spec_rules import name_problem
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.resources.specs import Kind, Resource, ResourceKey
from rainsail.state.commands import (
    ANY_REVISION,
    ROOT_GROUP,
    Command,
    DeleteResource,
    PutResource,
    ResourceChanged,
)

STEP = "operator_api.resources"
BODY_KEYS = ("change_id", "expected_revision", "spec")
PATCH_ATTEMPTS = 5
"""Attempts of a patch without an expected revision before it fails with a conflict."""


class ResourceEndpoints:
    """Turns operators' requests into reads at the leader and proposed commands."""

    def __init__(self, client: ControlClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def read_all(self, kinds: tuple[Kind, ...]) -> Result[ListReply, Fault]:
        """List resources through the leader."""
        return await self._client.call(ListRequest(ROOT_GROUP, kinds), self._timeout_s)

    async def read_one(self, key: ResourceKey) -> Result[tuple[Resource, int], Fault]:
        """Read one resource through the leader, with the in-force revision."""
        request = ListRequest(ROOT_GROUP, (key.kind,), key.name)
        listed = await self._client.call(request, self._timeout_s)
        if listed.is_error():
            return Error(listed.error)
        for resource in listed.ok.resources:
            return Ok((resource, listed.ok.in_force_revision))
        return Error(Fault(FaultCode.NOT_FOUND, STEP, f"no {key.kind} {key.name!r}"))

    async def put(self, key: ResourceKey, body: JsonObject) -> Result[ResourceChanged, Fault]:
        """Create or replace a resource from ``{"spec", "expected_revision", "change_id"}``."""
        change = _read_change(body)
        if change.is_error():
            return Error(change.error)
        problem = name_problem(key)
        if problem:
            return Error(Fault(FaultCode.INVALID, STEP, problem))
        spec = spec_from_json(key.kind, body.get("spec"))
        if spec.is_error():
            return Error(spec.error)
        change_id, expected = change.ok
        return await self._change(PutResource(change_id, key, spec.ok, expected))

    async def patch(self, key: ResourceKey, body: JsonObject) -> Result[ResourceChanged, Fault]:
        """Merge ``spec`` into the current spec.

        Without an expected revision, a patch whose values are already set changes nothing, so a
        re-sent patch succeeds; after a concurrent change (of the status, of another key) the patch
        is merged into the newer resource. With an expected revision, a concurrent change gives a
        conflict.
        """
        change = _read_change(body)
        if change.is_error():
            return Error(change.error)
        patch = body.get("spec")
        if not isinstance(patch, dict):
            return Error(Fault(FaultCode.INVALID, STEP, "spec: expected an object"))
        change_id, expected = change.ok
        answer: Result[ResourceChanged, Fault] = Error(
            Fault(FaultCode.CONFLICT, STEP, "the resource kept changing")
        )
        for attempt in range(PATCH_ATTEMPTS):
            attempt_id = change_id
            if change_id and expected == ANY_REVISION:
                attempt_id = f"{change_id}/patch-{attempt}"
            answer = await self._patch_once(key, patch, attempt_id, expected)
            if answer.is_ok() or not _lost_race(answer.error, expected):
                break
        return answer

    async def _patch_once(
        self, key: ResourceKey, patch: JsonObject, change_id: str, expected: int
    ) -> Result[ResourceChanged, Fault]:
        current = await self.read_one(key)
        if current.is_error():
            return Error(current.error)
        resource, _ = current.ok
        spec = spec_from_json(key.kind, merged_spec_json(resource.spec, patch))
        if spec.is_error():
            return Error(spec.error)
        if expected == ANY_REVISION and spec.ok == resource.spec:
            return Ok(ResourceChanged(resource, resource.revision))
        wanted = resource.revision if expected == ANY_REVISION else expected
        return await self._change(PutResource(change_id, key, spec.ok, wanted))

    async def delete(self, key: ResourceKey, body: JsonObject) -> Result[ResourceChanged, Fault]:
        """Delete a resource."""
        change = _read_change(body)
        if change.is_error():
            return Error(change.error)
        change_id, expected = change.ok
        return await self._change(DeleteResource(change_id, key, expected))

    async def _change(self, command: Command) -> Result[Any, Fault]:
        return await self._client.propose(command, self._timeout_s)


def _lost_race(fault: Fault, expected: int) -> bool:
    """Tell whether a patch met a newer revision and may be merged into that one.

    A conflict without a current revision means that the change id was used before with other
    content. The first outcome of that change id is unknown here, so the patch is not retried.
    """
    newer = fault.code == FaultCode.CONFLICT and fault.current_revision is not None
    return newer and expected == ANY_REVISION and fault.outcome == Outcome.NOT_RUN


def _read_change(body: JsonObject) -> Result[tuple[str, int], Fault]:
    """Read the change id and the expected revision; unknown keys are refused."""
    for key in sorted(body):
        if key not in BODY_KEYS:
            known = ", ".join(BODY_KEYS)
            return Error(
                Fault(FaultCode.INVALID, STEP, f"{key}: unknown key, expected one of {known}")
            )
    change_id = body.get("change_id", "")
    if not isinstance(change_id, str):
        return Error(Fault(FaultCode.INVALID, STEP, "change_id: expected a string"))
    expected = body.get("expected_revision", ANY_REVISION)
    if not isinstance(expected, int) or isinstance(expected, bool) or expected < ANY_REVISION:
        detail = "expected_revision: expected an integer of at least 0"
        return Error(Fault(FaultCode.INVALID, STEP, detail))
    return Ok((change_id, expected))
