"""Every call of the native control plane's interfaces, made at a running fleet."""

import time
from pathlib import Path
from typing import Any

from features.support.compatibility_http import Answer, call, shape_of
from features.support.embedded_fleet import OPERATOR_KEY, SERVICE, TENANT_KEYS, EmbeddedFleet

PINNED = Path("features/compatibility/data/http_native.json")
LIMIT_S = 30.0
POLL_S = 0.1
UNCLEAR = 504
"""An operator's call that no answer came to in time; it may be made again, as clients do."""
BOUNDARY = "pinned-boundary"
KEY_HASH = "ab" * 32
SPECS: dict[str, dict[str, Any]] = {
    "Tenant": {
        "tokens_per_second": 10.0,
        "burst_tokens": 20.0,
        "weight": 2.0,
        "key_hashes": [KEY_HASH],
        "operator": False,
    },
    "Service": {
        "active_version": "",
        "runners": 0,
        "default_class": "online",
        "batch_weight": 0.5,
    },
    "ModelVersion": {"service": "pinned", "weights": "weights/1", "weight_bytes": 10},
    "Adapter": {"service": "pinned", "weights": "weights/2", "weight_bytes": 10},
    "Session": {"tenant": "exporter", "service": "pinned", "adapter": ""},
    "Runner": {
        "address": "http://127.0.0.1:9",
        "region": "local",
        "zone": "a",
        "service": "pinned",
        "drain": True,
        "role": "mixed",
        "batch_slots": 3,
    },
    "Replica": {"region": "local", "zone": "a", "drain": False},
    "Gateway": {"region": "local", "zone": "a", "incarnation": "x", "drain": True},
}
"""A spec of each kind with every field that an operator may write."""
REPORTED = ("resource.status", "resource.conditions")
"""What the fleet itself reports of a new resource, at a time of its own."""


