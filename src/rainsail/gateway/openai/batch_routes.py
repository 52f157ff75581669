"""HTTP routes for files and batches."""

import secrets
from collections.abc import Callable
from typing import Any

from expression import Error, Result

from rainsail.errors import Fault
from rainsail.gateway.openai.authentication import Authenticator
from rainsail.gateway.openai.batches import (
    ERRORS_PREFIX,
    OUTPUT_PREFIX,
    STEP,
    BatchInput,
    batch_object,
)
from rainsail.gateway.openai.bodies import BATCH, BatchRequest, read_json
from rainsail.gateway.openai.downloads import ResultsDownload
from rainsail.gateway.openai.files import FileStore, read_upload
from rainsail.gateway.openai.headers import CallerHeaders, read_headers
from rainsail.gateway.openai.job_intake import Intake
from rainsail.gateway.openai.replies import read_body, write_list, write_object
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.gateway.openai.sinks import write_fault
from rainsail.gateway.openai.slices import make_cooperator
from rainsail.state.commands import JobView

_RANDOM_ID_BYTES = 16
_JOB_KEY = "job_key"


class BatchRoutes:
    """Accepts files and batches, and serves batches and their results from the ledger."""

    def __init__(
        self,
        intake: Intake,
        authenticator: Authenticator,
        settings: CallerApiSettings,
        wall_clock: Callable[[], float],
    ) -> None:
        self._intake = intake
        self._authenticator = authenticator
        self._settings = settings
        self._wall_clock = wall_clock
        self._cooperator = make_cooperator()
        self._files = FileStore(
            settings.max_stored_file_bytes,
            settings.file_retention_s,
            wall_clock,
            lambda: secrets.token_hex(_RANDOM_ID_BYTES),
        )

    def add_to(self, app: Any) -> None:
        """Add the routes to a klein app."""
        app.route("/v1/files", methods=["POST"])(self.upload_file)
        app.route("/v1/files", methods=["GET"])(self.list_files)
        app.route("/v1/files/<file_id>", methods=["GET"])(self.get_file)
        app.route("/v1/files/<file_id>", methods=["DELETE"])(self.delete_file)
        app.route("/v1/files/<file_id>/content", methods=["GET"])(self.download_file)
        app.route("/v1/batches", methods=["POST"])(self.create_batch)
        app.route("/v1/batches", methods=["GET"])(self.list_batches)
        app.route("/v1/batches/<batch_id>", methods=["GET"])(self.get_batch)
        app.route("/v1/batches/<batch_id>/cancel", methods=["POST"])(self.cancel_batch)

    def _tenant(self, request: Any) -> Result[str, Fault]:
        return self._authenticator.tenant(request.getHeader("authorization"))

    # --- files ----------------------------------------------------------------------------

    def upload_file(self, request: Any) -> None:
        """Store an uploaded file."""
        tenant = self._tenant(request)
        content_type = request.getHeader("content-type") or ""
        upload = tenant.bind(
            lambda _: read_upload(content_type, request.content, self._settings.max_file_bytes)
        )
        stored = upload.bind(lambda read: self._files.add(tenant.ok, read))
        _write(request, stored.map(lambda file: file.as_object()))

    def list_files(self, request: Any) -> None:
        """List the files uploaded to this gateway."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        write_list(request, [file.as_object() for file in self._files.list_files(tenant.ok)])

    async def get_file(self, request: Any, file_id: str) -> None:
        """Describe an uploaded file or a results file."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        job_id = _job_of_file(file_id)
        if job_id is None:
            stored = self._files.get(tenant.ok, file_id)
            _write(request, stored.map(lambda file: file.as_object()))
            return
        job = await self._intake.job(tenant.ok, job_id)
        _write(request, job.map(lambda view: _results_file_object(file_id, view)))

    def delete_file(self, request: Any, file_id: str) -> None:
        """Delete an uploaded file; results stay for as long as the ledger retains them."""
        deleted = self._tenant(request).bind(lambda name: self._files.delete(name, file_id))
        _write(request, deleted.map(lambda _: _deleted_object(file_id)))

    async def download_file(self, request: Any, file_id: str) -> None:
        """Send a file's content."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        job_id = _job_of_file(file_id)
        if job_id is None:
            self._send_upload(request, tenant.ok, file_id)
            return
        job = await self._intake.job(tenant.ok, job_id)
        if job.is_error():
            write_fault(request, job.error)
            return
        limit = self._settings.results_page_items
        download = ResultsDownload(request, job.ok, file_id.startswith(ERRORS_PREFIX))
        await download.run(lambda first: self._intake.results(tenant.ok, job_id, first, limit))

    def _send_upload(self, request: Any, tenant: str, file_id: str) -> None:
        stored = self._files.get(tenant, file_id)
        if stored.is_error():
            write_fault(request, stored.error)
            return
        request.setHeader(b"content-type", b"application/octet-stream")
        request.write(stored.ok.content)
        request.finish()

    # --- batches --------------------------------------------------------------------------

    async def create_batch(self, request: Any) -> None:
        """Submit an uploaded file as a job; answer once the job is accepted."""
        tenant = self._tenant(request)
        headers = tenant.bind(lambda _: read_headers(request))
        data = headers.bind(lambda _: self._read(request))
        batch = data.bind(lambda read: read_json(BATCH, read, STEP))
        if batch.is_error():
            write_fault(request, batch.error)
            return
        job = await self._submit(tenant.ok, headers.ok, batch.ok)
        _write(request, job.map(lambda view: batch_object(view, batch.ok)))

    def _read(self, request: Any) -> Result[bytes, Fault]:
        return read_body(request, self._settings.max_request_bytes, STEP)

    async def _submit(
        self, tenant: str, headers: CallerHeaders, batch: BatchRequest
    ) -> Result[JobView, Fault]:
        stored = self._files.get(tenant, batch.input_file_id)
        if stored.is_error():
            return Error(stored.error)
        parsed = await BatchInput(batch.endpoint, stored.ok.content, self._settings).read(
            self._cooperator
        )
        if parsed.is_error():
            return Error(parsed.error)
        service, items = parsed.ok
        metadata = batch.metadata or {}
        job_key = headers.idempotency_key or metadata.get(_JOB_KEY) or batch.input_file_id
        window_s = headers.deadline_s or batch.window_s()
        return await self._intake.submit(
            tenant, job_key, service, items, self._wall_clock() + window_s, headers.adapter
        )

    async def list_batches(self, request: Any) -> None:
        """List the tenant's batches."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        jobs = await self._intake.jobs(tenant.ok)
        if jobs.is_error():
            write_fault(request, jobs.error)
            return
        write_list(request, [batch_object(job) for job in jobs.ok])

    async def get_batch(self, request: Any, batch_id: str) -> None:
        """Describe a batch."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        job = await self._intake.job(tenant.ok, batch_id)
        _write(request, job.map(batch_object))

    async def cancel_batch(self, request: Any, batch_id: str) -> None:
        """Cancel a batch."""
        tenant = self._tenant(request)
        if tenant.is_error():
            write_fault(request, tenant.error)
            return
        job = await self._intake.cancel(tenant.ok, batch_id)
        _write(request, job.map(batch_object))


def _write(request: Any, result: Result[dict[str, Any], Fault]) -> None:
    if result.is_error():
        write_fault(request, result.error)
    else:
        write_object(request, result.ok)


def _job_of_file(file_id: str) -> str | None:
    for prefix in (OUTPUT_PREFIX, ERRORS_PREFIX):
        if file_id.startswith(prefix):
            return file_id[len(prefix) :]
    return None


def _results_file_object(file_id: str, job: JobView) -> dict[str, Any]:
    return {
        "id": file_id,
        "object": "file",
        "bytes": 0,
        "created_at": 0,
        "filename": f"{file_id}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def _deleted_object(file_id: str) -> dict[str, Any]:
    return {"id": file_id, "object": "file", "deleted": True}
