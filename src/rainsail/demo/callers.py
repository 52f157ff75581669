"""Online callers: send over HTTP, put answers together, note what they saw."""

from collections.abc import Generator
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.demo.traffic_plan import SESSION_THINK_S, SESSION_TURNS, DemoRequest, TrafficPlan
from rainsail.emulator.answers import expected_answer
from rainsail.errors import Outcome
from rainsail.experiment.answer_stream import StreamEnd
from rainsail.experiment.history import AnswerReceived, History, RequestSent
from rainsail.experiment.http_calls import HttpCaller
from rainsail.gateway.openai.headers import (
    CLASS_HEADER,
    IDEMPOTENCY_HEADER,
    SESSION_HEADER,
)
from rainsail.runtime.clock import Clock, sleep

ANSWER_TIMEOUT_S = 30.0
"""Not measured; chosen to be above the longest drawn answer."""
CALL_TIMEOUT_S = 15.0
"""Not measured; chosen to be above a change of leader and below the limit of settling."""
MOST_SENDS = 6
RESEND_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class CallerSeams:
    """What every caller needs: HTTP, time, chance, where to note, and whom to call."""

    http: HttpCaller
    clock: Clock
    draw: Random
    history: History
    caller_apis: dict[str, str]
    tenant_keys: dict[str, str]


class OnlineCaller:
    """One request through all its sends; a refused one is sent again when told to."""

    def __init__(self, seams: CallerSeams, request: DemoRequest, transcript: str = "") -> None:
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
            fault = end.fault
            if fault is None:
                return True
            if fault.outcome != Outcome.NOT_RUN:
                return False
            yield sleep(self._seams.clock, fault.retry_after_s or RESEND_DELAY_S)
        return False

    async def _send(self, number: int) -> StreamEnd:
        names = list(self._seams.caller_apis)
        gateway = names[(self._home + number - 1) % len(names)]
        send_id = f"{self._request.request_id}#{number}"
        self._note_sent(send_id, gateway)
        url = self._seams.caller_apis[gateway] + self._request.path
        end = await (self._stream(url) if self._request.streamed else self._whole(url))
        self._note_answered(send_id, end)
        return end

    def _headers(self) -> dict[str, str]:
        return {
            CLASS_HEADER: self._request.class_.value,
            IDEMPOTENCY_HEADER: self._request.request_id,
            SESSION_HEADER: self._request.session,
        }

    async def _whole(self, url: str) -> StreamEnd:
        key = self._seams.tenant_keys[self._request.tenant]
        reply = await self._seams.http.call(
            "POST", url, key, ANSWER_TIMEOUT_S, self._headers(), json=self._request.body()
        )
        if reply.is_error():
            return StreamEnd(fault=reply.error)
        return StreamEnd(reply.ok["choices"][0]["text"], self._seams.clock.seconds())

    async def _stream(self, url: str) -> StreamEnd:
        return await self._seams.http.stream(
            url,
            self._seams.tenant_keys[self._request.tenant],
            ANSWER_TIMEOUT_S,
            self._headers(),
            self._request.body(),
            self._seams.clock.seconds,
        )

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

    def _note_answered(self, send_id: str, end: StreamEnd) -> None:
        fault = end.fault
        self._seams.history.record(
            AnswerReceived(
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
