"""Operators over the operator API: declare, make conflicting changes, retry, read and watch."""

import json
from collections.abc import Callable
from typing import Any

from rainsail.experiment.history import (
    ChangeAnswered,
    ChangeSent,
    InForceReported,
    ResourceRead,
)
from rainsail.resources.specs import Kind
from rainsail.runtime.clock import sleep
from rainsail.state.commands import ANY_REVISION, MUST_NOT_EXIST
from rig.http import AnswerLost, Reply
from rig.layout import OPERATOR_PORT, ProcessPlan
from rig.traffic import Traffic, Users

CALL_TIMEOUT_S = 25.0
RESEND_DELAY_S = 0.3
RACE_PERIOD_S = 2.0
READ_PERIOD_S = 0.5
MAX_OPEN_READS = 24
"""Maximum reads that hang at paused replicas at a time."""
RESEND_PROBABILITY = 0.2
REFUSED = 0
"""Stands for the revision of a change that lost to a concurrent one."""


class RigOperator:
    """One operator: every change is retried unchanged until it is answered."""

    def __init__(self, users: Users, name: str) -> None:
        self._users = users
        self._name = name
        self.changes = 0
        self._turn = users.draw.randrange(len(users.layout.replicas))

    async def call(
        self, method: str, path: str, body: Any = None, replica: ProcessPlan | None = None
    ) -> Reply | None:
        """Make one call to a replica (the next in turn); None when there is no answer."""
        if replica is None:
            replica = self._users.layout.replicas[self._turn % len(self._users.layout.replicas)]
            self._turn += 1
        url = f"{replica.url(OPERATOR_PORT)}{path}"
        key = self._users.layout.operator_key
        try:
            return await self._users.http.exchange(method, url, key, CALL_TIMEOUT_S, body)
        except AnswerLost:
            return None

    async def read(self, path: str) -> Any:
        """Read until some replica answers."""
        while True:
            reply = await self.call("GET", path)
            if reply is not None and reply.status == 200:
                return reply.json()
            await sleep(self._users.clock, RESEND_DELAY_S)

    async def declare(self, kind: Kind, name: str, spec: dict[str, Any]) -> bool:
        """Declare a resource that does not exist yet; return whether it was accepted."""
        return await self.put(kind, name, spec, MUST_NOT_EXIST) != REFUSED

    async def put(self, kind: Kind, name: str, spec: dict[str, Any], expected: int) -> int:
        """Replace a spec; return the revision at which it was accepted, or ``REFUSED``."""
        self.changes += 1
        change_id = f"{self._name}-{self.changes}"
        body: dict[str, Any] = {"change_id": change_id, "spec": spec}
        if expected != ANY_REVISION:
            body["expected_revision"] = expected
        value = json.dumps(spec, sort_keys=True)
        now_s = self._users.clock.seconds()
        resource = f"{kind}/{name}"
        sent = ChangeSent(now_s, self._name, change_id, resource, expected, value)
        self._users.history.record(sent)
        accepted = await self._answered(change_id, resource, f"/v1/resources/{resource}", body)
        if self._users.draw.random() < RESEND_PROBABILITY:
            await self._answered(change_id, resource, f"/v1/resources/{resource}", body)
        return accepted

    async def _answered(self, change_id: str, resource: str, path: str, body: Any) -> int:
        """Send until there is a final answer, and record it."""
        while True:
            reply = await self.call("PUT", path, body)
            if reply is not None and reply.status in (200, 409):
                break
            if reply is not None and reply.status < 500:
                raise RuntimeError(f"{path}: {reply.body!r}")
            await sleep(self._users.clock, RESEND_DELAY_S)
        accepted = reply.status == 200
        fault = reply.json().get("error", {})
        revision = reply.json()["revision"] if accepted else fault.get("current_revision") or 0
        now_s = self._users.clock.seconds()
        self._users.history.record(
            ChangeAnswered(
                now_s, self._name, change_id, resource, accepted, revision, fault.get("code", "")
            )
        )
        return revision if accepted else REFUSED


class RigOperatorTraffic(Traffic):
    """Two operators make conflicting changes to tenants; readers read at every replica."""

    def __init__(self, users: Users, failed: Callable[[Any], None]) -> None:
        super().__init__(users, failed)
        self.first = RigOperator(users, "operator-1")
        self._second = RigOperator(users, "operator-2")
        self._watcher = RigOperator(users, "operator-watch")
        self._ended = False
        self._value = 0
        self._open_reads = 0

    def start(self) -> None:
        """Start the conflicting changes; ``stop`` ends them, but not the watching."""
        self._run(self._race())

    def watch(self) -> None:
        """Start watching what is in force and reading at every replica."""
        self._run(self._watch())
        self._run(self._read_everywhere())

    def end(self) -> None:
        """Stop watching too."""
        self._ended = True

    async def _watch(self) -> None:
        """Read what is in force, one read after the other."""
        while not self._ended:
            body = await self._watcher.read("/v1/resources/Tenant")
            now_s = self._users.clock.seconds()
            self._users.history.record(InForceReported(now_s, body["in_force_revision"]))
            await sleep(self._users.clock, READ_PERIOD_S)

    async def _read_everywhere(self) -> None:
        """Start a read at the next replica every period, even while others hang."""
        turn = 0
        while not self._ended:
            if self._open_reads < MAX_OPEN_READS:
                replica = self._users.layout.replicas[turn % len(self._users.layout.replicas)]
                self._run(self._read_at(replica))
            turn += 1
            await sleep(self._users.clock, READ_PERIOD_S)

    async def _read_at(self, replica: ProcessPlan) -> None:
        begun_s = self._users.clock.seconds()
        self._open_reads += 1
        reply = await self._watcher.call("GET", "/v1/resources/Tenant", replica=replica)
        self._open_reads -= 1
        if reply is None or reply.status != 200:
            return
        now_s = self._users.clock.seconds()
        for resource in reply.json()["resources"]:
            name = f"{Kind.TENANT}/{resource['name']}"
            value = json.dumps(resource["spec"], sort_keys=True)
            read = ResourceRead(now_s, begun_s, replica.name, name, resource["generation"], value)
            self._users.history.record(read)

    async def _race(self) -> None:
        while not self._stopped:
            body = await self.first.read("/v1/resources/Tenant")
            resource = self._users.draw.choice(body["resources"])
            self._run_counted(self._change(self.first, resource))
            if self._users.draw.random() < 0.5:
                self._run_counted(self._change(self._second, resource))
            await sleep(self._users.clock, self._users.draw.expovariate(1 / RACE_PERIOD_S))

    async def _change(self, operator: RigOperator, resource: Any) -> None:
        self._value += 1
        spec = {**resource["spec"], "weight": 1.0 + self._value / 1000}
        await operator.put(Kind.TENANT, resource["name"], spec, resource["revision"])
