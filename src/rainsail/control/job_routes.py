"""HTTP routes of batch jobs."""

from typing import Any

from klein import Klein

from rainsail.control.http_bodies import (
    answer_fault,
    answer_json,
    query_integer,
    query_text,
    read_json_object,
)
from rainsail.control.job_endpoints import JobEndpoints, job_to_json, results_to_json
from rainsail.control.operator_gate import OperatorGate
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault, FaultCode


class JobRoutes:
    """Adds the job routes to a klein application."""

    def __init__(
        self, app: Klein, gate: OperatorGate, jobs: JobEndpoints, settings: ControlSettings
    ) -> None:
        self._gate = gate
        self._jobs = jobs
        self._settings = settings
        app.route("/v1/jobs", methods=["POST"])(self._submit)
        app.route("/v1/jobs", methods=["GET"])(self._list)
        app.route("/v1/jobs/<job_id>", methods=["GET"])(self._read)
        app.route("/v1/jobs/<job_id>/results", methods=["GET"])(self._results)
        app.route("/v1/jobs/<job_id>/cancel", methods=["POST"])(self._cancel)

    async def _submit(self, request: Any) -> bytes:
        caller = self._gate.caller(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        body = read_json_object(request, self._settings.max_body_bytes)
        if body.is_error():
            return answer_fault(request, body.error)
        accepted = await self._jobs.submit(caller.ok, body.ok)
        if accepted.is_error():
            return answer_fault(request, accepted.error)
        return answer_json(request, job_to_json(accepted.ok), 201)

    async def _list(self, request: Any) -> bytes:
        caller = self._gate.caller(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        found = await self._jobs.read_all(caller.ok)
        if found.is_error():
            return answer_fault(request, found.error)
        return answer_json(request, {"jobs": [job_to_json(job) for job in found.ok]})

    async def _read(self, request: Any, job_id: str) -> bytes:
        caller = self._gate.caller(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        found = await self._jobs.read_one(caller.ok, job_id)
        if found.is_error():
            return answer_fault(request, found.error)
        return answer_json(request, job_to_json(found.ok))

    async def _results(self, request: Any, job_id: str) -> bytes:
        caller = self._gate.caller(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        first_name = "first" if query_text(request, "first") else "first_index"
        first = query_integer(request, first_name, 0)
        if first.is_error():
            return answer_fault(request, first.error)
        limit = query_integer(request, "limit", self._settings.max_list_rows, least=1)
        if limit.is_error():
            return answer_fault(request, limit.error)
        page = await self._jobs.results(caller.ok, job_id, first.ok, limit.ok)
        if page.is_error():
            return answer_fault(request, page.error)
        return answer_json(request, results_to_json(page.ok))

    async def _cancel(self, request: Any, job_id: str) -> bytes:
        caller = self._gate.caller(request)
        if caller.is_error():
            return answer_fault(request, caller.error)
        body = read_json_object(request, self._settings.max_body_bytes)
        if body.is_error():
            return answer_fault(request, body.error)
        change_id = body.ok.get("change_id", "")
        if not isinstance(change_id, str) or len(body.ok) > ("change_id" in body.ok):
            detail = "the body: expected {} or {change_id: string}"
            return answer_fault(request, Fault(FaultCode.INVALID, "operator_api.jobs", detail))
        cancelled = await self._jobs.cancel(caller.ok, job_id, change_id)
        if cancelled.is_error():
            return answer_fault(request, cancelled.error)
        return answer_json(request, job_to_json(cancelled.ok))
