"""Callers: send requests to gateways, assemble answers, and retry after a lost answer."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Outcome
from rainsail.experiment.history import AnswerReceived, RequestSent
from rainsail.resources.specs import RequestClass
from rainsail.runtime.clock import Clock, sleep
from rainsail.simulation.actors.callers import CallerMix
from rig.http import AnswerLost, Reply
from rig.layout import CALLER_PORT
from rig.traffic import Traffic, Users

ANSWER_TIMEOUT_S = 30.0
RESEND_DELAY_S = 0.5
MAX_SENDS = 6
CLASS_HEADER = "X-Rainsail-Class"
SESSION_HEADER = "X-Rainsail-Session"
KEY_HEADER = "Idempotency-Key"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class RigRequest:
    """A planned request with its expected answer."""

    request_id: str
    tenant: str
    model: str
    class_: RequestClass
    prompt: str
    max_tokens: int
    seed: int
    stream: bool
    expected_text: str
    session: str = ""

    def body(self) -> dict[str, Any]:
        """Return the body of the completion request."""
        return {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "seed": self.seed,
            "stream": self.stream,
        }

    def headers(self) -> dict[str, str]:
        """Return the headers, which are the same for every send."""
        headers = {KEY_HEADER: self.request_id, CLASS_HEADER: self.class_}
        return {**headers, SESSION_HEADER: self.session} if self.session else headers


class AnswerReader:
    """Assembles the answer to one send."""

    def __init__(self, stream: bool, clock: Clock) -> None:
        self.text = ""
        self.first_part_s = -1.0
        self.outcome: Outcome | None = None
        self.fault = ""
        self._stream = stream
        self._clock = clock
        self._rest = b""

    def take(self, piece: bytes) -> None:
        """Process a piece of the body."""
        if not self._stream:
            return
        *frames, self._rest = (self._rest + piece).split(b"\n\n")
        for frame in frames:
            if frame.startswith(DATA_PREFIX):
                self._process_frame(frame.removeprefix(DATA_PREFIX))

    def _process_frame(self, data: bytes) -> None:
        if data == DONE:
            return
        body = json.loads(data)
        if "error" in body:
            self._process_error(body)
            return
        for choice in body["choices"]:
            self._add(choice["text"])
        if "rainsail" in body:
            self.outcome = Outcome(body["rainsail"]["outcome"])

    def _process_error(self, body: Any) -> None:
        typed = body.get("error", {}).get("rainsail", {})
        self.outcome = Outcome(typed.get("outcome", Outcome.UNKNOWN))
        self.fault = f"{typed.get('code')} in {typed.get('step')}: {typed.get('detail')}"

    def _add(self, text: str) -> None:
        if text and self.first_part_s < 0:
            self.first_part_s = self._clock.seconds()
        self.text += text

    def finish(self, reply: Reply) -> None:
        """Process the end of the answer."""
        if reply.status != 200:
            self._process_error(reply.json())
        elif not self._stream:
            self._add(reply.json()["choices"][0]["text"])
            self.outcome = Outcome(reply.outcome)


class RigCaller:
    """Sends one request, with retries."""

    def __init__(self, users: Users, planned: RigRequest, first_gateway: int) -> None:
        self._users = users
        self._planned = planned
        self._turn = first_gateway
        self._sends = 0
        self.outcome = Outcome.UNKNOWN
        self.text = ""

    async def run(self) -> Outcome:
        """Send until there is a final answer or ``MAX_SENDS`` is spent; return the outcome."""
        again = True
        while again and self._sends < MAX_SENDS:
            if self._sends:
                await sleep(self._users.clock, RESEND_DELAY_S)
            again = await self._send()
        return self.outcome

    async def _send(self) -> bool:
        """Send once; return whether to retry."""
        users, planned = self._users, self._planned
        gateway = users.gateway(self._turn)
        self._turn += 1
        self._sends += 1
        send_id = f"{planned.request_id}#{self._sends}"
        reader = AnswerReader(planned.stream, users.clock)
        users.history.record(
            RequestSent(
                users.clock.seconds(),
                planned.request_id,
                send_id,
                gateway.name,
                planned.tenant,
                planned.class_,
                planned.expected_text,
            )
        )
        lost = ""
        try:
            reply = await users.http.exchange(
                "POST",
                f"{gateway.url(CALLER_PORT)}/v1/completions",
                users.layout.tenant_key(planned.tenant),
                ANSWER_TIMEOUT_S,
                planned.body(),
                planned.headers(),
                take=reader.take,
            )
            reader.finish(reply)
        except AnswerLost as error:
            lost = self._process_loss(reader, error)
        if reader.outcome is None:
            lost = lost or "the stream ended without an outcome"
        self._record(send_id, reader, lost)
        return bool(lost) or self.outcome == Outcome.NOT_RUN

    def _process_loss(self, reader: AnswerReader, error: AnswerLost) -> str:
        """Return why the answer is lost; empty when nothing was sent or the answer was complete."""
        if not error.sent:
            reader.outcome = Outcome.NOT_RUN
            reader.fault = str(error)
            return ""
        return "" if reader.outcome == Outcome.COMPLETED else str(error)

    def _record(self, send_id: str, reader: AnswerReader, lost: str) -> None:
        self.outcome = Outcome.UNKNOWN if lost else reader.outcome or Outcome.UNKNOWN
        self.text = reader.text
        self._users.history.record(
            AnswerReceived(
                self._users.clock.seconds(),
                self._planned.request_id,
                send_id,
                self.outcome,
                reader.text,
                reader.first_part_s,
                lost or reader.fault,
                bool(lost),
            )
        )


class RigCallerTraffic(Traffic):
    """Starts callers at random intervals until it is stopped."""

    def __init__(
        self,
        users: Users,
        mixes: tuple[CallerMix, ...],
        failed: Callable[[Any], None],
    ) -> None:
        super().__init__(users, failed)
        self._mixes = mixes
        self.started = 0
        self.completed = 0

    def start(self) -> None:
        """Start the callers of every mix."""
        for mix in self._mixes:
            self._run(self._follow(mix))

    async def _follow(self, mix: CallerMix) -> None:
        while not self._stopped:
            await sleep(self._users.clock, self._users.draw.expovariate(1 / mix.mean_gap_s))
            if not self._stopped:
                self._run_counted(self.call(self.plan(mix)))

    async def call(self, planned: RigRequest, gateway: int | None = None) -> Outcome:
        """Run one request to its end, first at a random or the given gateway."""
        draw = self._users.draw
        first = draw.randrange(len(self._users.layout.gateways)) if gateway is None else gateway
        outcome = await RigCaller(self._users, planned, first).run()
        self.completed += outcome == Outcome.COMPLETED
        return outcome

    def plan(self, mix: CallerMix) -> RigRequest:
        """Create the next request of a mix."""
        self.started += 1
        draw = self._users.draw
        shared = f"Instructions for {mix.name}: answer briefly and exactly. " * 4
        subject = f"{mix.name} {self.started} asks about unit {draw.randrange(10_000)}. "
        prompt = (shared + subject * 40)[: mix.prompt_characters]
        tokens = max(1, int(mix.max_tokens * draw.uniform(0.5, 1.5)))
        return RigRequest(
            request_id=f"{mix.name}-{self.started}",
            tenant=draw.choice(self._users.layout.tenants),
            model=mix.model,
            class_=mix.class_,
            prompt=prompt,
            max_tokens=tokens,
            seed=self.started,
            stream=mix.class_ == RequestClass.ONLINE,
            expected_text=expected_answer(mix.model, prompt, tokens, self.started),
        )