class NativeCalls:
    """Makes the calls in order; ``shapes`` has each answer's shape by what was called."""

    def __init__(self, fleet: EmbeddedFleet) -> None:
        self.shapes: dict[str, Any] = {}
        self._fleet = fleet
        self._operator = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        self._tenant = {"Authorization": f"Bearer {TENANT_KEYS['exporter']}"}

    def make_all(self) -> dict[str, Any]:
        """Make every call and return the shapes."""
        self._status_pages()
        self._resources()
        self._operator_refusals()
        self._watch()
        self._jobs()
        self._models_and_completions()
        self._caller_refusals()
        self._files_and_batches()
        return self.shapes

    def _note(self, what: str, answer: Answer, ignored: tuple[str, ...] = ()) -> Answer:
        assert what not in self.shapes, what
        self.shapes[what] = shape_of(answer, ignored)
        return answer

    def _operate(self, what: str, method: str, path: str, body: Any = None, **more: Any) -> Answer:
        headers = more.pop("headers", self._operator)
        ignored = more.pop("ignored", ())
        answers: list[Answer] = []

        def answered() -> bool:
            answers.append(call(self._fleet.operator, method, path, body, headers, **more))
            return answers[-1].status != UNCLEAR

        self._wait(answered, f"an answer to {what}")
        return self._note(f"operator API: {what}", answers[-1], ignored)

    def _ask(self, what: str, method: str, path: str, body: Any = None, **headers: str) -> Answer:
        named = dict(self._tenant)
        named |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self._note(
            f"caller API: {what}", call(self._fleet.caller, method, path, body, named)
        )

    # --- operators -----------------------------------------------------------------------

    def _status_pages(self) -> None:
        for path in ("/healthz", "/readyz", "/metrics"):
            answer = call(self._fleet.status, "GET", path)
            self._note(f"status page: GET {path}", answer)
            self._operate(f"GET {path}", "GET", path, headers={})
        self._operate("GET /v1/status", "GET", "/v1/status")

    def _resources(self) -> None:
        self._operate("GET all resources", "GET", "/v1/resources")
        self._operate("GET one kind", "GET", "/v1/resources/Service")
        self._operate("GET one kind in small letters", "GET", "/v1/resources/service")
        self._operate("GET a runner", "GET", "/v1/resources/Runner/reports-1")
        for kind, spec in SPECS.items():
            path = f"/v1/resources/{kind}/pinned"
            body = {"spec": spec, "expected_revision": 0, "change_id": f"put-{kind}"}
            self._operate(f"PUT a {kind}", "PUT", path, body)
        path = "/v1/resources/Tenant/pinned"
        self._operate("PATCH a resource", "PATCH", path, {"spec": {"weight": 3.0}})
        self._operate("PUT at an old revision", "PUT", path, {"spec": {}, "expected_revision": 0})
        stale = {"spec": SPECS["Tenant"], "expected_revision": 1}
        self._operate("PUT at a revision that passed", "PUT", path, stale)
        for kind in SPECS:
            path = f"/v1/resources/{kind}/pinned"
            body = {"change_id": f"delete-{kind}"}
            self._operate(f"DELETE a {kind}", "DELETE", path, body, ignored=REPORTED)

    def _operator_refusals(self) -> None:
        path = "/v1/resources/Tenant/pinned"
        self._operate("no such resource", "GET", path)
        self._operate("no such kind", "GET", "/v1/resources/King")
        self._operate("no such path", "GET", "/v1/nothing")
        self._operate("no such method", "POST", "/v1/status", {})
        self._operate("unknown key in a body", "PUT", path, {"spec": {}, "more": 1})
        self._operate("no JSON", "PUT", path, b"{")
        self._operate("without a key", "GET", "/v1/resources", headers={})
        self._operate("with a tenant's key", "GET", "/v1/resources", headers=self._tenant)

    def _watch(self) -> None:
        self._operate("watch", "GET", "/v1/watch?revision=0&kinds=Service", lines=1)
        self._operate("watch one kind", "GET", "/v1/watch?revision=0&kind=Tenant", lines=1)
        self._operate("watch from nowhere", "GET", "/v1/watch?revision=x")

    def _jobs(self) -> None:
        items = [{"custom_id": f"item-{n}", "prompt": f"Prompt {n}", "max_tokens": 4} for n in "ab"]
        body = {
            "job_key": "pinned-job",
            "tenant": "exporter",
            "service": SERVICE,
            "deadline_s": 600.0,
            "adapter": "",
            "items": items,
        }
        job = self._operate("POST a job", "POST", "/v1/jobs", body).json()["job_id"]
        self._operate("POST a job again", "POST", "/v1/jobs", body)
        other = {**body, "items": items[:1]}
        self._operate("POST another job under its key", "POST", "/v1/jobs", other)
        self._operate("POST a job without items", "POST", "/v1/jobs", {**body, "items": []})
        path = f"/v1/jobs/{job}"
        self._wait(lambda: self._read_json(path)["phase"] == "completed", "the job completes")
        self._operate("GET all jobs", "GET", "/v1/jobs")
        self._operate("GET a job", "GET", path)
        self._operate("GET results", "GET", f"{path}/results?first_index=0&limit=1")
        self._operate("GET results from an item on", "GET", f"{path}/results?first=1")
        self._operate("GET no such job", "GET", "/v1/jobs/nothing")
        self._operate("cancel a completed job", "POST", f"{path}/cancel", {"change_id": "c-1"})
        self._operate("cancel no such job", "POST", "/v1/jobs/nothing/cancel", {})

    def _read_json(self, path: str) -> Any:
        return call(self._fleet.operator, "GET", path, None, self._operator).json()

    @staticmethod
    def _wait(condition: Any, what: str) -> None:
        limit_s = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < limit_s, f"never came true: {what}"
            time.sleep(POLL_S)

    # --- callers -------------------------------------------------------------------------

    def _models_and_completions(self) -> None:
        self._ask("GET models", "GET", "/v1/models")
        self._ask("GET a model", "GET", f"/v1/models/{SERVICE}")
        self._ask("GET no such model", "GET", "/v1/models/nothing")
        prompt = {"model": SERVICE, "prompt": "Where is my box?", "max_tokens": 4, "seed": 1}
        chat = {
            "model": SERVICE,
            "messages": [{"role": "user", "content": "Where is my box?"}],
            "max_completion_tokens": 4,
        }
        streamed = {"stream": True, "stream_options": {"include_usage": True}}
        for name, body in (("completions", prompt), ("chat/completions", chat)):
            path = f"/v1/{name}"
            self._ask(f"POST {path}", "POST", path, body, Idempotency_Key=f"whole-{len(name)}")
            self._ask(f"POST {path} as a stream", "POST", path, {**body, **streamed})
        every_header = {
            "X_Rainsail_Class": "non_repeatable",
            "X_Rainsail_Deadline": "20",
            "Idempotency_Key": "pinned-once",
        }
        path = "/v1/completions"
        self._ask("a non-repeatable request", "POST", path, prompt, **every_header)
        self._ask("the same again", "POST", path, prompt, **every_header)
        other = {**prompt, "prompt": "Another box"}
        self._ask("another under its key", "POST", path, other, **every_header)
        self._ask("explain", "GET", "/v1/explain/cmpl-pinned-once")
        self._ask("explain no such request", "GET", "/v1/explain/nothing")

    def _caller_refusals(self) -> None:
        path = "/v1/completions"
        body = {"model": SERVICE, "prompt": "Where?", "max_tokens": 4}
        self._ask("an unknown class", "POST", path, body, X_Rainsail_Class="royal")
        self._ask("a deadline that is none", "POST", path, body, X_Rainsail_Deadline="soon")
        self._ask("an unknown session", "POST", path, body, X_Rainsail_Session="nothing")
        self._ask("an unknown adapter", "POST", path, body, X_Rainsail_Adapter="nothing")
        self._ask("an unknown model", "POST", path, {**body, "model": "nothing"})
        self._ask("a bad body", "POST", path, {**body, "max_tokens": 0})
        self._ask("several answers", "POST", path, {**body, "n": 2})
        self._ask("a body that is too long", "POST", path, {**body, "prompt": "x" * 30_000})
        self._ask("no such path", "GET", "/v1/nothing")
        self._ask("no such method", "DELETE", "/v1/models")
        self._ask("with an unknown key", "POST", path, body, Authorization="Bearer nobody")

    def _files_and_batches(self) -> None:
        upload = self._upload().json()["id"]
        self._ask("GET files", "GET", "/v1/files")
        self._ask("GET a file", "GET", f"/v1/files/{upload}")
        self._ask("GET a file's content", "GET", f"/v1/files/{upload}/content")
        self._ask("GET no such file", "GET", "/v1/files/nothing")
        body = {
            "input_file_id": upload,
            "endpoint": "/v1/completions",
            "completion_window": "1h",
            "metadata": {"job_key": "pinned-batch"},
        }
        batch = self._ask("POST a batch", "POST", "/v1/batches", body).json()["id"]
        path = f"/v1/batches/{batch}"
        self._wait(lambda: self._batch_status(path) == "completed", "the batch completes")
        output = self._ask("GET a batch", "GET", path).json()["output_file_id"]
        self._ask("GET batches", "GET", "/v1/batches")
        self._ask("GET a results file", "GET", f"/v1/files/{output}")
        self._ask("GET results", "GET", f"/v1/files/{output}/content")
        self._ask("cancel a completed batch", "POST", f"{path}/cancel")
        self._ask("GET no such batch", "GET", "/v1/batches/nothing")
        unknown = {**body, "input_file_id": "nothing"}
        self._ask("POST a batch of no file", "POST", "/v1/batches", unknown)
        self._ask("DELETE a file", "DELETE", f"/v1/files/{upload}")

    def _batch_status(self, path: str) -> str:
        answer = call(self._fleet.caller, "GET", path, None, self._tenant)
        status: str = answer.json()["status"]
        return status

    def _upload(self) -> Answer:
        line = (
            '{"custom_id": "one", "method": "POST", "url": "/v1/completions", '
            f'"body": {{"model": "{SERVICE}", "prompt": "Where?", "max_tokens": 4}}}}\n'
        )
        parts = (
            f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
            f"--{BOUNDARY}\r\nContent-Disposition: form-data; "
            f'name="file"; filename="items.jsonl"\r\n\r\n{line}\r\n--{BOUNDARY}--\r\n'
        )
        kind = f"multipart/form-data; boundary={BOUNDARY}"
        return self._ask("POST a file", "POST", "/v1/files", parts.encode(), Content_Type=kind)
