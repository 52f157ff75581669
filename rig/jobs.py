"""Clients of batch jobs over the caller API: bursts of jobs, resubmissions, cancels and reads."""

import hashlib
import json
from collections.abc import Callable
from typing import Any

from rainsail.emulator.answers import expected_answer
from rainsail.experiment.history import (
    JobAccepted,
    JobCancelAccepted,
    JobRead,
    ResultRead,
)
from rainsail.runtime.clock import sleep
from rainsail.simulation.actors.job_clients import (
    LATEST_CANCEL_S,
    READS_AFTER_CANCEL,
    RESUBMIT_PROBABILITY,
    JobMix,
)
from rainsail.state.commands import ItemBody
from rig.callers import KEY_HEADER
from rig.evidence import FileRead
from rig.http import AnswerLost, Reply
from rig.layout import CALLER_PORT
from rig.traffic import Traffic, Users

CALL_TIMEOUT_S = 20.0
RESEND_DELAY_S = 0.5
READ_PERIOD_S = 1.0
ENDPOINT = "/v1/completions"
PHASES = {"completed": "completed", "cancelled": "cancelled"}
DEADLINE_HEADER = "X-Rainsail-Deadline"


class RigJobClient:
    """One job: submitted until accepted, perhaps cancelled, read until finished."""

    def __init__(
        self, users: Users, mix: JobMix, job_key: str, items: tuple[ItemBody, ...], cancels: bool
    ) -> None:
        self._users = users
        self._mix = mix
        self._job_key = job_key
        self._items = items
        self._cancels = cancels
        self._tenant = users.draw.choice(users.layout.tenants)
        self._turn = users.draw.randrange(len(users.layout.gateways))
        self.job_id = ""
        self.settled = False
        self._reads_asked = 0

    async def run(self) -> None:
        """Take the job from its submission to the reading of its results."""
        while not self.job_id:
            await self._submit()
        if self._users.draw.random() < RESUBMIT_PROBABILITY:
            await self._submit()
        if self._cancels:
            await sleep(self._users.clock, self._users.draw.uniform(0.1, LATEST_CANCEL_S))
            await self._cancel()
        while not await self._read_phase():
            await sleep(self._users.clock, READ_PERIOD_S)
        for _ in range(READS_AFTER_CANCEL if self._cancels else 0):
            await sleep(self._users.clock, READ_PERIOD_S)
            await self._read_phase()
        await self._read_results()

    async def read_again(self) -> None:
        """Read every finished item anew; a read in progress is repeated from its start."""
        self._reads_asked += 1
        if self.settled:
            await self._read_results()

    async def _read_results(self) -> None:
        """Read every finished item; repeat while a new read was requested meanwhile."""
        self.settled = False
        answered = -1
        while answered != self._reads_asked:
            answered = self._reads_asked
            await self._read_files()
        self.settled = True

    async def _read_files(self) -> None:
        """Read both files of results and record what they hold."""
        for kind in ("output", "errors"):
            path = f"/v1/files/file-{kind}-{self.job_id}/content"
            sent_s = self._users.clock.seconds()
            reply = await self._call_until_answered("GET", path)
            lines = reply.body.splitlines()
            self._record_read(kind, sent_s, len(lines))
            for line in lines:
                self._record_result(json.loads(line))

    def _record_read(self, kind: str, sent_s: float, lines: int) -> None:
        """Record a read of results, which leaves no event in the history when it is empty."""
        users = self._users
        gateway = users.gateway(self._turn).name
        now_s = users.clock.seconds()
        users.reads.append(FileRead(sent_s, now_s, self.job_id, kind, gateway, lines))

    # --- calls ----------------------------------------------------------------------------

    async def _call_once(self, method: str, path: str, **more: Any) -> Reply | None:
        """Make one call to the next gateway in turn; None unless it returns status 200."""
        gateway = self._users.gateway(self._turn)
        url = f"{gateway.url(CALLER_PORT)}{path}"
        key = self._users.layout.tenant_key(self._tenant)
        try:
            reply = await self._users.http.exchange(method, url, key, CALL_TIMEOUT_S, **more)
        except AnswerLost:
            reply = None
        if reply is not None and reply.status == 200:
            return reply
        self._turn += 1
        await sleep(self._users.clock, RESEND_DELAY_S)
        return None

    async def _call_until_answered(self, method: str, path: str) -> Reply:
        reply = None
        while reply is None:
            reply = await self._call_once(method, path)
        return reply

    async def _submit(self) -> None:
        """Upload the input and create the batch at the same gateway, which alone keeps the file."""
        upload = await self._call_once("POST", "/v1/files", file=self._input())
        if upload is None:
            return
        batch = {"input_file_id": upload.json()["id"], "endpoint": ENDPOINT}
        headers = {KEY_HEADER: self._job_key, DEADLINE_HEADER: str(self._mix.deadline_s)}
        reply = await self._call_once("POST", "/v1/batches", body=batch, headers=headers)
        if reply is None:
            return
        self.job_id = reply.json()["id"]
        digest = hashlib.sha256(self._input()).hexdigest()
        now_s = self._users.clock.seconds()
        accepted = JobAccepted(now_s, self._job_key, self.job_id, digest, len(self._items))
        self._users.history.record(accepted)

    def _input(self) -> bytes:
        lines = [self._line(index, item) for index, item in enumerate(self._items)]
        return b"\n".join(lines) + b"\n"

    def _line(self, index: int, item: ItemBody) -> bytes:
        body = {"model": self._mix.service, "prompt": item.prompt, "max_tokens": item.max_tokens}
        line = {"custom_id": str(index), "method": "POST", "url": ENDPOINT, "body": body}
        return json.dumps(line).encode()

    async def _cancel(self) -> None:
        reply = await self._call_until_answered("POST", f"/v1/batches/{self.job_id}/cancel")
        if reply.json()["status"] == "cancelled":
            now_s = self._users.clock.seconds()
            self._users.history.record(JobCancelAccepted(now_s, self.job_id))

    async def _read_phase(self) -> bool:
        """Read the job's state; return whether it is finished."""
        reply = await self._call_until_answered("GET", f"/v1/batches/{self.job_id}")
        batch = reply.json()
        counts = batch["request_counts"]
        phase = PHASES.get(batch["status"], "sealed")
        now_s = self._users.clock.seconds()
        read = JobRead(now_s, self.job_id, phase, counts["completed"], counts["failed"])
        self._users.history.record(read)
        return batch["status"] in PHASES

    def _record_result(self, line: Any) -> None:
        index = int(line["custom_id"])
        item = self._items[index]
        completed = line["error"] is None
        text = line["response"]["body"]["choices"][0]["text"] if completed else ""
        phase = "completed" if completed else line["error"]["code"]
        expected = expected_answer(self._mix.service, item.prompt, item.max_tokens, 0)
        now_s = self._users.clock.seconds()
        self._users.history.record(ResultRead(now_s, self.job_id, index, phase, text, expected))


class RigJobTraffic(Traffic):
    """Submits bursts of jobs until it is stopped."""

    def __init__(self, users: Users, mix: JobMix, failed: Callable[[Any], None]) -> None:
        super().__init__(users, failed)
        self._mix = mix
        self.clients: list[RigJobClient] = []

    def start(self) -> None:
        """Submit a burst now and one every period."""
        self._run(self._follow())

    def settled(self) -> bool:
        """Tell whether every job is finished and its results are read."""
        return all(client.settled for client in self.clients)

    def read_again(self) -> None:
        """Have every client read its results again, including clients with a read in progress."""
        for client in self.clients:
            self._run(client.read_again())

    async def _follow(self) -> None:
        while not self._stopped:
            for _ in range(self._mix.jobs_per_heap):
                self._submit()
            await sleep(self._users.clock, self._mix.heap_period_s)

    def _submit(self) -> None:
        number = len(self.clients)
        draw = self._users.draw
        items = tuple(
            self._mix.draw_item(number, index, draw) for index in range(self._mix.items_per_job)
        )
        cancels = draw.random() < self._mix.cancel_probability
        client = RigJobClient(self._users, self._mix, f"job-{number}", items, cancels)
        self.clients.append(client)
        self._run(client.run())
