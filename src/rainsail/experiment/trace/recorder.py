"""Records what callers ask of a gateway, within bounds, as a trace of that gateway.

The recorder stands between the caller API and the core (and the intake), so it sees requests that
were authenticated and well formed, whatever became of them. It never holds a request up: arrivals
wait in memory and a timer writes them. A recording is no accepted work: it is not synced.
"""

import dataclasses
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from expression import Result
from fastavro.write import Writer

from rainsail.errors import Fault
from rainsail.experiment.container import CODEC, SYNC_MARKER
from rainsail.experiment.trace.prompts import shape_of
from rainsail.experiment.trace.records import (
    TracedCancel,
    TracedChange,
    TracedItem,
    TracedJob,
    TracedRequest,
    TraceOrigin,
    TraceRecord,
    TraceSource,
)
from rainsail.experiment.trace.settings import RecordingSettings
from rainsail.gateway.interface import CallerRequest
from rainsail.logs import logger
from rainsail.resources.specs import Kind, RequestClass, ResourceKey, TenantSpec, WatchEvent
from rainsail.runtime.clock import Clock
from rainsail.state.commands import ItemBody, JobView
from rainsail.wire.codec import parsed_schema, to_avro_value

RECORDED_KINDS = (Kind.TENANT, Kind.SERVICE, Kind.MODEL_VERSION, Kind.ADAPTER)
"""Kinds that shape the traffic; runners and processes belong to the fleet that is replayed on."""
SALT_BYTES = 16
MAX_WAITING_CHARACTERS = 16 * 1024 * 1024
"""Most characters of kept prompts that wait to be written."""

DefaultClass = Callable[[str], RequestClass]


class TraceRecorder:
    """Turns arrivals into trace records and writes them to one file."""

    def __init__(
        self,
        path: Path,
        origin: str,
        default_class: DefaultClass,
        clock: Clock,
        random: Random,
        wall_clock: Callable[[], float],
        settings: RecordingSettings,
    ) -> None:
        self.dropped = 0
        self._origin = origin
        self._default_class = default_class
        self._clock = clock
        self._settings = settings
        self._salt = random.randbytes(SALT_BYTES)
        self._wall_clock = wall_clock
        self._started_s = clock.seconds()
        self._waiting: list[Any] = []
        self._waiting_characters = 0
        self._timer: Any = None
        self._open = True
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = path.open("wb")
        schema = parsed_schema(TraceRecord)
        self._writer = Writer(self._file, schema, codec=CODEC, sync_marker=SYNC_MARKER)
        self._record(TraceOrigin("", TraceSource.RECORDED, 0, 0.0, wall_clock()))

    # --- arrivals -------------------------------------------------------------------------

    def request(self, request: CallerRequest) -> None:
        """Note a request of a caller."""
        self._record(
            TracedRequest(
                at_s=self._now_s(),
                request_id=request.request_id,
                origin=self._origin,
                tenant=request.tenant,
                service=request.model,
                class_=request.class_ or self._default_class(request.model),
                prompt=shape_of(request.prompt, self._salt, self._settings.keep_prompts),
                max_tokens=request.max_tokens,
                seed=request.seed,
                deadline_s=request.deadline_s,
                session=request.session,
                adapter=request.adapter,
            )
        )

    def job(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: tuple[ItemBody, ...],
        deadline_unix_s: float,
        adapter: str,
    ) -> None:
        """Note a submitted job."""
        kept = items[: self._settings.max_items_kept]
        deadline_s = max(0.0, deadline_unix_s - self._wall_clock())
        self._record(
            TracedJob(
                at_s=self._now_s(),
                job_key=job_key,
                origin=self._origin,
                tenant=tenant,
                service=service,
                deadline_s=deadline_s,
                items=tuple(self._item(item) for item in kept),
                item_count=len(items),
                adapter=adapter,
            )
        )

    def _item(self, item: ItemBody) -> TracedItem:
        shape = shape_of(item.prompt, self._salt, self._settings.keep_prompts)
        return TracedItem(item.custom_id, shape, item.max_tokens)

    def cancelled(self, answer: Result[JobView, Fault]) -> Result[JobView, Fault]:
        """Note a cancel that was answered as done; returns the answer."""
        if answer.is_ok():
            spec = answer.ok.spec
            self._record(TracedCancel(self._now_s(), spec.tenant, spec.job_key))
        return answer

    def configuration(self, event: WatchEvent) -> None:
        """Note a change of a spec; hashes of keys are left out."""
        resource = event.resource
        changed = resource.generation == event.revision and resource.key.kind in RECORDED_KINDS
        if not changed:
            return
        spec = resource.spec
        if isinstance(spec, TenantSpec):
            spec = dataclasses.replace(spec, key_hashes=())
        key = ResourceKey(resource.key.kind, resource.key.name)
        change_id = f"{key.kind}/{key.name}@{event.revision}"
        self._record(TracedChange(self._now_s(), change_id, "", key, spec))

    # --- writing --------------------------------------------------------------------------

    def _now_s(self) -> float:
        return self._clock.seconds() - self._started_s

    def _record(self, entry: Any) -> None:
        characters = _kept_characters(entry)
        full = len(self._waiting) >= self._settings.max_waiting
        full = full or self._waiting_characters + characters > MAX_WAITING_CHARACTERS
        if not self._open or full:
            self.dropped += 1
            return
        self._waiting.append(entry)
        self._waiting_characters += characters
        if self._timer is None:
            self._timer = self._clock.callLater(self._settings.write_period_s, self._write)

    def _write(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, []
        self._waiting_characters = 0
        try:
            for entry in waiting:
                self._writer.write(to_avro_value(TraceRecord(entry)))
            self._writer.flush()
            self._file.flush()
        except OSError as error:
            self._end(f"recording ended: {error.strerror}")
            return
        if self._file.tell() >= self._settings.max_file_bytes:
            self._end(f"recording ended: {self._settings.max_file_bytes} bytes are written")

    def _end(self, reason: str) -> None:
        logger.warning(reason)
        self._open = False
        self._file.close()

    def close(self) -> None:
        """Write what waits and close the file."""
        if self._timer is not None:
            self._timer.cancel()
            self._write()
        if self._open:
            self._open = False
            self._file.close()


def _kept_characters(entry: Any) -> int:
    if isinstance(entry, TracedRequest):
        return len(entry.prompt.text)
    if isinstance(entry, TracedJob):
        return sum(len(item.prompt.text) for item in entry.items)
    return 0
