"""Simulated operators: race one another with equal numbers, re-send after lost answers."""

import random
from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.control.leader_client import LeaderClient
from rainsail.control.messages import ListReply, ListRequest
from rainsail.experiment.history import (
    ChangeAnswered,
    ChangeSent,
    History,
    InForceReported,
    ResourceRead,
)
from rainsail.resources.specs import Kind, Resource, ResourceKey, Spec, TenantSpec
from rainsail.runtime.clock import Clock, sleep
from rainsail.state.commands import ROOT_GROUP, PutResource, ResourceChanged

CALL_TIMEOUT_S = 6.0
POLL_PERIOD_S = 1.0
MOST_SENDS = 5


class SimulatedOperator:
    """One operator process: declares changes and reads what became true."""

    def __init__(
        self, name: str, client: LeaderClient, clock: Clock, history: History, draw: random.Random
    ) -> None:
        self.name = name
        self._client = client
        self._clock = clock
        self._history = history
        self._draw = draw
        self._changes = 0

    @inlineCallbacks
    def list_resources(
        self, kinds: tuple[Kind, ...]
    ) -> Generator[Deferred[Any], Any, ListReply | None]:
        """Read resources at the leader and record the read; None when it failed."""
        begun_s = self._clock.seconds()
        result = yield self._client.call(ListRequest(ROOT_GROUP, kinds), CALL_TIMEOUT_S)
        if result.is_error():
            return None
        reply: ListReply = result.ok
        now_s = self._clock.seconds()
        self._history.record(InForceReported(now_s, reply.in_force_revision))
        for resource in reply.resources:
            if resource.key.kind == Kind.TENANT:
                self._record_read(begun_s, now_s, resource)
        return reply

    def _record_read(self, begun_s: float, now_s: float, resource: Resource) -> None:
        value = str(getattr(resource.spec, "weight", ""))
        self._history.record(
            ResourceRead(now_s, begun_s, self.name, resource.key.name, resource.generation, value)
        )

    @inlineCallbacks
    def put(
        self, key: ResourceKey, spec: Spec, expected_revision: int, value: str
    ) -> Generator[Deferred[Any], Any, bool | None]:
        """Declare a spec, re-sending it unchanged until it is answered; None: never answered."""
        self._changes += 1
        change_id = f"{self.name}-{self._changes}"
        command = PutResource(change_id, key, spec, expected_revision)
        now_s = self._clock.seconds()
        self._history.record(
            ChangeSent(now_s, self.name, change_id, key.name, expected_revision, value)
        )
        answered: bool | None = None
        extra_sends = 1 if self._draw.random() < 0.2 else 0
        for _ in range(MOST_SENDS):
            result = yield self._client.propose(command, CALL_TIMEOUT_S)
            accepted = self._record_answer(change_id, key, result)
            if accepted is None:
                yield sleep(self._clock, 0.5)
                continue
            answered = accepted
            if not extra_sends:
                break
            extra_sends -= 1
        return answered

    def _record_answer(self, change_id: str, key: ResourceKey, result: Any) -> bool | None:
        now_s = self._clock.seconds()
        if result.is_ok():
            changed: ResourceChanged = result.ok
            self._history.record(
                ChangeAnswered(now_s, self.name, change_id, key.name, True, changed.revision, "")
            )
            return True
        fault = result.error
        if fault.code != "conflict":
            return None
        revision = fault.current_revision or 0
        self._history.record(
            ChangeAnswered(now_s, self.name, change_id, key.name, False, revision, fault.code)
        )
        return False


class OperatorTraffic:
    """Two operators that change the same tenants, and one that watches what is in force."""

    def __init__(
        self,
        first: SimulatedOperator,
        second: SimulatedOperator,
        watcher: SimulatedOperator,
        clock: Clock,
        draw: random.Random,
        mean_gap_s: float,
    ) -> None:
        self.first = first
        self._second = second
        self.watcher = watcher
        self._clock = clock
        self._draw = draw
        self._mean_gap_s = mean_gap_s
        self._stopped = False
        self._value = 0

    def start(self) -> None:
        """Start changing and watching."""
        self._clock.callLater(self._mean_gap_s, self._race)
        self._clock.callLater(POLL_PERIOD_S, self._watch)

    def stop(self) -> None:
        """Make no further changes (watching goes on)."""
        self._stopped = True

    @inlineCallbacks
    def _watch(self) -> Generator[Deferred[Any], Any, None]:
        yield self.watcher.list_resources((Kind.TENANT,))
        self._clock.callLater(POLL_PERIOD_S, self._watch)

    @inlineCallbacks
    def _race(self) -> Generator[Deferred[Any], Any, None]:
        if self._stopped:
            return
        reply = yield self.first.list_resources((Kind.TENANT,))
        if reply is not None and reply.resources:
            resource = self._draw.choice(reply.resources)
            self._declare(self.first, resource)
            if self._draw.random() < 0.5:
                delay_s = self._draw.uniform(0.0, 0.02)
                self._clock.callLater(delay_s, self._declare, self._second, resource)
        self._clock.callLater(self._draw.expovariate(1 / self._mean_gap_s), self._race)

    def _declare(self, operator: SimulatedOperator, resource: Resource) -> None:
        self._value += 1
        spec = resource.spec
        assert isinstance(spec, TenantSpec)
        weight = 1.0 + self._value / 1000
        changed = TenantSpec(
            spec.tokens_per_second, spec.burst_tokens, weight, spec.key_hashes, spec.operator
        )
        operator.put(resource.key, changed, resource.revision, str(weight))
