"""Uploaded files, held in this gateway's memory until a batch is created from them.

Files are not durable: a restart loses them, and the caller has to upload them again. A batch is
durable once it is accepted, because its items are in the ledger.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from multipart import MultipartError, MultipartParser, parse_options_header

from rainsail.errors import Fault, FaultCode

_UPLOAD_STEP = "caller_api.files"
_MAX_FORM_PARTS = 16
_PURPOSE = "batch"


@dataclass(frozen=True, slots=True)
class Upload:
    """A parsed upload."""

    filename: str
    purpose: str
    content: bytes


@dataclass(frozen=True, slots=True)
class StoredFile:
    """A stored file; times are Unix seconds."""

    file_id: str
    tenant: str
    filename: str
    created_unix_s: float
    content: bytes

    def as_object(self) -> dict[str, Any]:
        """Return OpenAI's file object."""
        return {
            "id": self.file_id,
            "object": "file",
            "bytes": len(self.content),
            "created_at": int(self.created_unix_s),
            "filename": self.filename,
            "purpose": _PURPOSE,
            "status": "processed",
        }


def read_upload(content_type: str, body: Any, max_bytes: int) -> Result[Upload, Fault]:
    """Read a multipart form with the fields ``purpose`` and ``file``."""
    kind, options = parse_options_header(content_type)
    boundary = options.get("boundary", "")
    if kind != "multipart/form-data" or not boundary:
        return Error(_invalid("the body is not multipart/form-data"))
    try:
        parser = MultipartParser(
            body,
            boundary,
            part_limit=_MAX_FORM_PARTS,
            partsize_limit=max_bytes,
            memory_limit=max_bytes,
            spool_limit=max_bytes,
        )
        parts = {part.name: part for part in parser.parts()}
        purpose = parts["purpose"].value if "purpose" in parts else ""
        file = parts.get("file")
        content = file.raw if file is not None else b""
    except (MultipartError, UnicodeDecodeError, ValueError) as error:
        return Error(_invalid(f"malformed form: {error}"))
    if file is None:
        return Error(_invalid("file: the field is missing"))
    if purpose != _PURPOSE:
        return Error(_invalid(f"purpose: only {_PURPOSE!r} is taken"))
    return Ok(Upload(file.filename or "upload.jsonl", purpose, content))


def _invalid(detail: str) -> Fault:
    return Fault(FaultCode.INVALID, _UPLOAD_STEP, detail)


class FileStore:
    """Stores uploads up to a total size and an age; evicts the oldest first."""

    def __init__(
        self,
        max_bytes: int,
        retention_s: float,
        wall_clock: Callable[[], float],
        new_id: Callable[[], str],
    ) -> None:
        self._max_bytes = max_bytes
        self._retention_s = retention_s
        self._wall_clock = wall_clock
        self._new_id = new_id
        self._files: OrderedDict[str, StoredFile] = OrderedDict()
        self._bytes = 0

    def add(self, tenant: str, upload: Upload) -> Result[StoredFile, Fault]:
        """Store an upload; evict the oldest files when space is needed."""
        if len(upload.content) > self._max_bytes:
            detail = f"the file is longer than {self._max_bytes} bytes"
            return Error(Fault(FaultCode.TOO_LARGE, _UPLOAD_STEP, detail))
        self._evict_expired()
        while self._bytes + len(upload.content) > self._max_bytes:
            self._remove(next(iter(self._files)))
        file_id = f"file-{self._new_id()}"
        stored = StoredFile(file_id, tenant, upload.filename, self._wall_clock(), upload.content)
        self._files[file_id] = stored
        self._bytes += len(upload.content)
        return Ok(stored)

    def get(self, tenant: str, file_id: str) -> Result[StoredFile, Fault]:
        """Return a tenant's file."""
        self._evict_expired()
        stored = self._files.get(file_id)
        if stored is None or stored.tenant != tenant:
            detail = f"no file {file_id!r} at this gateway"
            return Error(Fault(FaultCode.NOT_FOUND, _UPLOAD_STEP, detail))
        return Ok(stored)

    def list_files(self, tenant: str) -> list[StoredFile]:
        """Return a tenant's files, oldest first."""
        self._evict_expired()
        return [stored for stored in self._files.values() if stored.tenant == tenant]

    def delete(self, tenant: str, file_id: str) -> Result[StoredFile, Fault]:
        """Delete a tenant's file."""
        found = self.get(tenant, file_id)
        if found.is_ok():
            self._remove(file_id)
        return found

    def _evict_expired(self) -> None:
        oldest_s = self._wall_clock() - self._retention_s
        while self._files:
            first = next(iter(self._files.values()))
            if first.created_unix_s > oldest_s:
                return
            self._remove(first.file_id)

    def _remove(self, file_id: str) -> None:
        self._bytes -= len(self._files.pop(file_id).content)
