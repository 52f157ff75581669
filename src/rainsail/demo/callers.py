"""Online callers: send over HTTP, put answers together, note what they saw."""

import json
from collections.abc import Generator
from dataclasses import dataclass
from random import Random
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.demo.http_calls import Call, HttpCaller, fault_from_json
from rainsail.demo.traffic_plan import SESSION_THINK_S, SESSION_TURNS, PlannedRequest, TrafficPlan
from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault, Outcome
from rainsail.experiment.history import History, RequestAnswered, RequestSent
from rainsail.gateway.openai.headers import (
    CLASS_HEADER,
    IDEMPOTENCY_HEADER,
    SESSION_HEADER,
)
from rainsail.runtime.clock import Clock, sleep

ANSWER_TIMEOUT_S = 30.0
MOST_SENDS = 6
RESEND_DELAY_S = 0.5
NO_PART_S = -1.0


@dataclass(frozen=True, slots=True)
class CallerSeams:
    """What every caller needs: HTTP, time, chance, where to note, and whom to call."""

    http: HttpCaller
    clock: Clock
    draw: Random
    history: History
    caller_apis: dict[str, str]
    tenant_keys: dict[str, str]


@dataclass(frozen=True, slots=True)
class SendEnd:
    """How one send ended, as its caller saw it."""

    result: Result[None, Fault]
    text: str
    first_part_s: float


class OnlineCaller:
    """One request through all its sends; a refused one is sent again when told to."""

    def __init__(self, seams: CallerSeams, request: PlannedRequest, transcript: str = "") -> None:
        self._seams = seams
        self._request = request
        self._home = seams.draw.randrange(len(seams.caller_apis))
        prompt = transcript + request.engine_prompt()
        self.expected_text = expected_answer(request.service, prompt, request.max_tokens, 0)

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, bool]:
        """Send until answered or given up; fires with whether the answer was whole."""
        for number in range(1, MOST_SENDS + 1):
            end = yield Deferred.fromCoroutine(self._send(number))
            if end.result.is_ok():
                return True
            fault = end.result.error
            if fault.outcome != Outcome.NOT_RUN:
                return False
            yield sleep(self._seams.clock, fault.retry_after_s or RESEND_DELAY_S)
        return False

    async def _send(self, number: int) -> SendEnd:
        names = list(self._seams.caller_apis)
        gateway = names[(self._home + number - 1) % len(names)]
        send_id = f"{self._request.request_id}#{number}"
        self._note_sent(send_id, gateway)
        call = self._call(self._seams.caller_apis[gateway])
        end = await (self._stream(call) if self._request.streamed else self._whole(call))
        self._note_answered(send_id, end)
        return end

    def _call(self, base: str) -> Call:
        request = self._request
        headers = [
            (CLASS_HEADER, request.class_.value),
            (IDEMPOTENCY_HEADER, request.request_id),
        ]
        if request.session:
            headers.append((SESSION_HEADER, request.session))
        key = self._seams.tenant_keys[request.tenant]
        body = json.dumps(request.body()).encode()
        return Call("POST", base + request.path, key, body, headers=tuple(headers))

    async def _whole(self, call: Call) -> SendEnd:
        reply = await self._seams.http.call(call, ANSWER_TIMEOUT_S)
        if reply.is_error():
            return SendEnd(Error(reply.error), "", NO_PART_S)
        choice = reply.ok.json()["choices"][0]
        return SendEnd(Ok(None), choice["text"], self._seams.clock.seconds())

    async def _stream(self, call: Call) -> SendEnd:
        parts = _Parts(self._seams.clock)
        ended = await self._seams.http.stream(call, parts.take, ANSWER_TIMEOUT_S)
        if parts.fault is not None:
            ended = Error(parts.fault)
        return SendEnd(ended, "".join(parts.texts), parts.first_part_s)

    def _note_sent(self, send_id: str, gateway: str) -> None:
        request = self._request
        self._seams.history.record(
            RequestSent(
                self._seams.clock.seconds(),
                request.request_id,
                send_id,
                gateway,
                request.tenant,
                request.class_,
                self.expected_text,
            )
        )

    def _note_answered(self, send_id: str, end: SendEnd) -> None:
        fault = end.result.error if end.result.is_error() else None
        self._seams.history.record(
            RequestAnswered(
                self._seams.clock.seconds(),
                self._request.request_id,
                send_id,
                Outcome.COMPLETED if fault is None else fault.outcome,
                end.text,
                end.first_part_s,
                "" if fault is None else str(fault),
                False,
            )
        )


class _Parts:
    """Collects the events of a streamed answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.texts: list[str] = []
        self.first_part_s = NO_PART_S
        self.fault: Fault | None = None

    def take(self, event: Any) -> None:
        """Take one event."""
        if "error" in event:
            self.fault = fault_from_json(event["error"])
            return
        for choice in event["choices"]:
            text = choice.get("text") or choice.get("delta", {}).get("content") or ""
            if text:
                self._add(text)

    def _add(self, text: str) -> None:
        if self.first_part_s == NO_PART_S:
            self.first_part_s = self._clock.seconds()
        self.texts.append(text)


class SessionCaller:
    """One long-lived session: turns one after the other, with pauses for thought."""

    def __init__(self, seams: CallerSeams, plan: TrafficPlan, session: str, tenant: str) -> None:
        self._seams = seams
        self._plan = plan
        self._session = session
        self._tenant = tenant
        self._transcript = ""

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, None]:
        """Run the session's turns; one that fails ends it, as what follows would be guesswork."""
        for _ in range(SESSION_TURNS):
            request = self._plan.turn(self._session, self._tenant)
            caller = OnlineCaller(self._seams, request, self._transcript)
            whole = yield caller.run()
            if not whole:
                return
            self._transcript += request.engine_prompt() + caller.expected_text
            yield sleep(self._seams.clock, SESSION_THINK_S)
